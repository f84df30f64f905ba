//! The receiver's side: rejects acts with an outdated fencing token.

use crate::federation::state::{State, MAX_DUTIES};
use crate::federation::MemberId;
use std::collections::BTreeMap;

/// The highest fencing token seen for each duty; acts with a lower one are rejected.
#[derive(Debug, Default)]
pub struct TokenFence {
    highest: BTreeMap<String, u64>,
}

impl TokenFence {
    /// Returns whether an act by `from` with `token` is admitted. The token of the lease in `state` counts as
    /// seen.
    pub fn admits(&mut self, state: &State, duty: &str, from: MemberId, token: u64) -> bool {
        if let Some(lease) = state.duties.get(duty) {
            if token < lease.token || (token == lease.token && from != lease.holder) {
                return false;
            }
        }
        let highest = self.highest.entry(duty.to_owned()).or_insert(0);
        let admitted = token >= *highest;
        *highest = (*highest).max(token);
        // Bounds the map, since duties come and go with the caches that they name. Tokens of all duties come
        // from one counter.
        if self.highest.len() > MAX_DUTIES {
            self.highest.pop_first();
        }
        admitted
    }
}

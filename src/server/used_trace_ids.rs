//! The trace ids of requests that must not run twice and that were forwarded. A client may leave and send such a request
//! again under the same id while the first one still runs at a server. It must not be forwarded a second time.

use crate::interface::{Instant, Span};
use std::collections::{BTreeSet, VecDeque};

/// Time for which an id is remembered after its request was forwarded: several times the longest client deadlines.
const RETENTION: Span = Span::from_secs(30);
/// Maximum number of ids that are remembered; beyond that, the oldest are forgotten early.
const MAX_IDS: usize = 16_384;
/// Base of the number that a trace id spells.
const HEX_RADIX: u32 = 16;

/// The ids, with the times at which their requests were forwarded.
#[derive(Default)]
pub(super) struct UsedTraceIds {
    ids: BTreeSet<u64>,
    /// The same ids, the oldest first.
    by_age: VecDeque<(Instant, u64)>,
}

impl UsedTraceIds {
    /// Records that a request with this id is forwarded.
    pub fn record(&mut self, now: Instant, trace_id: &str) {
        self.forget_old(now);
        let Some(id) = number(trace_id) else { return };
        if self.ids.insert(id) {
            self.by_age.push_back((now, id));
        }
    }

    /// Whether a request with this id was forwarded.
    pub fn contains(&self, trace_id: &str) -> bool {
        number(trace_id).is_some_and(|id| self.ids.contains(&id))
    }

    /// Forgets ids that are older than [`RETENTION`], and the oldest one if there are [`MAX_IDS`].
    fn forget_old(&mut self, now: Instant) {
        while let Some((since, id)) = self.by_age.front().copied() {
            if now < since + RETENTION && self.by_age.len() < MAX_IDS {
                return;
            }
            self.by_age.pop_front();
            self.ids.remove(&id);
        }
    }
}

/// Returns the number that an id spells in hex.
fn number(trace_id: &str) -> Option<u64> {
    u64::from_str_radix(trace_id, HEX_RADIX).ok()
}

#[cfg(test)]
mod tests;

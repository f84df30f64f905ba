//! What must hold once all is well again.

use super::world::World;
use crate::federation::{Leadership, LogIndex, MemberId};
use std::collections::{BTreeMap, BTreeSet};

impl World {
    /// All is well again, and was for long: whoever belongs to the federation agrees on all of it.
    pub(super) fn check_end(&mut self) {
        let last = self.files.last().cloned().unwrap_or_default();
        let mut seen = BTreeSet::new();
        for id in last.keys() {
            let Some(node) = self.members.get(id).and_then(|member| member.node.as_ref()) else { continue };
            let (state, applied) = (node.state(), node.log_indexes().applied);
            let members: BTreeMap<MemberId, bool> =
                state.members.iter().map(|(id, m)| (*id, m.voter)).collect();
            seen.insert((node.leadership(), applied, (state.revision, state.duties.len()), members));
        }
        let wanted: BTreeMap<MemberId, bool> = last.iter().map(|(id, member)| (*id, member.voter)).collect();
        type Seen = (Leadership, LogIndex, (u64, usize), BTreeMap<MemberId, bool>);
        let agreed = |(leader, _, held, members): &Seen| {
            leader.leader.is_some() && *held == (self.files.len() as u64, 0) && *members == wanted
        };
        if seen.len() != 1 || !seen.iter().all(agreed) {
            self.broken("no-agreement", format!("wanted {wanted:?}, seen {seen:?}"));
        }
    }
}

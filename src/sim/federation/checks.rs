//! Rules that all members together must keep.

use super::observer::{LastAct, ObservedStep};
use super::world::FederationWorld;
use crate::federation::node::{AppliedCommand, Node};
use crate::federation::{Leadership, LogIndex, MemberId};
use std::collections::{BTreeMap, BTreeSet};
use std::hash::Hash;

/// State of a member of the last file at the end of a run; it must be the same at all members.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct FinalView {
    leadership: Leadership,
    applied: LogIndex,
    revision: u64,
    leases: usize,
    /// Whether each member is a voter.
    members: BTreeMap<MemberId, bool>,
}

impl FinalView {
    fn of(node: &Node) -> Self {
        let (state, applied) = (node.state(), node.log_indexes().applied);
        FinalView {
            leadership: node.leadership(),
            applied,
            revision: state.revision,
            leases: state.duties.len(),
            members: state.members.iter().map(|(id, member)| (*id, member.voter)).collect(),
        }
    }
}

impl FederationWorld {
    /// Checks a member's step against the steps of all members so far: one leader in each term, one command
    /// at each log index, and equal states after equal log indexes.
    pub(super) fn observe(&mut self, step: ObservedStep) {
        let ObservedStep { id, committed, is_leader, term, state, applied } = step;
        if is_leader {
            let first = *self.observer.leaders.entry(term).or_insert(id);
            if first != id {
                self.record_breach("two-leaders", format!("{first} and {id} lead in term {term}"));
            }
        }
        for AppliedCommand { index, command } in committed {
            (id, index).hash(&mut self.trace);
            let first = self.observer.committed.entry(index).or_insert_with(|| command.clone()).clone();
            if first != command {
                self.record_breach("committed-twice", format!("{first:?} and {command:?} at {index}"));
            }
        }
        if self.observer.states.entry(applied).or_insert_with(|| state.clone()) != &state {
            self.record_breach("states-differ", format!("member {id} at {applied}"));
        }
    }

    /// Checks that a member acts under a fencing token that is not lower than any used before for the duty,
    /// and that no other member has used.
    pub(super) fn observe_act(&mut self, id: MemberId, duty: &'static str, token: u64) {
        self.observer.acts += 1;
        let act = LastAct { token, by: id };
        let LastAct { token: highest, by } = *self.observer.last_acts.entry(duty).or_insert(act);
        if token < highest || (token == highest && by != id) {
            let text = format!("{id} acts on {duty} under {token}, {by} did under {highest}");
            self.record_breach("stale-act", text);
        }
        self.observer.last_acts.insert(duty, act);
    }

    /// Checks at the end, long after the last fault, that all members of the last file have the same state:
    /// there is a leader, the last file is applied, and no lease is left.
    pub(super) fn check_agreement(&mut self) {
        let last = self.files.last().cloned().unwrap_or_default();
        let nodes = last.keys().filter_map(|id| self.members.get(id)?.node.as_ref());
        let seen: BTreeSet<FinalView> = nodes.map(FinalView::of).collect();
        let wanted: BTreeMap<MemberId, bool> = last.iter().map(|(id, member)| (*id, member.voter)).collect();
        let is_wanted = |view: &FinalView| {
            view.leadership.leader.is_some()
                && view.revision == self.files.len() as u64
                && view.leases == 0
                && view.members == wanted
        };
        if seen.len() != 1 || !seen.iter().all(is_wanted) {
            self.record_breach("no-agreement", format!("wanted {wanted:?}, seen {seen:?}"));
        }
    }
}

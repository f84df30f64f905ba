//! Records what all members of a simulated federation did so far.

use super::FederationCounts;
use crate::federation::node::{AppliedCommand, Node};
use crate::federation::state::{Command, State};
use crate::federation::{LogIndex, MemberId, Term};
use crate::interface::Instant;
use crate::sim::rules::Breach;
use std::collections::BTreeMap;

/// Result of one step of a member, and its state after it.
pub(super) struct ObservedStep {
    pub(super) id: MemberId,
    pub(super) committed: Vec<AppliedCommand>,
    pub(super) is_leader: bool,
    pub(super) term: Term,
    pub(super) state: State,
    pub(super) applied: LogIndex,
}

impl ObservedStep {
    /// Takes what a node has done since the last call.
    pub(super) fn take(id: MemberId, node: &mut Node) -> Self {
        let (state, applied) = (node.state().clone(), node.log_indexes().applied);
        let step = ObservedStep {
            id,
            committed: node.take_applied_commands(),
            is_leader: node.is_leader(),
            term: node.leadership().term,
            state,
            applied,
        };
        node.take_events();
        step
    }
}

/// The last act on a duty: its fencing token, and the member that acted.
#[derive(Clone, Copy)]
pub(super) struct LastAct {
    pub(super) token: u64,
    pub(super) by: MemberId,
}

/// Record of what all members did so far.
#[derive(Default)]
pub(super) struct Observer {
    /// First breach of each rule, in the order of time.
    pub(super) breaches: Vec<Breach>,
    pub(super) leaders: BTreeMap<Term, MemberId>,
    pub(super) committed: BTreeMap<LogIndex, Command>,
    pub(super) states: BTreeMap<LogIndex, State>,
    pub(super) last_acts: BTreeMap<&'static str, LastAct>,
    pub(super) acts: u64,
}

impl Observer {
    pub(super) fn record_breach(&mut self, now: Instant, rule: &'static str, text: String) {
        if self.breaches.iter().all(|breach| breach.rule != rule) {
            self.breaches.push(Breach { rule, at: now - Instant::ZERO, text });
        }
    }

    /// Returns the counts of a run with this many new files.
    pub(super) fn counts(&self, files: u64) -> FederationCounts {
        FederationCounts {
            commands: self.committed.len() as u64,
            leaders: self.leaders.len() as u64,
            files,
            acts: self.acts,
        }
    }
}

//! What all members of a simulated federation did so far.

use super::FederationCounts;
use crate::federation::node::{AppliedCommand, Node};
use crate::federation::state::{Command, State};
use crate::federation::{LogIndex, MemberId, Term};
use crate::interface::Instant;
use crate::sim::rules::Breach;
use std::collections::BTreeMap;

/// What a member did in one step.
pub(super) struct ObservedStep {
    pub(super) id: MemberId,
    pub(super) committed: Vec<AppliedCommand>,
    pub(super) is_leader: bool,
    pub(super) term: Term,
    pub(super) state: State,
    pub(super) applied: LogIndex,
}

impl ObservedStep {
    /// Takes what a node has done since it was last asked.
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

/// The highest token under which a duty was acted on, and by whom.
#[derive(Clone, Copy)]
pub(super) struct LastAct {
    pub(super) token: u64,
    pub(super) by: MemberId,
}

/// What all members did so far.
#[derive(Default)]
pub(super) struct Observer {
    /// The first breach of each rule, in the order of time.
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

    /// The counts of a run with so many new files.
    pub(super) fn counts(&self, files: u64) -> FederationCounts {
        FederationCounts {
            commands: self.committed.len() as u64,
            leaders: self.leaders.len() as u64,
            files,
            acts: self.acts,
        }
    }
}

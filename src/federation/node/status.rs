//! Read access to a member: its role, leader, state, log indexes and the progress of its peers.

use super::{AppliedCommand, LogIndexes, Node, NodeEvent};
use crate::federation::membership::Progress;
use crate::federation::state::State;
use crate::federation::{Leadership, LogIndex, MemberId, Term};
use raft::StateRole;
use std::collections::BTreeMap;

impl Node {
    /// The events since the last call.
    pub fn take_events(&mut self) -> Vec<NodeEvent> {
        std::mem::take(&mut self.events)
    }

    /// The commands that were applied since the last call.
    pub fn take_applied_commands(&mut self) -> Vec<AppliedCommand> {
        std::mem::take(&mut self.applied_commands)
    }

    /// This member's id.
    pub fn id(&self) -> MemberId {
        self.id
    }

    /// Whether this member leads.
    pub fn is_leader(&self) -> bool {
        !self.removed && self.raw_node.raft.state == StateRole::Leader
    }

    /// The leader as this member knows it, and the term. A removed member knows none: it may have been the leader
    /// itself.
    pub fn leadership(&self) -> Leadership {
        let raft = &self.raw_node.raft;
        let leader = if self.removed { MemberId::NONE } else { MemberId(raft.leader_id) };
        Leadership { leader, term: Term(raft.term) }
    }

    /// This member's role, in a word.
    pub fn role(&self) -> &'static str {
        match self.raw_node.raft.state {
            _ if self.removed => "removed",
            _ if !self.raw_node.raft.promotable() => "learner",
            StateRole::Leader => "leader",
            StateRole::Follower => "follower",
            StateRole::Candidate => "candidate",
            StateRole::PreCandidate => "pre-candidate",
        }
    }

    /// The replicated state, as far as the log is applied.
    pub fn state(&self) -> &State {
        &self.state
    }

    /// The indexes of the log as this member has it.
    pub fn log_indexes(&self) -> LogIndexes {
        let log = &self.raw_node.raft.raft_log;
        LogIndexes {
            last: LogIndex(log.last_index()),
            committed: LogIndex(log.committed),
            applied: self.applied,
        }
    }

    /// How far the members are, where this member leads; empty elsewhere.
    pub fn progress(&self) -> BTreeMap<MemberId, Progress> {
        if !self.is_leader() {
            return BTreeMap::new();
        }
        let last = self.raw_node.raft.raft_log.last_index();
        let progress = |(id, peer): (&u64, &raft::Progress)| {
            let lag = last.saturating_sub(peer.matched);
            (MemberId(*id), Progress { lag, active: peer.recent_active })
        };
        self.raw_node.raft.prs().iter().map(progress).collect()
    }
}

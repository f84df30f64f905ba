//! Read access to a member: its role, leader, state, log indexes and the progress of its peers.

use super::{AppliedCommand, LogIndexes, Node, NodeEvent};
use crate::federation::membership::Progress;
use crate::federation::state::State;
use crate::federation::{Leadership, LogIndex, MemberId, Term};
use raft::StateRole;
use std::collections::BTreeMap;

impl Node {
    /// Returns the events since the last call.
    pub fn take_events(&mut self) -> Vec<NodeEvent> {
        std::mem::take(&mut self.events)
    }

    /// Returns the commands that were applied since the last call.
    pub fn take_applied_commands(&mut self) -> Vec<AppliedCommand> {
        std::mem::take(&mut self.applied_commands)
    }

    /// Returns this member's id.
    pub fn id(&self) -> MemberId {
        self.id
    }

    /// Returns whether this member is the leader.
    pub fn is_leader(&self) -> bool {
        !self.removed && self.raw_node.raft.state == StateRole::Leader
    }

    /// Returns the leader that this member knows, and the term. A removed member knows no leader, since it
    /// may have been the leader itself.
    pub fn leadership(&self) -> Leadership {
        let raft = &self.raw_node.raft;
        let leader = if self.removed { MemberId::NONE } else { MemberId(raft.leader_id) };
        Leadership { leader, term: Term(raft.term) }
    }

    /// Returns the name of this member's role.
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

    /// Returns the replicated state after the last applied entry.
    pub fn state(&self) -> &State {
        &self.state
    }

    /// Returns the last, committed and applied index of this member's log.
    pub fn log_indexes(&self) -> LogIndexes {
        let log = &self.raw_node.raft.raft_log;
        LogIndexes {
            last: LogIndex(log.last_index()),
            committed: LogIndex(log.committed),
            applied: self.applied,
        }
    }

    /// Returns the replication progress of all members; empty if this member is not the leader.
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

//! One Raft member without I/O: it takes ticks and messages, and returns messages whose promises are stored already.
//! Consensus is the `raft` crate's `RawNode`, with pre-vote and check-quorum: a member that was partitioned away does
//! not disrupt the others when it returns, and a leader that loses contact with its quorum steps down.
//!
//! - [`Node`]: ticks and messages.
//! - `ready`: the ready loop (store, apply, send, advance) and snapshots.
//! - `apply`: committed entries.
//! - `proposals`: commands, membership changes and leadership transfer.
//! - `status`: read access.
//! - `codec`: the encoding of commands, changes and states in the log.

mod apply;
mod codec;
mod proposals;
mod ready;
mod status;

#[cfg(test)]
mod tests;

use super::log::{CachedLog, LogError, LogUpdate, StoredLog};
use super::records::{HardState, MessageError, MessageKind, MessageRecord, SnapshotRecord};
use super::state::{Change, Command, State};
use super::{Leadership, LogIndex, MemberId, Term};
use codec::{decode_state, encode};
use raft::eraftpb::ConfState;
use raft::{Config, RawNode, StateRole};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Bytes of entries in one message, but for a single larger one.
const MAX_APPEND_BYTES: u64 = 64 * 1024;
/// Messages of entries to one member that may be unanswered.
const MAX_INFLIGHT: usize = 16;
/// Bytes of proposals that may wait for their commit at a leader; beyond it proposals are rejected.
const MAX_UNCOMMITTED_BYTES: u64 = 1 << 20;

/// Where a member's log is stored.
pub trait DurableStorage {
    /// Why a step was not stored.
    type Error: std::error::Error + Send + Sync + 'static;
    /// Stores a step; it is durable when this returns.
    ///
    /// # Errors
    ///
    /// It is unknown whether the step is stored: the member must be restarted from its store.
    fn save(&mut self, update: &LogUpdate) -> Result<(), Self::Error>;
}

/// Election and heartbeat timeouts in ticks, and when the log is compacted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Tuning {
    /// The minimum election timeout, ticks; each timeout is drawn from here up to twice as many.
    pub election_ticks: usize,
    /// Ticks between a leader's heartbeats.
    pub heartbeat_ticks: usize,
    /// Entries after which the log is replaced by a snapshot.
    pub compact_after: u64,
}

/// Why a member cannot start or continue.
#[derive(Debug, thiserror::Error)]
pub enum NodeError {
    /// What is stored is not what a member can have stored.
    #[error("the log: {0}")]
    Log(#[from] LogError),
    /// A snapshot cannot be decoded.
    #[error("the log: the snapshot: {0}")]
    Snapshot(postcard::Error),
    /// The consensus library reports an error.
    #[error("consensus: {0}")]
    Consensus(#[from] raft::Error),
    /// A step could not be stored.
    #[error("the store: {0}")]
    Storage(#[source] Box<dyn std::error::Error + Send + Sync>),
}

impl NodeError {
    fn storage(error: impl std::error::Error + Send + Sync + 'static) -> Self {
        NodeError::Storage(Box::new(error))
    }
}

/// An election timeout that this module drew, and the term and role for which it holds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct ElectionTimeout {
    ticks: usize,
    term: Term,
    role: StateRole,
}

/// A command that was committed and applied to the state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AppliedCommand {
    /// Its index in the log.
    pub index: LogIndex,
    /// The command.
    pub command: Command,
}

/// How far a member's log reaches.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LogIndexes {
    /// The index of the last entry.
    pub last: LogIndex,
    /// The index up to which the log is committed.
    pub committed: LogIndex,
    /// The index of the entry that was applied last.
    pub applied: LogIndex,
}

/// An event that is reported to operators.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum NodeEvent {
    /// The leader changed, or was lost, in this term.
    LeaderChanged(Leadership),
    /// A change of the members was applied.
    MembersChanged(Change),
    /// The entry at this index cannot be decoded by this version and was skipped.
    UnknownEntry(LogIndex),
    /// The state was replaced by a snapshot of this index.
    SnapshotInstalled(LogIndex),
}

/// A member.
pub struct Node {
    id: MemberId,
    raw_node: RawNode<CachedLog>,
    tuning: Tuning,
    conf_state: ConfState,
    state: State,
    applied: LogIndex,
    /// Its own removal was applied, so it is stopped: the library assumes that a leader is a member, and a leader that
    /// applied its own removal would go on leading.
    removed: bool,
    random: ChaCha8Rng,
    election_timeout: ElectionTimeout,
    leader: Leadership,
    events: Vec<NodeEvent>,
    /// The commands that were applied since they were last taken.
    applied_commands: Vec<AppliedCommand>,
}

/// The log with which a founding member starts: a snapshot of the initial state at the first index.
pub fn founding_log(state: &State) -> StoredLog {
    let ids = |voter: bool| {
        let members = state.members.iter().filter(|(_, member)| member.voter == voter);
        members.map(|(id, _)| *id).collect()
    };
    let snapshot = SnapshotRecord {
        index: LogIndex(1),
        term: Term(1),
        voters: ids(true),
        learners: ids(false),
        data: encode(state),
    };
    StoredLog {
        hard_state: HardState { term: Term(1), vote: MemberId::NONE, commit: LogIndex(1) },
        snapshot,
        entries: Vec::new(),
    }
}

impl Node {
    /// Restores a member from its stored log.
    ///
    /// # Errors
    ///
    /// What is stored is no member's log, or the tuning makes no sense.
    pub fn new(id: MemberId, stored: StoredLog, tuning: Tuning, seed: u64) -> Result<Self, NodeError> {
        stored.check()?;
        let state = decode_state(&stored.snapshot)?;
        let applied = stored.snapshot.index;
        let conf_state = stored.snapshot.conf_state();
        let config = Config {
            id: id.0,
            election_tick: tuning.election_ticks,
            heartbeat_tick: tuning.heartbeat_ticks,
            applied: applied.0,
            max_size_per_msg: MAX_APPEND_BYTES,
            max_inflight_msgs: MAX_INFLIGHT,
            check_quorum: true,
            pre_vote: true,
            max_uncommitted_size: MAX_UNCOMMITTED_BYTES,
            ..Config::default()
        };
        let logger = slog::Logger::root(slog::Discard, slog::o!());
        let raw_node = RawNode::new(&config, CachedLog::new(stored), &logger)?;
        let mut node = Node {
            id,
            raw_node,
            tuning,
            conf_state,
            state,
            applied,
            removed: false,
            random: ChaCha8Rng::seed_from_u64(seed),
            election_timeout: ElectionTimeout::default(),
            leader: Leadership::default(),
            events: Vec::new(),
            applied_commands: Vec::new(),
        };
        node.after_step();
        Ok(node)
    }

    /// Runs after each step of the library: replaces a new election timeout by one from the seeded generator, since the
    /// library draws from the system's randomness, and records a change of leader.
    fn after_step(&mut self) {
        let raft = &mut self.raw_node.raft;
        let current = ElectionTimeout {
            ticks: raft.randomized_election_timeout(),
            term: Term(raft.term),
            role: raft.state,
        };
        if current != self.election_timeout {
            let min = self.tuning.election_ticks;
            let ticks = self.random.random_range(min..2 * min);
            raft.set_randomized_election_timeout(ticks);
            self.election_timeout = ElectionTimeout { ticks, ..current };
        }
        let now = Leadership { leader: MemberId(raft.leader_id), term: Term(raft.term) };
        if now.leader != self.leader.leader || (now.leader.is_some() && now != self.leader) {
            self.events.push(NodeEvent::LeaderChanged(now));
        }
        self.leader = now;
    }

    /// Advances the logical clock by one tick.
    pub fn tick(&mut self) {
        if self.removed {
            return;
        }
        self.raw_node.tick();
        self.after_step();
    }

    /// Handles a message from an authenticated member.
    ///
    /// # Errors
    ///
    /// The message is for another member, or violates the protocol; it is ignored.
    pub fn step(&mut self, message: &MessageRecord) -> Result<(), MessageError> {
        if message.to != self.id || message.from == self.id {
            return Err(MessageError::WrongAddress);
        }
        message.check()?;
        if self.removed {
            return Ok(());
        }
        let log = &self.raw_node.raft.raft_log;
        if message.kind == MessageKind::Heartbeat && message.commit.0 > log.last_index() {
            return Err(MessageError::CommitsUnsent);
        }
        // What the library ignores itself (an old term, a removed member) is no error here.
        let _ = self.raw_node.step(message.to_raft());
        self.after_step();
        Ok(())
    }

    /// Reports that a message to a member could not be sent.
    pub fn report_unreachable(&mut self, id: MemberId) {
        if !self.removed {
            self.raw_node.report_unreachable(id.0);
        }
    }

    /// Reports whether a snapshot was sent to a member: the library sends nothing more to it until then.
    pub fn report_snapshot(&mut self, id: MemberId, sent: bool) {
        if self.removed {
            return;
        }
        let status = if sent { raft::SnapshotStatus::Finish } else { raft::SnapshotStatus::Failure };
        self.raw_node.report_snapshot(id.0, status);
    }
}

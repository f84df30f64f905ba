//! One Raft member without I/O: it handles ticks and messages, and returns messages to send. The state that a
//! message depends on is stored before the message is returned.
//!
//! Consensus is the `raft` crate's `RawNode`, with pre-vote and check-quorum: a partitioned member does not
//! disrupt the others when it returns, and a leader that loses contact with its quorum steps down.
//!
//! - [`Node`]: ticks and messages.
//! - `ready`: the ready loop (store, apply, send, advance) and snapshots.
//! - `apply`: applies committed entries.
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

/// The maximum size of the entries in one message, in bytes; a single larger entry is still sent.
const MAX_APPEND_BYTES: u64 = 64 * 1024;
/// The maximum number of unanswered append messages to one member.
const MAX_INFLIGHT: usize = 16;
/// The maximum size of a leader's uncommitted proposals, in bytes; beyond it proposals are rejected.
const MAX_UNCOMMITTED_BYTES: u64 = 1 << 20;

/// The durable storage of a member's log.
pub trait DurableStorage {
    /// Why an update was not stored.
    type Error: std::error::Error + Send + Sync + 'static;
    /// Stores an update, which is durable when this returns.
    ///
    /// # Errors
    ///
    /// Returns an error if the update may not be stored. Whether it is stored is then unknown, so the member
    /// must be restarted from its store.
    fn save(&mut self, update: &LogUpdate) -> Result<(), Self::Error>;
}

/// The election timeout and heartbeat interval in ticks, and when the log is compacted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Tuning {
    /// The minimum election timeout, in ticks. Each timeout is drawn at random from this to less than twice
    /// as many.
    pub election_ticks: usize,
    /// The interval between a leader's heartbeats, in ticks.
    pub heartbeat_ticks: usize,
    /// The number of applied entries after which they are replaced by a snapshot.
    pub compact_after: u64,
}

/// Why a member cannot start or continue.
#[derive(Debug, thiserror::Error)]
pub enum NodeError {
    /// The stored log is inconsistent.
    #[error("the stored log is inconsistent: {0}")]
    Log(#[from] LogError),
    /// A snapshot, stored or received, cannot be decoded.
    #[error("the snapshot cannot be decoded: {0}")]
    Snapshot(postcard::Error),
    /// The `raft` crate returned an error.
    #[error("the consensus library returned an error: {0}")]
    Consensus(#[from] raft::Error),
    /// An update of the log could not be stored.
    #[error("the log update could not be stored: {0}")]
    Storage(#[source] Box<dyn std::error::Error + Send + Sync>),
}

impl NodeError {
    fn storage(error: impl std::error::Error + Send + Sync + 'static) -> Self {
        NodeError::Storage(Box::new(error))
    }
}

/// An election timeout drawn by [`Node`], and the term and role that it applies to.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct ElectionTimeout {
    ticks: usize,
    term: Term,
    role: StateRole,
}

/// A command that was committed and applied to the state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AppliedCommand {
    /// The log index of the command's entry.
    pub index: LogIndex,
    /// The command as it was proposed.
    pub command: Command,
}

/// The last, committed and applied index of a member's log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LogIndexes {
    /// The index of the last entry.
    pub last: LogIndex,
    /// The index up to which the log is committed.
    pub committed: LogIndex,
    /// The index of the last applied entry.
    pub applied: LogIndex,
}

/// An event that is reported to operators.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum NodeEvent {
    /// The leader changed, or contact to it was lost.
    LeaderChanged(Leadership),
    /// A membership change was applied.
    MembersChanged(Change),
    /// The entry at this index was skipped: this version cannot decode it, or the state does not allow its
    /// change.
    UnknownEntry(LogIndex),
    /// The state was replaced by the leader's snapshot at this index.
    SnapshotInstalled(LogIndex),
}

/// A Raft member: its log, the replicated state and the events to report.
pub struct Node {
    id: MemberId,
    raw_node: RawNode<CachedLog>,
    tuning: Tuning,
    conf_state: ConfState,
    state: State,
    applied: LogIndex,
    /// Whether the member's own removal was applied. It then does nothing more: the `raft` crate assumes that
    /// a leader is a member, so a leader that applied its own removal would remain leader.
    removed: bool,
    random: ChaCha8Rng,
    election_timeout: ElectionTimeout,
    leader: Leadership,
    events: Vec<NodeEvent>,
    /// The commands applied since the last call of [`Node::take_applied_commands`].
    applied_commands: Vec<AppliedCommand>,
}

/// Returns the log that a founding member starts with: a snapshot of the initial state at index 1.
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
    /// Returns an error if the log is inconsistent, its snapshot cannot be decoded, or the `raft` crate
    /// rejects the tuning.
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

    /// Runs after each call that steps the `raft` crate. Replaces a new election timeout by one from the
    /// seeded generator, since the crate draws from the system's randomness, and records a change of leader.
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
    /// Returns an error if the message is addressed to another member or violates the protocol; it is then
    /// ignored.
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
        // Messages that the `raft` crate itself ignores (an old term, a removed member) are not errors here.
        let _ = self.raw_node.step(message.to_raft());
        self.after_step();
        Ok(())
    }

    /// Tells the `raft` crate that a message to a member could not be sent.
    pub fn report_unreachable(&mut self, id: MemberId) {
        if !self.removed {
            self.raw_node.report_unreachable(id.0);
        }
    }

    /// Tells the `raft` crate whether a snapshot was sent to a member; until then it sends that member no
    /// more entries.
    pub fn report_snapshot(&mut self, id: MemberId, sent: bool) {
        if self.removed {
            return;
        }
        let status = if sent { raft::SnapshotStatus::Finish } else { raft::SnapshotStatus::Failure };
        self.raw_node.report_snapshot(id.0, status);
    }
}

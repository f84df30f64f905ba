//! One member: ticks and messages in, messages out, and what must be kept is kept before anything is said. Consensus is the
//! `raft` crate's `RawNode`, with pre-vote and check-quorum: a member that was cut off does not disturb the others when it
//! is back, and a leader that hears no majority stops being one.

use super::log::{Log, Save, Saved};
use super::membership::{self, Progress, Step};
use super::records::{EntryRecord, Hard, Kind, MessageKind, MessageRecord, SnapshotRecord};
use super::state::{Change, Command, State};
use super::MemberId;
use raft::eraftpb::{ConfChange, ConfChangeType, ConfState, Entry};
use raft::{Config, RawNode, StateRole};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;

/// Bytes of entries in one message, but for a single larger one.
const MOST_APPEND: u64 = 64 * 1024;
/// Messages of entries to one member that may be unanswered.
const MOST_INFLIGHT: usize = 16;
/// Bytes of proposals that may wait for their commit at a leader; past it proposals are refused.
const MOST_UNCOMMITTED: u64 = 1 << 20;
/// Bytes of one command.
const MOST_COMMAND: usize = 32 * 1024;

/// Where a member's log is kept; a step is durable when the call returns, or it did not happen.
pub trait Keep {
    /// Why it cannot be kept.
    type Error: std::fmt::Display;
    /// Keeps a step.
    ///
    /// # Errors
    ///
    /// It is not known to be kept: the member must be made anew from what was.
    fn save(&mut self, save: &Save) -> Result<(), Self::Error>;
}

/// How a member goes by its ticks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Tuning {
    /// Ticks without a leader after which a member stands for election, at the least; at most twice as many.
    pub election_ticks: usize,
    /// Ticks between a leader's heartbeats.
    pub heartbeat_ticks: usize,
    /// Entries after which the log is replaced by a snapshot.
    pub compact_after: u64,
}

/// Why a member cannot be made, or go on.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum NodeError {
    /// What it kept is not what a member can have kept.
    #[error("the log: {0}")]
    Log(String),
    /// The library does not take it.
    #[error("consensus: {0}")]
    Consensus(String),
    /// A step could not be kept.
    #[error("the store: {0}")]
    Store(String),
}

/// Something that an operator wants to know of.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Happened {
    /// Another leader, or none (0), in this term.
    Leader(MemberId, u64),
    /// A change of the members holds.
    Changed(Change),
    /// A command that this version does not know was passed over.
    Unknown(u64),
    /// The state came as a snapshot at this place.
    CaughtUp(u64),
}

/// A member.
pub struct Node {
    id: MemberId,
    raw: RawNode<Log>,
    tuning: Tuning,
    conf: ConfState,
    state: State,
    applied: u64,
    /// Its own removal was committed: it takes part no more. The library takes for granted that a leader belongs to its
    /// members, and one that led before it applied its removal would else go on.
    removed: bool,
    random: ChaCha8Rng,
    /// The election timeout that was drawn here, and for which term and role.
    drawn: (usize, u64, StateRole),
    leader: (MemberId, u64),
    happened: Vec<Happened>,
    /// Commands in the order of the log since they were last taken, with their places.
    committed: Vec<(u64, Command)>,
}

/// What a founder has kept before it ever ran: the state that all founders begin with, at the first place.
pub fn founding(state: &State) -> Saved {
    let who =
        |voter: bool| move |(id, m): (&MemberId, &super::state::Member)| (m.voter == voter).then_some(*id);
    let snapshot = SnapshotRecord {
        index: 1,
        term: 1,
        voters: state.members.iter().filter_map(who(true)).collect(),
        learners: state.members.iter().filter_map(who(false)).collect(),
        data: encode(state),
    };
    Saved { hard: Hard { term: 1, vote: 0, commit: 1 }, snapshot, entries: Vec::new() }
}

fn encode<T: serde::Serialize>(value: &T) -> Vec<u8> {
    // Only maps of unknown length and the like have no encoding; these types have none.
    postcard::to_stdvec(value).unwrap_or_default()
}

fn decode(snapshot: &SnapshotRecord) -> Result<State, NodeError> {
    if snapshot.index == 0 {
        return Ok(State::default());
    }
    postcard::from_bytes(&snapshot.data).map_err(|error| NodeError::Log(format!("the snapshot: {error}")))
}

impl Node {
    /// A member that goes on from what it kept.
    ///
    /// # Errors
    ///
    /// What it kept is no member's log, or the tuning makes no sense.
    pub fn new(id: MemberId, saved: Saved, tuning: Tuning, seed: u64) -> Result<Self, NodeError> {
        saved.check().map_err(NodeError::Log)?;
        let state = decode(&saved.snapshot)?;
        let applied = saved.snapshot.index;
        let conf = (saved.snapshot.voters.clone(), saved.snapshot.learners.clone()).into();
        let config = Config {
            id,
            election_tick: tuning.election_ticks,
            heartbeat_tick: tuning.heartbeat_ticks,
            applied,
            max_size_per_msg: MOST_APPEND,
            max_inflight_msgs: MOST_INFLIGHT,
            check_quorum: true,
            pre_vote: true,
            max_uncommitted_size: MOST_UNCOMMITTED,
            ..Config::default()
        };
        let logger = slog::Logger::root(slog::Discard, slog::o!());
        let raw = RawNode::new(&config, Log::new(saved), &logger)
            .map_err(|error| NodeError::Consensus(error.to_string()))?;
        let mut node = Node {
            id,
            raw,
            tuning,
            conf,
            state,
            applied,
            removed: false,
            random: ChaCha8Rng::seed_from_u64(seed),
            drawn: (0, 0, StateRole::Follower),
            leader: (0, 0),
            happened: Vec::new(),
            committed: Vec::new(),
        };
        node.settle();
        Ok(node)
    }

    /// The library draws election timeouts from the system's randomness; a run must repeat by its seed.
    fn settle(&mut self) {
        let raft = &mut self.raw.raft;
        let (drawn, term, role) = self.drawn;
        if (raft.randomized_election_timeout(), raft.term, raft.state) != (drawn, term, role) {
            let most = 2 * self.tuning.election_ticks;
            let timeout = self.random.random_range(self.tuning.election_ticks..most);
            raft.set_randomized_election_timeout(timeout);
            self.drawn = (timeout, raft.term, raft.state);
        }
        let leader = (raft.leader_id, raft.term);
        if leader.0 != self.leader.0 || (leader.0 != 0 && leader != self.leader) {
            self.happened.push(Happened::Leader(leader.0, leader.1));
        }
        self.leader = leader;
    }

    /// A tick has passed.
    pub fn tick(&mut self) {
        if self.removed {
            return;
        }
        self.raw.tick();
        self.settle();
    }

    /// A message has come from a member that is who it says.
    ///
    /// # Errors
    ///
    /// It is not for this member, or no member that keeps to the protocol sends it; it is passed over.
    pub fn step(&mut self, message: &MessageRecord) -> Result<(), &'static str> {
        if message.to != self.id || message.from == self.id {
            return Err("it is another member's");
        }
        message.check()?;
        if self.removed {
            return Ok(());
        }
        let log = &self.raw.raft.raft_log;
        if message.kind == MessageKind::Heartbeat && message.commit > log.last_index() {
            return Err("it commits what was not sent");
        }
        // What it passes over itself (an old term, a member that was removed) is no error here.
        let _ = self.raw.step(message.message());
        self.settle();
        Ok(())
    }

    /// A message to a member could not be sent.
    pub fn unreachable(&mut self, id: MemberId) {
        if self.removed {
            return;
        }
        self.raw.report_unreachable(id);
    }

    /// A snapshot went out to a member, or could not: the library waits to hear.
    pub fn snapshot_went(&mut self, id: MemberId, went: bool) {
        if self.removed {
            return;
        }
        let status = if went { raft::SnapshotStatus::Finish } else { raft::SnapshotStatus::Failure };
        self.raw.report_snapshot(id, status);
    }

    /// Proposes a command; `false`: this member does not lead, or too much waits already.
    pub fn propose(&mut self, command: &Command) -> bool {
        let data = encode(command);
        let done =
            self.is_leader() && data.len() <= MOST_COMMAND && self.raw.propose(Vec::new(), data).is_ok();
        self.settle();
        done
    }

    fn propose_change(&mut self, change: &Change) -> bool {
        let done = self.raw.propose_conf_change(encode(change), theirs(change)).is_ok();
        self.settle();
        done
    }

    /// Goes a step nearer to a file's members, where this member leads and the step before is over.
    pub fn reconcile(&mut self, revision: u64, wanted: &BTreeMap<MemberId, (String, bool)>) {
        if !self.is_leader() || self.raw.raft.has_pending_conf() {
            return;
        }
        match membership::next(&self.state, (revision, wanted), self.id, &self.progress()) {
            Step::Change(change) => drop(self.propose_change(&change)),
            Step::Command(command) => drop(self.propose(&command)),
            Step::Yield => drop(self.yield_lead()),
            Step::Wait => {}
        }
    }

    /// Hands the lead to the voter that is the least behind; `false`: it has none, or nobody to give it to.
    pub fn yield_lead(&mut self) -> bool {
        let progress = self.progress();
        let others = self.state.members.iter().filter(|(id, member)| member.voter && **id != self.id);
        let seen = others.filter_map(|(id, _)| Some((progress.get(id).filter(|p| p.active)?.lag, *id)));
        let Some((_, to)) = seen.min().filter(|_| self.is_leader()) else { return false };
        self.raw.transfer_leader(to);
        self.settle();
        true
    }

    /// Keeps what must be kept and gives what may be sent then, until there is nothing more to do.
    ///
    /// # Errors
    ///
    /// A step could not be kept, or a snapshot not be read. This member is of no use any more: it has to be made anew.
    pub fn drive(&mut self, keep: &mut impl Keep) -> Result<Vec<MessageRecord>, NodeError> {
        let mut out = Vec::new();
        let store = |error: &dyn std::fmt::Display| NodeError::Store(error.to_string());
        if self.removed {
            return Ok(out);
        }
        while self.raw.has_ready() {
            let mut ready = self.raw.ready();
            out.extend(ready.take_messages().iter().filter_map(MessageRecord::of));
            let snapshot = Some(ready.snapshot()).filter(|s| !s.is_empty()).map(SnapshotRecord::from);
            let save = Save {
                hard: ready.hs().map(Hard::from),
                replaces: snapshot.is_some(),
                snapshot,
                entries: ready.entries().iter().map(EntryRecord::from).collect(),
            };
            if !save.is_empty() {
                keep.save(&save).map_err(|error| store(&error))?;
                self.raw.mut_store().apply(&save);
            }
            if let Some(snapshot) = &save.snapshot {
                self.state = decode(snapshot)?;
                self.applied = snapshot.index;
                self.conf = (snapshot.voters.clone(), snapshot.learners.clone()).into();
                self.happened.push(Happened::CaughtUp(snapshot.index));
            }
            self.apply(ready.take_committed_entries());
            if self.removed {
                return Ok(out);
            }
            out.extend(ready.take_persisted_messages().iter().filter_map(MessageRecord::of));
            let mut light = self.raw.advance(ready);
            if let Some(commit) = light.commit_index() {
                self.raw.mut_store().commit(commit);
            }
            out.extend(light.take_messages().iter().filter_map(MessageRecord::of));
            self.apply(light.take_committed_entries());
            if self.removed {
                return Ok(out);
            }
            self.raw.advance_apply();
        }
        self.settle();
        let base = self.raw.store().base().index;
        let wanted = self.raw.store().wants_snapshot() && self.applied > base;
        if wanted || self.applied - base >= self.tuning.compact_after {
            let save = Save { snapshot: Some(self.snapshot()?), ..Save::default() };
            keep.save(&save).map_err(|error| store(&error))?;
            self.raw.mut_store().apply(&save);
        }
        Ok(out)
    }

    fn snapshot(&self) -> Result<SnapshotRecord, NodeError> {
        let term = self.raw.raft.raft_log.term(self.applied);
        Ok(SnapshotRecord {
            index: self.applied,
            term: term.map_err(|error| NodeError::Consensus(error.to_string()))?,
            voters: self.conf.voters.clone(),
            learners: self.conf.learners.clone(),
            data: encode(&self.state),
        })
    }

    fn apply(&mut self, entries: Vec<Entry>) {
        for entry in entries {
            self.applied = entry.index;
            let record = EntryRecord::from(&entry);
            match record.kind {
                Kind::Normal if record.data.is_empty() => {} // a new leader's first
                Kind::Normal => match postcard::from_bytes(&record.data) {
                    Ok(command) => {
                        self.state.apply(&command);
                        self.committed.push((record.index, command));
                    }
                    Err(_) => self.happened.push(Happened::Unknown(record.index)),
                },
                Kind::Change => match postcard::from_bytes::<Change>(&record.context) {
                    Ok(change) if self.state.allows(&change) => {
                        if let Ok(conf) = self.raw.apply_conf_change(&theirs(&change)) {
                            self.conf = conf;
                        }
                        self.state.change(&change);
                        self.removed |= change == Change::Remove(self.id);
                        self.happened.push(Happened::Changed(change));
                    }
                    _ => self.happened.push(Happened::Unknown(record.index)),
                },
            }
        }
    }

    /// What happened since it was last asked.
    pub fn happened(&mut self) -> Vec<Happened> {
        std::mem::take(&mut self.happened)
    }

    /// The commands that were committed since it was last asked, with their places.
    pub fn committed(&mut self) -> Vec<(u64, Command)> {
        std::mem::take(&mut self.committed)
    }

    /// Its number.
    pub fn id(&self) -> MemberId {
        self.id
    }

    /// Whether this member leads.
    pub fn is_leader(&self) -> bool {
        !self.removed && self.raw.raft.state == StateRole::Leader
    }

    /// The leader as this member knows it, 0 for none, and the term.
    pub fn leader(&self) -> (MemberId, u64) {
        (self.raw.raft.leader_id, self.raw.raft.term)
    }

    /// Its part, in a word.
    pub fn role(&self) -> &'static str {
        match self.raw.raft.state {
            _ if self.removed => "removed",
            _ if !self.raw.raft.promotable() => "learner",
            StateRole::Leader => "leader",
            StateRole::Follower => "follower",
            StateRole::Candidate => "candidate",
            StateRole::PreCandidate => "pre-candidate",
        }
    }

    /// The state as far as it is applied, and that place in the log.
    pub fn state(&self) -> (&State, u64) {
        (&self.state, self.applied)
    }

    /// The places up to which the log reaches and is committed.
    pub fn places(&self) -> (u64, u64) {
        (self.raw.raft.raft_log.last_index(), self.raw.raft.raft_log.committed)
    }

    /// How the others stand, where this member leads; empty elsewhere.
    pub fn progress(&self) -> BTreeMap<MemberId, Progress> {
        if !self.is_leader() {
            return BTreeMap::new();
        }
        let last = self.raw.raft.raft_log.last_index();
        let seen = |(id, p): (&u64, &raft::Progress)| {
            (*id, Progress { lag: last.saturating_sub(p.matched), active: p.recent_active })
        };
        self.raw.raft.prs().iter().map(seen).collect()
    }
}

fn theirs(change: &Change) -> ConfChange {
    let mut made = ConfChange::default();
    let (kind, id) = match change {
        Change::Add { id, .. } | Change::Demote(id) => (ConfChangeType::AddLearnerNode, *id),
        Change::Promote(id) => (ConfChangeType::AddNode, *id),
        Change::Remove(id) => (ConfChangeType::RemoveNode, *id),
    };
    made.set_change_type(kind);
    made.node_id = id;
    made
}

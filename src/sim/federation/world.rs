//! State of a run in progress, its event queue, and the handling of events.

use super::member::SimulatedMember;
use super::observer::Observer;
use super::{
    draw_instant, FederationOutcome, PlantedBug, FIRST_FAULT, LAST_FAULT, MAX_FAULT_DURATION, MS,
    QUIET_PERIOD,
};
use crate::federation::node::founding_log;
use crate::federation::records::MessageRecord;
use crate::federation::state::{Command, Roster, State, WantedMember};
use crate::federation::MemberId;
use crate::interface::{Instant, Span};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::hash_map::DefaultHasher;
use std::collections::BTreeMap;
use std::hash::Hasher;

/// Number of the cluster, and first revision of its file.
const CLUSTER: u64 = 7;
const FIRST_REVISION: u64 = 1;
/// One in this many seeds has disks that fail and recover while their members keep trying. The other seeds
/// play the same events as before such faults were added, so that seeds that once found a bug still test for
/// it.
const SEEDS_PER_DISK_FAULTS: u64 = 4;
const FIRST_SEED_WITH_DISK_FAULTS: u64 = 1;

/// An event of a run.
pub(super) enum FederationEvent {
    /// A member's tick with this number.
    Tick(MemberId, u64),
    /// A message arrives from a member whose store has this incarnation.
    Message(Box<MessageRecord>, u64),
    /// A fault begins.
    Fault,
    /// The disk of a member that is drawn then begins to fail.
    DiskFails,
    /// The disk of a member stops failing.
    DiskHeals(MemberId),
    /// A member starts if it is not running.
    Restart(MemberId),
    /// A member acts on a duty under a fencing token that was valid when the event was scheduled.
    Act(MemberId, &'static str, u64),
    /// A member's command reaches the member that it considers to be the leader.
    Forward(MemberId, MemberId, Command),
    /// The leader proposes a filler command, which has no effect.
    ProposeFiller,
    /// The federation file with this number reaches a member.
    File(MemberId, u64),
}

/// State of a run in progress.
pub(super) struct FederationWorld {
    pub(super) now: Instant,
    event_queue: BTreeMap<(Instant, u64), FederationEvent>,
    scheduled: u64,
    pub(super) members: BTreeMap<MemberId, SimulatedMember>,
    /// Until when messages are lost, by sender and receiver.
    pub(super) partitions: BTreeMap<(MemberId, MemberId), Instant>,
    /// All federation files so far; the newest is last.
    pub(super) files: Vec<Roster>,
    pub(super) random: ChaCha8Rng,
    /// Draws the disk faults that heal. It is separate from `random`, so that all other draws stay as they
    /// are without these faults.
    pub(super) disk_random: ChaCha8Rng,
    /// Longest delay of a message in this run.
    pub(super) max_delay: Span,
    /// On average, a member crashes for a moment at one in this many granted votes; 0: never.
    pub(super) votes_per_crash: u32,
    pub(super) planted_bug: Option<PlantedBug>,
    pub(super) observer: Observer,
    /// Number of filler commands that were proposed.
    pub(super) filler_commands: u64,
    pub(super) trace: DefaultHasher,
}

impl FederationWorld {
    /// Creates a federation that has just been founded, with all faults scheduled.
    pub(super) fn new(seed: u64, planted_bug: Option<PlantedBug>) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let voters = [3, 3, 5][random.random_range(0..3)];
        let founders = voters + random.random_range(0..=2);
        let faults = random.random_range(4..=14);
        let max_delay = [5 * MS, 20 * MS, 100 * MS][random.random_range(0..3)];
        let votes_per_crash = [0, 2, 5][random.random_range(0..3)];
        let founder = |id| {
            let member = WantedMember { site: format!("site-{id}"), voter: id <= voters };
            (MemberId(id), member)
        };
        let file: Roster = (1..=founders).map(founder).collect();
        let mut world = FederationWorld {
            now: Instant::ZERO,
            event_queue: BTreeMap::new(),
            scheduled: 0,
            members: BTreeMap::new(),
            partitions: BTreeMap::new(),
            files: vec![file],
            random,
            disk_random: ChaCha8Rng::seed_from_u64(!seed),
            max_delay,
            votes_per_crash,
            planted_bug,
            observer: Observer::default(),
            filler_commands: 0,
            trace: DefaultHasher::new(),
        };
        world.add_founders();
        world.plan_events(seed, faults);
        world
    }

    /// Adds the members of the first file.
    fn add_founders(&mut self) {
        let founded = State::founded(CLUSTER, FIRST_REVISION, &self.files[0]);
        let founders: Vec<MemberId> = self.files[0].keys().copied().collect();
        for id in founders {
            self.add(id, founding_log(&founded));
        }
    }

    fn plan_events(&mut self, seed: u64, faults: i32) {
        for _ in 0..faults {
            let at = draw_instant(&mut self.random, FIRST_FAULT..LAST_FAULT);
            self.schedule(at, FederationEvent::Fault);
        }
        self.schedule(Instant::ZERO + MS, FederationEvent::ProposeFiller);
        if seed % SEEDS_PER_DISK_FAULTS == FIRST_SEED_WITH_DISK_FAULTS {
            self.plan_disk_faults();
        }
    }

    /// Schedules an event, now at the earliest.
    pub(super) fn schedule(&mut self, at: Instant, event: FederationEvent) {
        self.scheduled += 1;
        self.event_queue.insert((at.max(self.now), self.scheduled), event);
    }

    /// Plays to the end or to the first breach, since breaches that follow from another one are not
    /// informative.
    pub(super) fn play(mut self) -> FederationOutcome {
        let end = LAST_FAULT + MAX_FAULT_DURATION + QUIET_PERIOD;
        while let Some(((at, _), event)) = self.event_queue.pop_first().filter(|((at, _), _)| *at < end) {
            self.now = at;
            self.handle(event);
            if !self.observer.breaches.is_empty() {
                break;
            }
        }
        if self.observer.breaches.is_empty() {
            self.check_agreement();
        }
        FederationOutcome {
            counts: self.observer.counts(self.files.len() as u64 - 1),
            breaches: self.observer.breaches,
            trace: self.trace.finish(),
        }
    }

    fn handle(&mut self, event: FederationEvent) {
        match event {
            FederationEvent::Tick(id, number) => self.tick(id, number),
            FederationEvent::Message(message, incarnation) => self.deliver(message, incarnation),
            FederationEvent::Forward(from, to, command) => self.forward(from, to, &command),
            FederationEvent::Act(id, duty, token) => self.act(id, duty, token),
            FederationEvent::ProposeFiller => self.propose_filler(),
            FederationEvent::Restart(id) => self.restart(id),
            FederationEvent::File(id, file) => {
                if let Some(member) = self.members.get_mut(&id) {
                    member.file = member.file.max(file);
                }
            }
            FederationEvent::Fault => self.begin_fault(),
            FederationEvent::DiskFails => self.fail_any_disk(),
            FederationEvent::DiskHeals(id) => {
                if let Some(member) = self.members.get_mut(&id) {
                    member.disk.fault = None;
                }
            }
        }
    }

    /// Records a breach, unless the rule was broken before.
    pub(super) fn record_breach(&mut self, rule: &'static str, text: String) {
        self.observer.record_breach(self.now, rule, text);
    }
}

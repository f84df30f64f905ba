//! Federations of several members on a virtual clock: the same [`Node`](crate::federation::node::Node)s that run in service, with messages that come late,
//! out of order or not at all, cuts (also one way only), stalls, restarts from the store, disks that fail and work again,
//! clocks that drift apart and new files. An observer who sees all members checks what must hold; see docs/simulator.md.

mod checks;
mod disk;
mod faults;
mod leases;
mod search;
mod world;

pub use search::{search, Summary};

use super::rules::Breach;
use crate::federation::duties::LeaseTerms;
use crate::federation::node::{founding_log, Tuning};
use crate::federation::state::{Roster, State, WantedMember};
use crate::federation::MemberId;
use crate::interface::{Instant, Span};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::hash_map::DefaultHasher;
use std::collections::BTreeMap;
use std::hash::Hasher;
use std::ops::Range;
use world::{Event, World};

const MS: Span = Span::from_millis(1);
const TICK: Span = Span::from_millis(50);
/// Faults come from the one to the other...
const FIRST_FAULT: Instant = Instant::from_micros(1_000_000);
const FAULTS: Instant = Instant::from_micros(20_000_000);
/// ... and all is well again from then on, with this much time to find together.
const QUIET: Span = Span::from_secs(12);
const TUNING: Tuning = Tuning { election_ticks: 10, heartbeat_ticks: 2, compact_after: 12 };
/// The shortest time that a message takes.
const SHORTEST_DELAY: Span = Span::from_micros(500);
/// Clocks run this much too fast or slow at most.
const DRIFT: f64 = 0.05;
const TERMS: LeaseTerms =
    LeaseTerms { duration: Span::from_secs(3), guard: Span::from_millis(150), drift: DRIFT };
/// Duties that members stand for.
const DUTIES: [&str; 3] = ["publish", "warm/a", "trial/b"];

/// A bug that is planted to see that it is found.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub enum Planted {
    /// LeaseTerms and votes are not kept: a member that restarts votes again in the same term
    ForgottenVote,
    /// What was kept last is lost with the process, though it was answered for already
    UnsyncedLog,
    /// A member that lost its store comes back with an empty one under its old name, and is taken for the old one
    EmptyStore,
    /// A holder does not look at its clock again before it acts
    NoLook,
    /// Holders keep no guard time, and the leader waits for no drift of clocks
    NoGuard,
    /// A member acknowledges what its failing disk did not store
    UnstoredAck,
}

/// How a run came out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outcome {
    /// What was broken, in the order of time.
    pub breaches: Vec<Breach>,
    /// A number for all that happened: equal runs have equal ones.
    pub trace: u64,
    /// Commands that were committed, leaders, new files, acts.
    pub counts: [u64; 4],
}

/// One seed in so many has disks that fail and work again while their members go on. The others play what they played before
/// there were such faults, so that the seeds that once found a bug still look for it.
const SEEDS_PER_DISK_FAULTS: u64 = 4;
const FIRST_SEED_WITH_DISK_FAULTS: u64 = 1;

/// Draws a span.
fn draw_span(random: &mut impl Rng, from: Range<Span>) -> Span {
    Span::from_micros(random.random_range(from.start.as_micros()..from.end.as_micros()))
}

/// Draws an instant.
fn draw_instant(random: &mut impl Rng, from: Range<Instant>) -> Instant {
    Instant::from_micros(random.random_range(from.start.as_micros()..from.end.as_micros()))
}

/// Plays one seed.
pub fn run(seed: u64, planted: Option<Planted>) -> Outcome {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let voters = [3, 3, 5][random.random_range(0..3)];
    let founders = voters + random.random_range(0..=2);
    let founder = |id| (MemberId(id), WantedMember { site: format!("site-{id}"), voter: id <= voters });
    let file: Roster = (1..=founders).map(founder).collect();
    let faults = random.random_range(4..=14);
    let mut world = World {
        now: Instant::ZERO,
        count: 0,
        agenda: BTreeMap::new(),
        members: BTreeMap::new(),
        cuts: BTreeMap::new(),
        files: vec![file.clone()],
        slowest: [5 * MS, 20 * MS, 100 * MS][random.random_range(0..3)],
        dies_voting: [0, 2, 5][random.random_range(0..3)],
        random,
        disk_random: ChaCha8Rng::seed_from_u64(!seed),
        planted,
        breaches: Vec::new(),
        leaders: BTreeMap::new(),
        committed: BTreeMap::new(),
        states: BTreeMap::new(),
        acted: BTreeMap::new(),
        acts: 0,
        loads: 0,
        trace: DefaultHasher::new(),
    };
    let founded = State::founded(7, 1, &file);
    for id in 1..=founders {
        world.add(MemberId(id), founding_log(&founded));
    }
    for _ in 0..faults {
        let at = draw_instant(&mut world.random, FIRST_FAULT..FAULTS);
        world.plan(at, Event::Fault);
    }
    world.plan(Instant::ZERO + MS, Event::Load);
    if seed % SEEDS_PER_DISK_FAULTS == FIRST_SEED_WITH_DISK_FAULTS {
        world.plan_disk_faults();
    }
    while let Some(((at, _), event)) =
        world.agenda.pop_first().filter(|((at, _), _)| *at < FAULTS + 5000 * MS + QUIET)
    {
        world.now = at;
        world.happen(event);
        if !world.breaches.is_empty() {
            break; // what follows from a breach says nothing
        }
    }
    if world.breaches.is_empty() {
        world.check_end();
    }
    let [commands, leaders] = [world.committed.len() as u64, world.leaders.len() as u64];
    let counts = [commands, leaders, world.files.len() as u64 - 1, world.acts];
    Outcome { breaches: world.breaches, trace: world.trace.finish(), counts }
}

//! Federations of several members on a virtual clock: the same [`Node`](crate::federation::node::Node)s that run in
//! service, with messages that come late, out of order or not at all, cuts (also one way only), stalls, restarts from
//! the store, disks that fail and work again, clocks that drift apart and new files. See docs/simulator.md.
//!
//! - `world`: the run's event queue and what happens; `member`: one member; `members`: they start, restart and take steps.
//! - `messages`: what goes between members; `leases`: what they do with their duties.
//! - `faults`: what goes wrong; `disk`: a member's store.
//! - `observer`: what all members did so far; `checks`: what must hold of it.
//! - `summary`: plays many seeds.

mod checks;
mod disk;
mod faults;
mod leases;
mod member;
mod members;
mod messages;
mod observer;
mod summary;
mod world;

pub use summary::{search, FederationSummary};

use super::rules::Breach;
use crate::federation::duties::LeaseTerms;
use crate::federation::node::Tuning;
use crate::interface::{Instant, Span};
use rand::Rng;
use std::iter::Sum;
use std::ops::{Add, Range};
use world::FederationWorld;

const MS: Span = Span::from_millis(1);
const TICK: Span = Span::from_millis(50);
/// Faults begin between these times.
const FIRST_FAULT: Instant = Instant::from_micros(1_000_000);
const LAST_FAULT: Instant = Instant::from_micros(20_000_000);
/// The longest that a fault lasts beyond the last one's begin.
const MAX_FAULT_DURATION: Span = Span::from_secs(5);
/// How long the members have without faults to agree.
const QUIET_PERIOD: Span = Span::from_secs(12);
const TUNING: Tuning = Tuning { election_ticks: 10, heartbeat_ticks: 2, compact_after: 12 };
/// The shortest time that a message takes.
const MIN_DELAY: Span = Span::from_micros(500);
/// The largest part by which clocks run too fast or slow.
const MAX_DRIFT: f64 = 0.05;
const LEASE_TERMS: LeaseTerms =
    LeaseTerms { duration: Span::from_secs(3), guard: Span::from_millis(150), drift: MAX_DRIFT };
/// The duties for which members seek leases.
const DUTIES: [&str; 3] = ["publish", "warm/a", "trial/b"];

/// A bug that is planted to see that it is found.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub enum PlantedBug {
    /// Terms and votes are not kept: a member that restarts votes again in the same term
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
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FederationOutcome {
    /// The broken rules, in the order of time.
    pub breaches: Vec<Breach>,
    /// A hash of all that happened: equal runs have equal ones.
    pub trace: u64,
    /// What happened in the run.
    pub counts: FederationCounts,
}

/// How much happened in one run or several.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FederationCounts {
    /// Commands that were committed.
    pub commands: u64,
    /// Terms that had a leader.
    pub leaders: u64,
    /// New federation files.
    pub files: u64,
    /// Acts under a lease.
    pub acts: u64,
}

impl Add for FederationCounts {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        FederationCounts {
            commands: self.commands + other.commands,
            leaders: self.leaders + other.leaders,
            files: self.files + other.files,
            acts: self.acts + other.acts,
        }
    }
}

impl Sum for FederationCounts {
    fn sum<I: Iterator<Item = Self>>(counts: I) -> Self {
        counts.fold(FederationCounts::default(), Add::add)
    }
}

/// Draws a span.
fn draw_span(random: &mut impl Rng, from: Range<Span>) -> Span {
    Span::from_micros(random.random_range(from.start.as_micros()..from.end.as_micros()))
}

/// Draws an instant.
fn draw_instant(random: &mut impl Rng, from: Range<Instant>) -> Instant {
    Instant::from_micros(random.random_range(from.start.as_micros()..from.end.as_micros()))
}

/// Plays one seed.
pub fn run(seed: u64, planted_bug: Option<PlantedBug>) -> FederationOutcome {
    FederationWorld::new(seed, planted_bug).play()
}

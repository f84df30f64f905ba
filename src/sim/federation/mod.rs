//! Simulates federations of several members on a virtual clock, with the same
//! [`Node`](crate::federation::node::Node)s that run in service. Messages are delayed, reordered or lost.
//! Members are partitioned (also one way only), stalled and restarted from their stores, their disks fail and
//! recover, their clocks drift apart, and new files arrive. See docs/simulator.md.
//!
//! - `world`: the run's state, its event queue and the handling of events.
//! - `member`: the state of one member; `members`: how members start, restart and take steps.
//! - `messages`: messages and commands between members; `leases`: how members seek and use leases.
//! - `faults`: the faults of a run; `disk`: a member's store, which can fail.
//! - `observer`: records what all members did so far; `checks`: the rules for it.
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
use crate::federation::duties::LeaseTiming;
use crate::federation::node::Tuning;
use crate::interface::{Instant, Span};
use rand::Rng;
use std::iter::Sum;
use std::ops::{Add, Range};
use world::FederationWorld;

const MS: Span = Span::from_millis(1);
const TICK: Span = Span::from_millis(50);
/// Earliest and latest time at which a fault begins.
const FIRST_FAULT: Instant = Instant::from_micros(1_000_000);
const LAST_FAULT: Instant = Instant::from_micros(20_000_000);
/// Longest time that a fault lasts after `LAST_FAULT`.
const MAX_FAULT_DURATION: Span = Span::from_secs(5);
/// Time without faults at the end of a run, in which the members must reach agreement.
const QUIET_PERIOD: Span = Span::from_secs(12);
const TUNING: Tuning = Tuning { election_ticks: 10, heartbeat_ticks: 2, compact_after: 12 };
/// Shortest delay of a message.
const MIN_DELAY: Span = Span::from_micros(500);
/// Largest fraction by which clocks run too fast or too slow.
const MAX_DRIFT: f64 = 0.05;
const LEASE_TIMING: LeaseTiming =
    LeaseTiming { duration: Span::from_secs(3), guard: Span::from_millis(150), drift: MAX_DRIFT };
/// The duties for which members seek leases.
const DUTIES: [&str; 3] = ["publish", "warm/a", "trial/b"];

/// A bug that is planted on purpose, to show that the rules find it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub enum PlantedBug {
    /// Terms and votes are not stored: a member that restarts can vote again in the same term
    ForgottenVote,
    /// The last step that was stored is lost when the process ends, although it was acknowledged
    UnsyncedLog,
    /// A member that lost its store restarts with an empty one under its old id, and the others still admit
    /// it
    EmptyStore,
    /// A lease holder does not check its clock again before it acts
    NoLook,
    /// Holders keep no guard time, and the leader does not allow for clock drift
    NoGuard,
    /// A member acknowledges a step that its failing disk did not store
    UnstoredAck,
}

/// Result of a run.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FederationOutcome {
    /// Broken rules; a run ends at the first breach, so there is more than one only if one event broke
    /// several.
    pub breaches: Vec<Breach>,
    /// Hash of the log indexes that members applied, with the members, in order; equal runs have equal
    /// hashes.
    pub trace: u64,
    /// Numbers of commands, leaders, files and acts in the run.
    pub counts: FederationCounts,
}

/// Numbers of events in one run, or in several together.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FederationCounts {
    /// Number of committed commands.
    pub commands: u64,
    /// Number of terms that had a leader.
    pub leaders: u64,
    /// Number of federation files after the first one.
    pub files: u64,
    /// Number of acts on duties under a lease.
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

/// Draws a span from a range, in whole microseconds.
fn draw_span(random: &mut impl Rng, from: Range<Span>) -> Span {
    Span::from_micros(random.random_range(from.start.as_micros()..from.end.as_micros()))
}

/// Draws an instant from a range, in whole microseconds.
fn draw_instant(random: &mut impl Rng, from: Range<Instant>) -> Instant {
    Instant::from_micros(random.random_range(from.start.as_micros()..from.end.as_micros()))
}

/// Plays one seed, optionally with a planted bug.
pub fn run(seed: u64, planted_bug: Option<PlantedBug>) -> FederationOutcome {
    FederationWorld::new(seed, planted_bug).play()
}

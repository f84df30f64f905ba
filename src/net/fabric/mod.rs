//! A network in memory with a clock of its own: what [`super::Net`] runs on in the simulator, in place of the
//! system's sockets. Its owner moves the clock; everything that happens has a time and a place in one order, so that a
//! run repeats bit for bit.
//!
//! The processes (edge proxies) use it through `Net`. The other side (table caches, clients, the control feed) is
//! played by its owner, as actors: it takes [`ActorEvent`]s and answers by [`Fabric::send`] and the like.
//!
//! - `actors`: hosts, and the actors' ends of connections;
//! - `processes`: processes, and their listeners and connections; `endpoint`: their ends of those;
//! - `messages`: messages between the processes of one edge proxy;
//! - `injected_errors`: errors of the processes' system calls;
//! - `state`, `link`: the shared state; `network_event` and `events`: what happens by itself, and its effect; `trace`: the digest of a run.

mod actors;
mod endpoint;
mod events;
mod injected_errors;
mod link;
mod messages;
mod network_event;
mod processes;
mod state;
mod trace;

pub use actors::{host, ActorEvent, HostBehaviour};
pub use endpoint::{VirtualListener, VirtualStream};
pub use messages::ProcessMessage;
pub(super) use state::ReadyConnection;
pub use trace::TraceSummary;

use crate::interface::{Instant, Span, UnixTime};
use state::NetworkState;
use std::hash::Hash;
use std::ops::RangeInclusive;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// The network; clones are the same one.
#[derive(Clone, Default)]
pub struct Fabric(Arc<Mutex<NetworkState>>);

impl std::fmt::Debug for Fabric {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Fabric")
    }
}

impl Fabric {
    /// A network whose clock reads `now`. Each connection's delay is drawn from `delays`.
    pub fn new(now: Instant, seed: u64, delays: RangeInclusive<Span>) -> Self {
        let (min_delay, max_delay) = delays.into_inner();
        let state = NetworkState { now, random: seed, min_delay, max_delay, ..NetworkState::default() };
        Fabric(Arc::new(Mutex::new(state)))
    }

    fn state(&self) -> MutexGuard<'_, NetworkState> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The time on the network's clock, which is never stepped. It is the actors' clock.
    pub fn now(&self) -> Instant {
        self.state().now
    }

    /// The wall clock of the processes.
    pub fn wall_time(&self) -> UnixTime {
        self.state().wall_time()
    }

    /// Steps the processes' wall clock forward, or back.
    pub fn step_wall_clock(&self, by: Span) {
        let mut state = self.state();
        state.record((trace::entry_kind::WALL_CLOCK_STEP, by));
        state.wall_offset += by;
    }

    /// By how much the processes' wall clock is ahead.
    pub fn wall_offset(&self) -> Span {
        self.state().wall_offset
    }

    /// Plants a bug: the processes' deadlines run on the wall clock, except that it never goes back.
    pub fn run_deadlines_on_wall_clock(&self) {
        self.state().latest_wall = Some(UnixTime::from_micros(i64::MIN));
    }

    /// The time on the processes' monotonic clock.
    pub(super) fn process_time(&self) -> Instant {
        let mut state = self.state();
        let (now, wall) = (state.now, state.wall_time());
        match &mut state.latest_wall {
            Some(latest) => {
                *latest = wall.max(*latest);
                Instant::from_micros(latest.as_micros())
            }
            None => now,
        }
    }

    /// When the next event happens by itself.
    pub fn next_event_at(&self) -> Option<Instant> {
        self.state().event_queue.keys().next().map(|(at, _)| *at)
    }

    /// Moves the clock forward.
    pub fn advance(&self, to: Instant) {
        let mut state = self.state();
        state.now = state.now.max(to);
    }

    /// Applies the events that are due, in their order.
    pub fn run_due_events(&self) {
        let mut state = self.state();
        while state.event_queue.keys().next().is_some_and(|(at, _)| *at <= state.now) {
            if let Some((_, event)) = state.event_queue.pop_first() {
                state.apply(event);
            }
        }
    }

    /// The digest of all that has happened: equal runs have equal ones.
    pub fn trace(&self) -> TraceSummary {
        self.state().trace.summary()
    }

    /// Adds an entry to the trace for what did not happen on the network.
    pub fn record(&self, what: impl Hash) {
        self.state().record(what);
    }
}

#[cfg(test)]
mod tests;

//! A simulated network in memory with its own clock. The simulator runs [`super::Net`] on it instead of on
//! the sockets of the operating system. The owner of the network advances the clock. All events are ordered
//! by time and by the order in which they were scheduled, so that a run with the same seed repeats bit for
//! bit.
//!
//! The processes (edge proxies) use the network through `Net`. The owner of the network simulates the other
//! side (table caches, clients, the control feed) as actors: it takes [`ActorEvent`]s and answers with
//! [`Fabric::send`] and similar calls.
//!
//! - `actors`: hosts, and the actors' ends of connections;
//! - `processes`: processes, their listeners and connections; `endpoint`: the socket calls on these;
//! - `messages`: messages between the processes of one edge proxy;
//! - `injected_errors`: errors of the processes' system calls;
//! - `state`, `link`: the shared state;
//! - `network_event`: scheduled events; `events`: their effects;
//! - `trace`: the digest of a run.

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

/// A simulated network. Clones share its state.
#[derive(Clone, Default)]
pub struct Fabric(Arc<Mutex<NetworkState>>);

impl std::fmt::Debug for Fabric {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Fabric")
    }
}

impl Fabric {
    /// Creates a network whose clock reads `now`. The delay of each connection is drawn from `delays`.
    pub fn new(now: Instant, seed: u64, delays: RangeInclusive<Span>) -> Self {
        let (min_delay, max_delay) = delays.into_inner();
        let state = NetworkState { now, random: seed, min_delay, max_delay, ..NetworkState::default() };
        Fabric(Arc::new(Mutex::new(state)))
    }

    fn state(&self) -> MutexGuard<'_, NetworkState> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the time on the network's clock, which is never stepped. The actors use this clock.
    pub fn now(&self) -> Instant {
        self.state().now
    }

    /// Returns the time on the processes' wall clock.
    pub fn wall_time(&self) -> UnixTime {
        self.state().wall_time()
    }

    /// Steps the processes' wall clock forward, or back if `by` is negative.
    pub fn step_wall_clock(&self, by: Span) {
        let mut state = self.state();
        state.record((trace::entry_kind::WALL_CLOCK_STEP, by));
        state.wall_offset += by;
    }

    /// Returns by how much the processes' wall clock is ahead of the network's clock.
    pub fn wall_offset(&self) -> Span {
        self.state().wall_offset
    }

    /// Enables a planted bug: the processes measure deadlines on the wall clock, whose steps back are
    /// ignored.
    pub fn run_deadlines_on_wall_clock(&self) {
        self.state().latest_wall = Some(UnixTime::from_micros(i64::MIN));
    }

    /// Returns the time on the processes' monotonic clock.
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

    /// Returns the time of the next scheduled event; `None` if no event is scheduled.
    pub fn next_event_at(&self) -> Option<Instant> {
        self.state().event_queue.keys().next().map(|(at, _)| *at)
    }

    /// Advances the clock to a time; does nothing if that has passed.
    pub fn advance(&self, to: Instant) {
        let mut state = self.state();
        state.now = state.now.max(to);
    }

    /// Applies the events that are due, in order.
    pub fn run_due_events(&self) {
        let mut state = self.state();
        while state.event_queue.keys().next().is_some_and(|(at, _)| *at <= state.now) {
            if let Some((_, event)) = state.event_queue.pop_first() {
                state.apply(event);
            }
        }
    }

    /// Returns the digest of all events so far; equal runs have equal digests.
    pub fn trace(&self) -> TraceSummary {
        self.state().trace.summary()
    }

    /// Adds an entry to the trace for an event outside the network.
    pub fn record(&self, what: impl Hash) {
        self.state().record(what);
    }
}

#[cfg(test)]
mod tests;

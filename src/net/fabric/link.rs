//! The state of one connection of the network.

use crate::interface::{Instant, Span};
use rustix::io::Errno;
use std::collections::VecDeque;
use std::net::SocketAddr;

/// Direction of bytes and other events on a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Direction {
    ToProcess,
    ToActor,
}

/// The port that a client connects to.
#[derive(Clone, Copy, Debug)]
pub(super) struct DialedPort {
    pub port: u16,
    /// Random number that selects one of the processes that listen on the port.
    pub draw: u64,
}

/// A connection between a process and an actor.
#[derive(Debug)]
pub(super) struct Link {
    pub process: u32,
    /// Number under which the process has registered the connection; `None` before that.
    pub token: Option<usize>,
    /// Address of the actor: the host that a process connects to, or the client that connected.
    pub host: Option<SocketAddr>,
    pub is_up: bool,
    pub is_refused: bool,
    pub is_broken: bool,
    /// Whether the process has closed its end.
    pub is_closed_by_process: bool,
    /// Bytes that the process has not read yet.
    pub input: VecDeque<u8>,
    /// Whether the actor has stopped writing.
    pub has_actor_ended: bool,
    /// Whether the process has shut down its write side.
    pub is_write_shut_down: bool,
    /// Number of bytes in flight to the actor.
    pub in_flight_bytes: usize,
    /// Whether a write of the process got `WouldBlock`, since too many bytes were in flight.
    pub is_write_blocked: bool,
    /// Delay of each byte and event, in either direction.
    pub delay: Span,
    /// Arrival time of the last event sent to the process. Later events do not arrive before it.
    pub last_arrival_at_process: Instant,
    /// Arrival time of the last event sent to the actor. Later events do not arrive before it.
    pub last_arrival_at_actor: Instant,
    /// Port that the client connected to; `None` for a connection that a process started.
    pub dialed: Option<DialedPort>,
    /// Whether the client is gone before the connection is accepted.
    pub is_aborted: bool,
    /// Error of the process's calls once the connection is broken or refused.
    pub error: Errno,
}

impl Link {
    /// Creates a connection that is not established yet.
    pub fn new(process: u32, host: SocketAddr, delay: Span) -> Self {
        Link {
            process,
            token: None,
            host: Some(host),
            is_up: false,
            is_refused: false,
            is_broken: false,
            is_closed_by_process: false,
            input: VecDeque::new(),
            has_actor_ended: false,
            is_write_shut_down: false,
            in_flight_bytes: 0,
            is_write_blocked: false,
            delay,
            last_arrival_at_process: Instant::ZERO,
            last_arrival_at_actor: Instant::ZERO,
            dialed: None,
            is_aborted: false,
            error: Errno::CONNRESET,
        }
    }

    /// Returns the arrival time of an event that is sent now. It is not before that of any earlier event.
    pub fn arrival(&mut self, now: Instant, direction: Direction) -> Instant {
        let delay = self.delay;
        let last = self.last_arrival_mut(direction);
        *last = (*last).max(now + delay);
        *last
    }

    fn last_arrival_mut(&mut self, direction: Direction) -> &mut Instant {
        match direction {
            Direction::ToProcess => &mut self.last_arrival_at_process,
            Direction::ToActor => &mut self.last_arrival_at_actor,
        }
    }
}

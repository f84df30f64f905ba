//! The record of one connection of the network.

use crate::interface::{Instant, Span};
use rustix::io::Errno;
use std::collections::VecDeque;
use std::net::SocketAddr;

/// Where something on a connection goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Direction {
    ToProcess,
    ToActor,
}

/// The port that a client connects to.
#[derive(Clone, Copy, Debug)]
pub(super) struct DialedPort {
    pub port: u16,
    /// Selects one of the processes that listen there.
    pub draw: u64,
}

/// A connection between a process and an actor.
#[derive(Debug)]
pub(super) struct Link {
    pub process: u32,
    /// The number under which the process watches it.
    pub token: Option<usize>,
    /// The actor's address; for a client's connection the client's.
    pub host: Option<SocketAddr>,
    pub is_up: bool,
    pub is_refused: bool,
    pub is_broken: bool,
    /// The process has closed its end.
    pub is_closed_by_process: bool,
    /// Bytes that the process has not read yet.
    pub input: VecDeque<u8>,
    /// The actor writes nothing more.
    pub has_actor_ended: bool,
    /// The process writes nothing more.
    pub is_write_shut_down: bool,
    /// Bytes in flight to the actor.
    pub in_flight_bytes: usize,
    /// A write of the process was refused, since too many bytes are in flight.
    pub is_write_blocked: bool,
    /// How long everything takes in either direction.
    pub delay: Span,
    /// When the last thing sent to the process arrives: nothing overtakes it.
    pub last_arrival_at_process: Instant,
    /// The same for what was sent to the actor.
    pub last_arrival_at_actor: Instant,
    /// Set for a client's connection.
    pub dialed: Option<DialedPort>,
    /// The client is gone before it is accepted.
    pub is_aborted: bool,
    /// The error that the process sees once the connection is broken or refused.
    pub error: Errno,
}

impl Link {
    /// A connection that is not up yet.
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

    /// When something sent now arrives, behind all that was sent before it.
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

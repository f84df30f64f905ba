//! The network's state: connections, processes and the agenda of what happens, by time.

use super::injected_errors::InjectedErrors;
use super::link::{Direction, Link};
use super::network_event::NetworkEvent;
use super::trace::Trace;
use super::{ActorEvent, HostBehaviour, ProcessMessage};
use crate::interface::{Instant, Span, UnixTime};
use crate::splitmix64::next;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::hash::Hash;
use std::net::SocketAddr;

/// Delays of connections are multiples of this many microseconds. Whole milliseconds make it more frequent than chance
/// that something arrives just as something else falls due.
const DELAY_STEP_MICROS: i64 = 1_000;

/// A connection of a process on which something has happened.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReadyConnection {
    /// The number under which the process watches it.
    pub token: usize,
    /// It may be readable.
    pub read: bool,
    /// It may be writable.
    pub write: bool,
    /// The actor writes nothing more.
    pub closed: bool,
}

/// What a process finds ready.
#[derive(Clone, Debug, Default)]
pub struct ReadySet {
    /// Listeners and other sources, by number.
    pub sources: Vec<usize>,
    /// Connections, by token.
    pub connections: Vec<ReadyConnection>,
}

/// A port that a process listens on.
#[derive(Debug)]
pub(super) struct ListeningPort {
    /// The number under which the process watches it.
    pub source: usize,
    /// Connections that wait to be accepted.
    pub backlog: VecDeque<u64>,
}

/// A process of an edge proxy.
#[derive(Debug, Default)]
pub(super) struct Process {
    pub is_alive: bool,
    /// The numbers of listeners and other sources that are ready.
    pub ready_sources: BTreeSet<usize>,
    /// Connections on which something has happened, by token.
    pub ready_connections: BTreeMap<usize, ReadyConnection>,
    pub ports: BTreeMap<SocketAddr, ListeningPort>,
    /// Messages that it has not taken yet, by their sender.
    pub messages: BTreeMap<u32, VecDeque<ProcessMessage>>,
}

/// By how much connections to a host come up late.
#[derive(Clone, Copy, Debug)]
pub(super) struct ConnectDelay {
    pub delay: Span,
    pub until: Instant,
}

/// All that the clones of a network share.
#[derive(Default)]
pub(super) struct NetworkState {
    pub now: Instant,
    /// By how much the processes' wall clock is ahead.
    pub wall_offset: Span,
    /// With the planted bug that deadlines run on the wall clock: the latest time that was read from it.
    pub latest_wall: Option<UnixTime>,
    /// Events planned so far; orders those of one time.
    pub scheduled_events: u64,
    pub event_queue: BTreeMap<(Instant, u64), NetworkEvent>,
    pub links: BTreeMap<u64, Link>,
    pub last_link: u64,
    pub host_behaviours: BTreeMap<SocketAddr, HostBehaviour>,
    pub connect_delays: BTreeMap<SocketAddr, ConnectDelay>,
    pub processes: BTreeMap<u32, Process>,
    /// Addresses at which the process that serves there is found by the next one.
    pub process_addresses: BTreeMap<SocketAddr, u32>,
    pub actor_events: VecDeque<ActorEvent>,
    /// The shortest and the longest delay of a connection.
    pub min_delay: Span,
    pub max_delay: Span,
    /// State of the random numbers.
    pub random: u64,
    /// Errors of system calls that are planned.
    pub errors: InjectedErrors,
    pub trace: Trace,
}

impl NetworkState {
    /// Plans an event, not before now.
    pub fn schedule(&mut self, at: Instant, event: NetworkEvent) {
        self.scheduled_events += 1;
        self.event_queue.insert((at.max(self.now), self.scheduled_events), event);
    }

    /// The processes' wall clock: the network's own time as Unix time until it is stepped.
    pub fn wall_time(&self) -> UnixTime {
        UnixTime::from_micros((self.now + self.wall_offset).as_micros())
    }

    /// When something sent now on a connection arrives.
    pub fn arrival(&mut self, link: u64, direction: Direction) -> Instant {
        let now = self.now;
        self.links.get_mut(&link).map_or(now, |link| link.arrival(now, direction))
    }

    /// Adds an entry to the trace.
    pub fn record(&mut self, what: impl Hash) {
        self.trace.record(self.now, what);
    }

    /// Until when nothing reaches a connection's host.
    pub fn silent_until(&self, link: u64) -> Option<Instant> {
        let host = self.links.get(&link)?.host?;
        match self.host_behaviours.get(&host) {
            Some(HostBehaviour::SilentUntil(until)) if *until > self.now => Some(*until),
            _ => None,
        }
    }

    /// Marks a connection as ready for its process.
    pub fn mark_ready(&mut self, link: u64, read: bool, write: bool) {
        let Some(link) = self.links.get(&link).filter(|link| !link.is_closed_by_process) else { return };
        let closed = link.has_actor_ended || link.is_broken;
        let (Some(process), Some(token)) = (self.processes.get_mut(&link.process), link.token) else {
            return;
        };
        let none = ReadyConnection { token, ..ReadyConnection::default() };
        let ready = process.ready_connections.entry(token).or_insert(none);
        ready.read |= read;
        ready.write |= write;
        ready.closed |= closed;
    }

    /// Draws a random number, which has to repeat with the seed and need not be good.
    pub fn draw(&mut self) -> u64 {
        next(&mut self.random)
    }

    /// Adds a connection that is not up yet; returns its id.
    pub fn new_link(&mut self, process: u32, host: SocketAddr) -> u64 {
        self.last_link += 1;
        let (min, max) = (self.min_delay.as_micros(), self.max_delay.as_micros());
        let span = (max - min + 1).max(1) as u64;
        let delay = (min + (self.draw() % span) as i64) / DELAY_STEP_MICROS * DELAY_STEP_MICROS;
        self.links.insert(self.last_link, Link::new(process, host, Span::from_micros(delay)));
        self.last_link
    }

    /// The process closes its end: the actor sees an end, or a break where bytes were left unread.
    pub fn drop_process_end(&mut self, id: u64) {
        let Some(link) = self.links.get_mut(&id).filter(|link| !link.is_closed_by_process) else { return };
        link.is_closed_by_process = true;
        let is_known_to_actor = link.is_up && !link.is_broken && !link.is_write_shut_down;
        if !is_known_to_actor {
            return;
        }
        let has_unread = !link.input.is_empty();
        let at = self.arrival(id, Direction::ToActor);
        let event = if has_unread { NetworkEvent::BreakAtActor(id) } else { NetworkEvent::EndAtActor(id) };
        self.schedule(at, event);
    }
}

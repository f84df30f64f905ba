//! The network's state: connections, processes and the queue of scheduled events.

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

/// Delays of connections are multiples of this, in microseconds. Whole milliseconds make it likelier
/// that an event and a deadline fall on the same instant, so that runs cover this case.
const DELAY_STEP_MICROS: i64 = 1_000;

/// A registered connection of a process on which something happened.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReadyConnection {
    /// Number under which the process has registered the connection.
    pub token: usize,
    /// Whether the connection may be readable.
    pub read: bool,
    /// Whether the connection may be writable.
    pub write: bool,
    /// Whether the actor has stopped writing, or the connection is broken.
    pub closed: bool,
}

/// The event sources and connections of a process that are ready.
#[derive(Clone, Debug, Default)]
pub struct ReadySet {
    /// Numbers of the listeners and other sources, in ascending order.
    pub sources: Vec<usize>,
    /// Connections, ordered by token.
    pub connections: Vec<ReadyConnection>,
}

/// A port that a process listens on.
#[derive(Debug)]
pub(super) struct ListeningPort {
    /// Number under which the process has registered the listener.
    pub source: usize,
    /// Numbers of the connections that wait to be accepted.
    pub backlog: VecDeque<u64>,
}

/// A process of an edge proxy.
#[derive(Debug, Default)]
pub(super) struct Process {
    pub is_alive: bool,
    /// Numbers of the listeners and other sources that are ready.
    pub ready_sources: BTreeSet<usize>,
    /// Connections on which something happened, by token.
    pub ready_connections: BTreeMap<usize, ReadyConnection>,
    pub ports: BTreeMap<SocketAddr, ListeningPort>,
    /// Messages that the process has not taken yet, by sender.
    pub messages: BTreeMap<u32, VecDeque<ProcessMessage>>,
}

/// Additional delay of the connections to a host that are started before `until`.
#[derive(Clone, Copy, Debug)]
pub(super) struct ConnectDelay {
    pub delay: Span,
    pub until: Instant,
}

/// The state that the clones of a network share.
#[derive(Default)]
pub(super) struct NetworkState {
    pub now: Instant,
    /// By how much the processes' wall clock is ahead of `now`.
    pub wall_offset: Span,
    /// Latest time that was read from the wall clock; `None` unless the planted bug that measures deadlines
    /// on the wall clock is enabled.
    pub latest_wall: Option<UnixTime>,
    /// Number of events scheduled so far. It orders events that are due at the same time.
    pub scheduled_events: u64,
    pub event_queue: BTreeMap<(Instant, u64), NetworkEvent>,
    pub links: BTreeMap<u64, Link>,
    pub last_link: u64,
    pub host_behaviours: BTreeMap<SocketAddr, HostBehaviour>,
    pub connect_delays: BTreeMap<SocketAddr, ConnectDelay>,
    pub processes: BTreeMap<u32, Process>,
    /// Addresses at which the next process of an edge proxy finds the current one.
    pub process_addresses: BTreeMap<SocketAddr, u32>,
    pub actor_events: VecDeque<ActorEvent>,
    /// Shortest and longest delay of a connection.
    pub min_delay: Span,
    pub max_delay: Span,
    /// State of the random number generator.
    pub random: u64,
    /// Errors that are injected into the processes' system calls.
    pub errors: InjectedErrors,
    pub trace: Trace,
}

impl NetworkState {
    /// Schedules an event; one in the past is scheduled for now.
    pub fn schedule(&mut self, at: Instant, event: NetworkEvent) {
        self.scheduled_events += 1;
        self.event_queue.insert((at.max(self.now), self.scheduled_events), event);
    }

    /// Returns the time on the processes' wall clock. Until it is stepped, that is the network's time as Unix
    /// time.
    pub fn wall_time(&self) -> UnixTime {
        UnixTime::from_micros((self.now + self.wall_offset).as_micros())
    }

    /// Returns the arrival time of an event that is sent on a connection now.
    pub fn arrival(&mut self, link: u64, direction: Direction) -> Instant {
        let now = self.now;
        self.links.get_mut(&link).map_or(now, |link| link.arrival(now, direction))
    }

    /// Adds an entry to the trace.
    pub fn record(&mut self, what: impl Hash) {
        self.trace.record(self.now, what);
    }

    /// Returns the time until which a connection's host is silent; `None` if it is not silent now.
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

    /// Draws a random number. It must repeat with the seed; its quality does not matter.
    pub fn draw(&mut self) -> u64 {
        next(&mut self.random)
    }

    /// Adds a connection that is not established yet; returns its number.
    pub fn new_link(&mut self, process: u32, host: SocketAddr) -> u64 {
        self.last_link += 1;
        let (min, max) = (self.min_delay.as_micros(), self.max_delay.as_micros());
        let span = (max - min + 1).max(1) as u64;
        let delay = (min + (self.draw() % span) as i64) / DELAY_STEP_MICROS * DELAY_STEP_MICROS;
        self.links.insert(self.last_link, Link::new(process, host, Span::from_micros(delay)));
        self.last_link
    }

    /// Closes the process's end of a connection. The actor sees its end, or a break if the process left bytes
    /// unread.
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

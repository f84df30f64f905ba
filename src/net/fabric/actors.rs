//! Hosts of the network, and the actors' ends of connections.

use super::link::{DialedPort, Direction};
use super::network_event::NetworkEvent;
use super::state::ConnectDelay;
use super::{trace, Fabric};
use crate::interface::{Instant, Span};
use std::net::{IpAddr, SocketAddr};

/// The port of host number 0.
const FIRST_HOST_PORT: u16 = 10_000;
/// The process of a client's connection that has not arrived yet.
const NO_PROCESS: u32 = 0;

/// An event that an actor is notified of.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ActorEvent {
    /// A process has connected to a host.
    Opened {
        /// The connection.
        link: u64,
        /// The host's address.
        host: SocketAddr,
    },
    /// Bytes were received from the process.
    Bytes {
        /// The connection.
        link: u64,
        /// The bytes.
        bytes: Vec<u8>,
        /// When they were written: a silent host holds them back.
        sent: Instant,
    },
    /// The process writes nothing more.
    Closed {
        /// The connection.
        link: u64,
    },
    /// The connection has broken, or never came up.
    Broken {
        /// The connection.
        link: u64,
    },
}

/// How a host behaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HostBehaviour {
    /// Connections come up.
    Up,
    /// Connections are refused.
    Refusing,
    /// Nothing gets there or comes from there until a time; it is held back, as retransmission would.
    SilentUntil(Instant),
}

/// The loopback address of a host of the simulation, by number.
pub fn host(number: u16) -> SocketAddr {
    SocketAddr::new(IpAddr::from([127, 0, 1, 1]), FIRST_HOST_PORT + number)
}

impl Fabric {
    /// Takes the events for actors since the last call, in order.
    pub fn take_actor_events(&self) -> Vec<ActorEvent> {
        self.state().actor_events.drain(..).collect()
    }

    /// Sets how a host behaves; a host that was never set refuses.
    pub fn set_host_behaviour(&self, host: SocketAddr, behaviour: HostBehaviour) {
        let mut state = self.state();
        let is_up = matches!(behaviour, HostBehaviour::Up);
        state.record((trace::entry_kind::HOST_BEHAVIOUR, host.port(), is_up));
        state.host_behaviours.insert(host, behaviour);
    }

    /// Makes the connections to a host that are begun before `until` come up late.
    pub fn delay_connects(&self, host: SocketAddr, delay: Span, until: Instant) {
        self.state().connect_delays.insert(host, ConnectDelay { delay, until });
    }

    /// Until when a host is silent; the first instant if it is not.
    pub fn silent_until(&self, host: SocketAddr) -> Instant {
        match self.state().host_behaviours.get(&host) {
            Some(HostBehaviour::SilentUntil(until)) => *until,
            _ => Instant::MIN,
        }
    }

    /// Connects a client to a port that processes listen on; returns the connection.
    pub fn dial(&self, from: SocketAddr, to: SocketAddr) -> u64 {
        let mut state = self.state();
        let draw = state.draw();
        let id = state.new_link(NO_PROCESS, from);
        let at = state.arrival(id, Direction::ToActor);
        if let Some(link) = state.links.get_mut(&id) {
            link.dialed = Some(DialedPort { port: to.port(), draw });
        }
        state.host_behaviours.entry(from).or_insert(HostBehaviour::Up);
        state.schedule(at, NetworkEvent::ClientArrives(id));
        id
    }

    /// Sends bytes from the actor to the process.
    pub fn send(&self, link: u64, bytes: &[u8]) {
        let mut state = self.state();
        // What a client sends before the connection is up arrives right behind it.
        let connecting = state.links.get(&link).filter(|link| !link.is_up && !link.is_refused);
        let at = match connecting.map(|link| link.last_arrival_at_actor) {
            Some(at) => at,
            None => state.arrival(link, Direction::ToProcess),
        };
        state.schedule(at, NetworkEvent::BytesAtProcess(link, bytes.to_vec()));
    }

    /// Closes the actor's end: it writes nothing more and takes nothing more.
    pub fn close(&self, link: u64) {
        let mut state = self.state();
        let at = state.arrival(link, Direction::ToProcess);
        state.schedule(at, NetworkEvent::EndAtProcess(link));
    }

    /// Resets a connection from the actor's end.
    pub fn reset(&self, link: u64) {
        let mut state = self.state();
        let at = state.arrival(link, Direction::ToProcess);
        state.schedule(at, NetworkEvent::BreakAtProcess(link));
    }
}

//! The hosts of the network, and the actors' ends of connections.

use super::link::{DialedPort, Direction};
use super::network_event::NetworkEvent;
use super::state::ConnectDelay;
use super::{trace, Fabric};
use crate::interface::{Instant, Span};
use std::net::{IpAddr, SocketAddr};

/// Port of host number 0.
const FIRST_HOST_PORT: u16 = 10_000;
/// Process number of a client's connection that has not arrived at a process yet.
const NO_PROCESS: u32 = 0;

/// An event for an actor, which is a simulated host or client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ActorEvent {
    /// A process connected to a host.
    Opened {
        /// Number of the connection.
        link: u64,
        /// The host's address.
        host: SocketAddr,
    },
    /// Bytes were received from the process.
    Bytes {
        /// Number of the connection.
        link: u64,
        /// The received bytes.
        bytes: Vec<u8>,
        /// Time at which the process wrote them, which may be long ago if the host was silent since.
        sent: Instant,
    },
    /// The process has stopped writing.
    Closed {
        /// Number of the connection.
        link: u64,
    },
    /// The connection is broken, or was never established.
    Broken {
        /// Number of the connection.
        link: u64,
    },
}

/// How a host behaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HostBehaviour {
    /// Connections are established.
    Up,
    /// Connections are refused.
    Refusing,
    /// Nothing arrives at the host or from it until this time. It is delayed, not lost, since TCP would
    /// retransmit it.
    SilentUntil(Instant),
}

/// Returns the loopback address of the simulated host with a number.
pub fn host(number: u16) -> SocketAddr {
    SocketAddr::new(IpAddr::from([127, 0, 1, 1]), FIRST_HOST_PORT + number)
}

impl Fabric {
    /// Removes and returns the events for actors since the last call, in order.
    pub fn take_actor_events(&self) -> Vec<ActorEvent> {
        self.state().actor_events.drain(..).collect()
    }

    /// Sets how a host behaves. A host whose behaviour was never set refuses connections.
    pub fn set_host_behaviour(&self, host: SocketAddr, behaviour: HostBehaviour) {
        let mut state = self.state();
        let is_up = matches!(behaviour, HostBehaviour::Up);
        state.record((trace::entry_kind::HOST_BEHAVIOUR, host.port(), is_up));
        state.host_behaviours.insert(host, behaviour);
    }

    /// Delays the establishment of the connections to a host that are started before `until`.
    pub fn delay_connects(&self, host: SocketAddr, delay: Span, until: Instant) {
        self.state().connect_delays.insert(host, ConnectDelay { delay, until });
    }

    /// Returns the time until which a host is silent; [`Instant::MIN`] if it is not set to be silent.
    pub fn silent_until(&self, host: SocketAddr) -> Instant {
        match self.state().host_behaviours.get(&host) {
            Some(HostBehaviour::SilentUntil(until)) => *until,
            _ => Instant::MIN,
        }
    }

    /// Connects a client to a port on which processes listen; returns the connection's number.
    pub fn connect_client(&self, from: SocketAddr, to: SocketAddr) -> u64 {
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
        // Bytes that a client sends before its connection is established arrive directly after it.
        let connecting = state.links.get(&link).filter(|link| !link.is_up && !link.is_refused);
        let at = match connecting.map(|link| link.last_arrival_at_actor) {
            Some(at) => at,
            None => state.arrival(link, Direction::ToProcess),
        };
        state.schedule(at, NetworkEvent::BytesAtProcess(link, bytes.to_vec()));
    }

    /// Closes the actor's end of a connection, so that the process reads the end of its bytes.
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

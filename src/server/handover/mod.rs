//! The handover from an older process of this edge proxy to a newer one.
//!
//! Each process is notified at once when the other one ends. They share the limit on clients' connections by
//! telling each other how many they hold, and the older one hands its connections over to the newer one.
//!
//! - `sibling`: the traits through which [`Handover`] reaches the other processes, and the connections that
//!   it receives from them.
//! - `message`: the format of the messages between the processes.
//! - `socket`: implements the traits with Unix sockets in `$TMPDIR`.
//! - `simulated`: implements the traits on the simulator's network.

mod message;
mod sibling;
mod simulated;
mod socket;

use super::event_source::EventSource;
use crate::net::fabric::Fabric;
use crate::net::{Net, Stream};
use sibling::{HandoverListener, Sibling};
pub(super) use sibling::{InheritedConnection, InheritedStream};
use simulated::SimulatedListener;
use socket::SocketListener;
use std::net::SocketAddr;
use tracing::{info, warn};

/// The number of processes of this edge proxy that share its limits, and the position of this one among them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct ProcessShare {
    /// Number of processes that serve, this one included.
    pub processes: usize,
    /// Position of this process among them, from 0; the oldest process comes first.
    pub position: usize,
}

/// The other processes of this edge proxy.
pub(super) struct Handover {
    listener: Box<dyn HandoverListener>,
    older: Option<Box<dyn Sibling>>,
    newer: Option<Box<dyn Sibling>>,
    /// Count of clients' connections that was last sent to the other processes. `None` until one was sent to
    /// all of them.
    announced_clients: Option<usize>,
}

impl Handover {
    /// Connects to the process that serves this address now, and listens for the next one.
    pub fn over_sockets(addr: SocketAddr, net: &mut Net) -> Self {
        let (listener, older) = SocketListener::open(addr, net);
        if older.is_some() {
            info!("taking over from the older process on {addr}");
        }
        Self::new(listener, older)
    }

    /// Does the same for a process of a simulated network.
    pub fn simulated(addr: SocketAddr, fabric: &Fabric, process: u32) -> Self {
        let (listener, older) = SimulatedListener::open(addr, fabric, process);
        Self::new(listener, older)
    }

    fn new(listener: impl HandoverListener + 'static, older: Option<impl Sibling + 'static>) -> Self {
        let older = older.map(|older| Box::new(older) as Box<dyn Sibling>);
        Handover { listener: Box::new(listener), older, newer: None, announced_clients: None }
    }

    /// Handles an event of a source of the handover, and returns whether a process connected or ended.
    /// Connections that the older process hands over are added to `inherited`.
    pub fn on_event(
        &mut self,
        source: EventSource,
        net: &mut Net,
        inherited: &mut Vec<InheritedConnection>,
    ) -> bool {
        match source {
            EventSource::HandoverListener => self.accept_newer(net),
            EventSource::OlderProcess => {
                let has_ended = self.older.as_mut().is_some_and(|older| !older.receive(inherited));
                if has_ended {
                    info!("the older process has ended");
                    self.older = None;
                }
                has_ended
            }
            EventSource::NewerProcess => {
                let has_ended = self.newer.as_mut().is_some_and(|newer| !newer.receive(inherited));
                if has_ended {
                    warn!("the newer process has ended");
                    self.newer = None;
                    self.listener.publish(net);
                }
                has_ended
            }
            _ => false,
        }
    }

    fn accept_newer(&mut self, net: &mut Net) -> bool {
        let Some(newer) = self.listener.accept_newer(self.newer.is_some(), net) else { return false };
        self.newer = Some(newer);
        self.announced_clients = None;
        true
    }

    /// Whether a newer process may be waiting that could not be accepted. No further event reports it.
    pub fn newer_accept_pending(&self) -> bool {
        self.listener.newer_accept_pending()
    }

    /// Returns this process's share of the limits.
    pub fn process_share(&self) -> ProcessShare {
        let older = usize::from(self.older.is_some());
        let newer = usize::from(self.newer.is_some());
        ProcessShare { processes: 1 + older + newer, position: older }
    }

    /// Whether there is a newer process, which accepts clients.
    pub fn has_newer(&self) -> bool {
        self.newer.is_some()
    }

    /// Returns the number of clients' connections that the other processes hold.
    pub fn clients(&self) -> usize {
        self.older.iter().chain(&self.newer).map(|sibling| sibling.clients()).sum()
    }

    /// Sends the count of this process's clients' connections to the other processes, if it has changed.
    pub fn announce_clients(&mut self, clients: usize) {
        if self.announced_clients == Some(clients) {
            return;
        }
        let mut siblings = self.older.iter_mut().chain(&mut self.newer);
        // If a message cannot be sent now, the next call sends it again. If the other process has ended, an
        // event reports that.
        if siblings.all(|sibling| sibling.send_client_count(clients)) {
            self.announced_clients = Some(clients);
        }
    }

    /// Hands a client's connection over to the newer process; returns `false` if this process keeps it.
    pub fn hand_over_connection(&mut self, stream: &Stream, unprocessed: &[u8]) -> bool {
        self.newer.as_mut().is_some_and(|newer| newer.send_connection(stream, unprocessed))
    }

    /// Stops listening for newer processes.
    pub fn close(&mut self, net: &mut Net) {
        // A newer process that connected at the last moment already listens in this one's place.
        self.accept_newer(net);
        self.listener.close();
    }
}

#[cfg(test)]
mod tests;

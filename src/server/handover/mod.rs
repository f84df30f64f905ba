//! The handover from an older process of this edge proxy to a newer one.
//!
//! The two processes know of each other's end at once, share the limit on clients' connections by telling each
//! other how many they hold, and the older one passes its connections on to the newer one.
//!
//! - `sibling`: the traits by which [`Handover`] reaches the other processes, and what they send.
//! - `message`: the form of the messages between the processes.
//! - `socket`: the traits over Unix sockets in `$TMPDIR`.
//! - `simulated`: the traits on the simulator's network.

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

/// How many processes of this edge proxy share its limits, and which of them this one is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct ProcessShare {
    /// The processes that serve.
    pub processes: usize,
    /// This process's position among them, the oldest first.
    pub position: usize,
}

/// The other processes of this edge proxy.
pub(super) struct Handover {
    listener: Box<dyn HandoverListener>,
    older: Option<Box<dyn Sibling>>,
    newer: Option<Box<dyn Sibling>>,
    /// The count of clients' connections that was last sent to the others.
    announced_clients: Option<usize>,
}

impl Handover {
    /// Connects to the process that serves this address now, and lets the next one find this process.
    pub fn over_sockets(addr: SocketAddr, net: &mut Net) -> Self {
        let (listener, older) = SocketListener::open(addr, net);
        if older.is_some() {
            info!("an older process serves here and is taken over from");
        }
        Self::new(listener, older)
    }

    /// The same for a process of a simulated network.
    pub fn simulated(addr: SocketAddr, fabric: &Fabric, process: u32) -> Self {
        let (listener, older) = SimulatedListener::open(addr, fabric, process);
        Self::new(listener, older)
    }

    fn new(listener: impl HandoverListener + 'static, older: Option<impl Sibling + 'static>) -> Self {
        let older = older.map(|older| Box::new(older) as Box<dyn Sibling>);
        Handover { listener: Box::new(listener), older, newer: None, announced_clients: None }
    }

    /// Handles an event of a source of the handover, and returns whether a process came or ended. Connections that
    /// the older process passes on are added to `inherited`.
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

    /// Whether a newer process may wait that could not be accepted: no further event reports it.
    pub fn missed_newer(&self) -> bool {
        self.listener.missed_newer()
    }

    /// This process's share of the limits.
    pub fn process_share(&self) -> ProcessShare {
        let older = usize::from(self.older.is_some());
        let newer = usize::from(self.newer.is_some());
        ProcessShare { processes: 1 + older + newer, position: older }
    }

    /// Whether a newer process accepts clients.
    pub fn has_newer(&self) -> bool {
        self.newer.is_some()
    }

    /// Clients' connections that the other processes hold.
    pub fn clients(&self) -> usize {
        self.older.iter().chain(&self.newer).map(|sibling| sibling.clients()).sum()
    }

    /// Tells the other processes how many clients' connections this one holds, if the count has changed.
    pub fn announce_clients(&mut self, clients: usize) {
        if self.announced_clients == Some(clients) {
            return;
        }
        let mut siblings = self.older.iter_mut().chain(&mut self.newer);
        // A sibling that cannot take the message now gets it at the next call; the end of one is reported by an event.
        if siblings.all(|sibling| sibling.send_client_count(clients)) {
            self.announced_clients = Some(clients);
        }
    }

    /// Passes a client's connection on to the newer process; `false` if this process keeps it.
    pub fn hand_over_connection(&mut self, stream: &Stream, unused: &[u8]) -> bool {
        self.newer.as_mut().is_some_and(|newer| newer.send_connection(stream, unused))
    }

    /// Lets no further process find this one.
    pub fn close(&mut self, net: &mut Net) {
        // A newer process that came at the last moment has published itself already.
        self.accept_newer(net);
        self.listener.close();
    }
}

#[cfg(test)]
mod tests;

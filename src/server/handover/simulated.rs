//! The handover between processes of a simulated network.

use super::sibling::{HandoverListener, InheritedConnection, InheritedStream, Sibling};
use super::EventSource;
use crate::net::fabric::{Fabric, ProcessMessage};
use crate::net::{Net, Stream};
use std::net::SocketAddr;

/// Another process of the simulated network.
pub(super) struct SimulatedSibling {
    fabric: Fabric,
    /// Number of this process.
    this: u32,
    /// Number of the other process.
    other: u32,
    /// The event source with which the other process watches this one.
    source_at_other: EventSource,
    clients: usize,
}

impl SimulatedSibling {
    fn send(&self, message: ProcessMessage) -> bool {
        self.fabric.send_message(self.this, self.other, self.source_at_other.number(), message).is_ok()
    }

    fn is_alive(&self) -> bool {
        self.fabric.is_alive(self.other)
    }
}

impl Sibling for SimulatedSibling {
    fn clients(&self) -> usize {
        self.clients
    }

    fn receive(&mut self, inherited: &mut Vec<InheritedConnection>) -> bool {
        for message in self.fabric.take_messages(self.other, self.this) {
            match message {
                ProcessMessage::Clients(clients) => self.clients = clients,
                ProcessMessage::Connection(stream, unprocessed) => {
                    let stream = InheritedStream::Virtual(stream);
                    inherited.push(InheritedConnection { stream, unprocessed });
                }
            }
        }
        self.is_alive()
    }

    fn send_client_count(&mut self, clients: usize) -> bool {
        self.send(ProcessMessage::Clients(clients))
    }

    fn send_connection(&mut self, stream: &Stream, unprocessed: &[u8]) -> bool {
        let Stream::Virtual(stream) = stream else { return false };
        // A connection that is handed over to a process that has ended would be lost.
        self.is_alive()
            && self.send(ProcessMessage::Connection(stream.hand_over(self.other), unprocessed.to_vec()))
    }
}

/// The simulated network's register of processes by address.
pub(super) struct SimulatedListener {
    fabric: Fabric,
    process: u32,
    addr: SocketAddr,
}

impl SimulatedListener {
    /// Registers this process for an address, and returns the process that was registered before, if any.
    pub fn open(addr: SocketAddr, fabric: &Fabric, process: u32) -> (Self, Option<SimulatedSibling>) {
        let listener = SimulatedListener { fabric: fabric.clone(), process, addr };
        let older = fabric.register_process(addr, process).map(|older| {
            fabric.mark_source_ready(older, EventSource::HandoverListener.number());
            listener.sibling(older, EventSource::NewerProcess)
        });
        (listener, older)
    }

    fn sibling(&self, other: u32, source_at_other: EventSource) -> SimulatedSibling {
        SimulatedSibling {
            fabric: self.fabric.clone(),
            this: self.process,
            other,
            source_at_other,
            clients: 0,
        }
    }
}

impl HandoverListener for SimulatedListener {
    fn publish(&mut self, _: &mut Net) {
        self.fabric.register_process(self.addr, self.process);
    }

    fn accept_newer(&mut self, has_newer: bool, _: &mut Net) -> Option<Box<dyn Sibling>> {
        let newer =
            self.fabric.registered_process(self.addr).filter(|newer| *newer != self.process && !has_newer)?;
        Some(Box::new(self.sibling(newer, EventSource::OlderProcess)))
    }

    fn newer_accept_pending(&self) -> bool {
        false
    }

    // Nothing to do: the network removes a process that has ended.
    fn close(&mut self) {}
}

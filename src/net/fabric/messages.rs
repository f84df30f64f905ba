//! Messages between the processes of one edge proxy, and how they find each other.

use super::network_event::NetworkEvent;
use super::{Fabric, VirtualStream};
use std::net::SocketAddr;

/// A message between two processes of one edge proxy.
#[derive(Debug)]
pub enum ProcessMessage {
    /// How many clients' connections the sender holds.
    Clients(usize),
    /// A connection that is handed over, with the bytes that were read there and not used.
    Connection(VirtualStream, Vec<u8>),
}

impl Fabric {
    /// Registers a process at the address at which the next one finds it; returns the process that was registered
    /// there, if it is alive.
    pub fn register_process(&self, addr: SocketAddr, process: u32) -> Option<u32> {
        let mut state = self.state();
        let previous = state.process_addresses.insert(addr, process)?;
        let is_alive = state.processes.get(&previous).is_some_and(|process| process.is_alive);
        (previous != process && is_alive).then_some(previous)
    }

    /// The process that is registered at an address.
    pub fn registered_process(&self, addr: SocketAddr) -> Option<u32> {
        self.state().process_addresses.get(&addr).copied()
    }

    /// Sends a message to another process, for which the source `source` becomes ready.
    ///
    /// # Errors
    ///
    /// The other process has ended; the message is returned.
    pub fn send_message(
        &self,
        from: u32,
        to: u32,
        source: usize,
        message: ProcessMessage,
    ) -> Result<(), ProcessMessage> {
        let mut state = self.state();
        let Some(process) = state.processes.get_mut(&to).filter(|process| process.is_alive) else {
            return Err(message);
        };
        process.messages.entry(from).or_default().push_back(message);
        let at = state.now;
        state.schedule(at, NetworkEvent::SourceReady { process: to, source });
        Ok(())
    }

    /// Makes a source of a process ready.
    pub fn mark_source_ready(&self, process: u32, source: usize) {
        let mut state = self.state();
        let at = state.now;
        state.schedule(at, NetworkEvent::SourceReady { process, source });
    }

    /// Takes the messages that were received from another process.
    pub fn take_messages(&self, from: u32, to: u32) -> Vec<ProcessMessage> {
        let mut state = self.state();
        let messages = state.processes.get_mut(&to).and_then(|process| process.messages.remove(&from));
        messages.unwrap_or_default().into()
    }
}

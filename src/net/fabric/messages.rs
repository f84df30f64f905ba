//! Messages between the processes of one edge proxy, and the registry by which they find each other.

use super::network_event::NetworkEvent;
use super::{Fabric, VirtualStream};
use std::net::SocketAddr;

/// A message between two processes of one edge proxy.
#[derive(Debug)]
pub enum ProcessMessage {
    /// Number of client connections that the sender holds.
    Clients(usize),
    /// A connection that is handed over, with the bytes that the sender read and did not process.
    Connection(VirtualStream, Vec<u8>),
}

impl Fabric {
    /// Registers a process at an address at which the next process of the edge proxy finds it. Returns the
    /// other process that was registered there before, if it is alive.
    pub fn register_process(&self, addr: SocketAddr, process: u32) -> Option<u32> {
        let mut state = self.state();
        let previous = state.process_addresses.insert(addr, process)?;
        let is_alive = state.processes.get(&previous).is_some_and(|process| process.is_alive);
        (previous != process && is_alive).then_some(previous)
    }

    /// Returns the process that is registered at an address.
    pub fn registered_process(&self, addr: SocketAddr) -> Option<u32> {
        self.state().process_addresses.get(&addr).copied()
    }

    /// Sends a message to another process and makes its event source `source` ready.
    ///
    /// # Errors
    ///
    /// The other process has ended. The error holds the message.
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

    /// Makes an event source of a process ready.
    pub fn mark_source_ready(&self, process: u32, source: usize) {
        let mut state = self.state();
        let at = state.now;
        state.schedule(at, NetworkEvent::SourceReady { process, source });
    }

    /// Removes and returns the messages that process `to` received from process `from`.
    pub fn take_messages(&self, from: u32, to: u32) -> Vec<ProcessMessage> {
        let mut state = self.state();
        let messages = state.processes.get_mut(&to).and_then(|process| process.messages.remove(&from));
        messages.unwrap_or_default().into()
    }
}

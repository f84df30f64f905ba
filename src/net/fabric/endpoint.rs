//! The listeners and connections of a process, with the same calls as sockets.

use super::link::{Direction, Link};
use super::network_event::NetworkEvent;
use super::state::NetworkState;
use super::Fabric;
use crate::net::Reason;
use std::io::{self, ErrorKind, IoSlice};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};

/// Maximum number of bytes in flight to an actor on one connection.
pub(super) const WINDOW_BYTES: usize = 256 * 1024;

/// A listener of a process.
#[derive(Debug)]
pub struct VirtualListener {
    pub(super) fabric: Fabric,
    pub(super) process: u32,
    pub(super) addr: SocketAddr,
}

impl VirtualListener {
    /// Returns the address that it listens on.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Accepts the next connection.
    ///
    /// # Errors
    ///
    /// `WouldBlock` if no connection is waiting, the error of an aborted connection, or an injected error.
    pub fn accept(&self) -> io::Result<(VirtualStream, SocketAddr)> {
        let mut state = self.fabric.state();
        let now = state.now;
        state.errors.check_interrupted(now)?;
        let has_backlog = |state: &NetworkState| {
            let process = state.processes.get(&self.process);
            process
                .and_then(|process| process.ports.get(&self.addr))
                .is_some_and(|port| !port.backlog.is_empty())
        };
        if has_backlog(&state) {
            state.errors.check_exhausted(now)?;
        }
        let process = state.processes.get_mut(&self.process);
        let waiting = process.and_then(|process| process.ports.get_mut(&self.addr)?.backlog.pop_front());
        let id = waiting.ok_or(ErrorKind::WouldBlock)?;
        let link = state.links.get(&id).ok_or(ErrorKind::ConnectionAborted)?;
        if link.is_aborted {
            return Err(link.error.into());
        }
        let peer = link.host.ok_or(ErrorKind::ConnectionAborted)?;
        Ok((VirtualStream::new(&self.fabric, id), peer))
    }
}

impl Drop for VirtualListener {
    fn drop(&mut self) {
        let mut state = self.fabric.state();
        let process = state.processes.get_mut(&self.process);
        let Some(port) = process.and_then(|process| process.ports.remove(&self.addr)) else { return };
        // The operating system resets connections that were not accepted.
        for id in port.backlog {
            state.schedule_break_at_actor(id);
        }
    }
}

/// A process's end of a connection. Dropping it closes the connection.
#[derive(Debug)]
pub struct VirtualStream {
    fabric: Fabric,
    id: u64,
    /// Whether the connection was handed over to another process.
    was_handed_over: AtomicBool,
}

impl VirtualStream {
    /// Registers the connection under a token. If something happened on it before, it is ready at once.
    pub fn register(&self, token: usize) {
        let mut state = self.fabric.state();
        let Some(link) = state.links.get_mut(&self.id) else { return };
        link.token = Some(token);
        let (read, write) =
            (!link.input.is_empty() || link.has_actor_ended || link.is_broken, link.is_up || link.is_refused);
        if read || write {
            state.mark_ready(self.id, read, write);
        }
    }

    /// Whether the connection is established.
    ///
    /// # Errors
    ///
    /// The connection was refused, or is broken.
    pub fn connected(&self) -> Result<bool, Reason> {
        let state = self.fabric.state();
        match state.links.get(&self.id) {
            Some(link) if link.is_refused => Err(Reason::ConnectRefused),
            Some(link) if link.is_broken => Err(Reason::PeerReset),
            Some(link) => Ok(link.is_up),
            None => Err(Reason::PeerReset),
        }
    }

    /// Reads bytes into a buffer; returns their number, which is 0 once the actor has stopped writing and all
    /// its bytes were read.
    ///
    /// # Errors
    ///
    /// `WouldBlock` if there are no bytes, `Interrupted` if the call must be repeated, `ConnectionReset` or
    /// another error if the connection is broken.
    pub fn read(&self, into: &mut [u8]) -> io::Result<usize> {
        let mut state = self.fabric.state();
        let now = state.now;
        state.errors.check_interrupted(now)?;
        let max_bytes = state.errors.max_io_bytes(now);
        let Some(link) = state.links.get_mut(&self.id) else { return Err(ErrorKind::ConnectionReset.into()) };
        if link.is_broken || link.is_refused {
            return Err(link.error.into());
        }
        if link.input.is_empty() {
            return if link.has_actor_ended { Ok(0) } else { Err(ErrorKind::WouldBlock.into()) };
        }
        let count = into.len().min(link.input.len()).min(max_bytes);
        for (to, byte) in into.iter_mut().zip(link.input.drain(..count)) {
            *to = byte;
        }
        Ok(count)
    }

    /// Writes bytes; returns how many of them were accepted.
    ///
    /// # Errors
    ///
    /// `NotConnected` if the connection is not established yet, `WouldBlock` if the maximum number of bytes
    /// is in flight, `Interrupted` if the call must be repeated, `ConnectionReset` or another error if the
    /// connection is broken.
    pub fn write(&self, slices: &[IoSlice<'_>]) -> io::Result<usize> {
        let mut state = self.fabric.state();
        let now = state.now;
        state.errors.check_interrupted(now)?;
        let max_bytes = state.errors.max_io_bytes(now);
        let Some(link) = state.links.get_mut(&self.id) else { return Err(ErrorKind::ConnectionReset.into()) };
        if link.is_broken || link.is_refused || link.is_write_shut_down {
            return Err(link.error.into());
        }
        if !link.is_up {
            return Err(ErrorKind::NotConnected.into());
        }
        let capacity = WINDOW_BYTES.saturating_sub(link.in_flight_bytes);
        if capacity == 0 {
            link.is_write_blocked = true;
            return Err(ErrorKind::WouldBlock.into());
        }
        let bytes: Vec<u8> =
            slices.iter().flat_map(|slice| slice.iter().copied()).take(capacity.min(max_bytes)).collect();
        let count = bytes.len();
        link.in_flight_bytes += count;
        let at = state.arrival(self.id, Direction::ToActor);
        let sent = state.now;
        state.schedule(at, NetworkEvent::BytesAtActor(self.id, bytes, sent));
        Ok(count)
    }

    /// Whether bytes are in flight to the peer.
    pub fn has_unsent_bytes(&self) -> bool {
        self.fabric.state().links.get(&self.id).is_some_and(|link| link.in_flight_bytes > 0)
    }

    /// Shuts down the write side.
    pub fn shutdown(&self) {
        let mut state = self.fabric.state();
        let can_shut_down = |link: &&mut Link| link.is_up && !link.is_write_shut_down && !link.is_broken;
        if let Some(link) = state.links.get_mut(&self.id).filter(can_shut_down) {
            link.is_write_shut_down = true;
            let at = state.arrival(self.id, Direction::ToActor);
            state.schedule(at, NetworkEvent::EndAtActor(self.id));
        }
    }

    /// Returns the peer's address; `None` if the connection is unknown.
    pub fn peer(&self) -> Option<SocketAddr> {
        self.fabric.state().links.get(&self.id).and_then(|link| link.host)
    }

    /// Hands the connection over to another process and returns that process's end of it. Dropping this end
    /// no longer closes the connection, and the peer does not notice the change.
    pub fn hand_over(&self, to: u32) -> VirtualStream {
        self.was_handed_over.store(true, Ordering::SeqCst);
        self.fabric.adopt(self.id, to);
        VirtualStream::new(&self.fabric, self.id)
    }

    pub(super) fn new(fabric: &Fabric, id: u64) -> VirtualStream {
        VirtualStream { fabric: fabric.clone(), id, was_handed_over: AtomicBool::new(false) }
    }
}

impl Drop for VirtualStream {
    fn drop(&mut self) {
        if !self.was_handed_over.load(Ordering::SeqCst) {
            self.fabric.state().drop_process_end(self.id);
        }
    }
}

//! A process's ends of the network: its listeners and its connections.

use super::state::{Due, State};
use super::Fabric;
use crate::net::Reason;
use std::io::{self, ErrorKind, IoSlice};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};

/// Bytes that may be under way to a peer on one connection.
pub(super) const WINDOW: usize = 256 * 1024;

/// A listener of a process.
#[derive(Debug)]
pub struct VirtualListener {
    pub(super) fabric: Fabric,
    pub(super) process: u32,
    pub(super) addr: SocketAddr,
}

impl VirtualListener {
    /// Its address.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Takes the next connection.
    ///
    /// # Errors
    ///
    /// `WouldBlock`: none waits; the error of one that was aborted; an error that was planned.
    pub fn accept(&self) -> io::Result<(VirtualStream, SocketAddr)> {
        let mut state = self.fabric.state();
        let now = state.now;
        state.errors.call(now)?;
        let waits = |state: &State| {
            let process = state.processes.get(&self.process);
            process.and_then(|process| process.ports.get(&self.addr)).is_some_and(|(_, all)| !all.is_empty())
        };
        if waits(&state) {
            state.errors.exhausted(now)?;
        }
        let process = state.processes.get_mut(&self.process);
        let waiting = process.and_then(|process| process.ports.get_mut(&self.addr)?.1.pop_front());
        let id = waiting.ok_or(ErrorKind::WouldBlock)?;
        let link = state.links.get(&id).ok_or(ErrorKind::ConnectionAborted)?;
        if link.aborted {
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
        let Some((_, waiting)) = process.and_then(|process| process.ports.remove(&self.addr)) else { return };
        for id in waiting {
            // Nobody accepted it: the system breaks it.
            let at = state.arrival(id, 1);
            state.plan(at, Due::BreakAtActor(id));
        }
    }
}

/// A process's end of a connection; it is closed as it is dropped.
#[derive(Debug)]
pub struct VirtualStream {
    fabric: Fabric,
    id: u64,
    passed: AtomicBool,
}

impl VirtualStream {
    /// Watches it under a token; what it has already is told at once.
    pub fn register(&self, token: usize) {
        let mut state = self.fabric.state();
        let Some(link) = state.links.get_mut(&self.id) else { return };
        link.token = Some(token);
        let (read, write) = (!link.input.is_empty() || link.ended || link.broken, link.up || link.refused);
        if read || write {
            state.wake(self.id, read, write);
        }
    }

    /// Whether it is up.
    ///
    /// # Errors
    ///
    /// Refused, or reset after it was up.
    pub fn connected(&self) -> Result<bool, Reason> {
        let state = self.fabric.state();
        match state.links.get(&self.id) {
            Some(link) if link.refused => Err(Reason::ConnectRefused),
            Some(link) if link.broken => Err(Reason::PeerReset),
            Some(link) => Ok(link.up),
            None => Err(Reason::PeerReset),
        }
    }

    /// Reads.
    ///
    /// # Errors
    ///
    /// `WouldBlock`: nothing is there; `ConnectionReset` or another error: it broke; `Interrupted`: to be repeated.
    pub fn read(&self, into: &mut [u8]) -> io::Result<usize> {
        let mut state = self.fabric.state();
        let now = state.now;
        state.errors.call(now)?;
        let most = state.errors.most(now);
        let Some(link) = state.links.get_mut(&self.id) else { return Err(ErrorKind::ConnectionReset.into()) };
        if link.broken || link.refused {
            return Err(link.error.into());
        }
        if link.input.is_empty() {
            return if link.ended { Ok(0) } else { Err(ErrorKind::WouldBlock.into()) };
        }
        let count = into.len().min(link.input.len()).min(most);
        for (to, byte) in into.iter_mut().zip(link.input.drain(..count)) {
            *to = byte;
        }
        Ok(count)
    }

    /// Writes.
    ///
    /// # Errors
    ///
    /// `NotConnected`: not up yet; `WouldBlock`: as much as may be is under way; `ConnectionReset` or another error: it
    /// broke; `Interrupted`: to be repeated.
    pub fn write(&self, slices: &[IoSlice<'_>]) -> io::Result<usize> {
        let mut state = self.fabric.state();
        let now = state.now;
        state.errors.call(now)?;
        let most = state.errors.most(now);
        let Some(link) = state.links.get_mut(&self.id) else { return Err(ErrorKind::ConnectionReset.into()) };
        if link.broken || link.refused || link.shut {
            return Err(link.error.into());
        }
        if !link.up {
            return Err(ErrorKind::NotConnected.into());
        }
        let room = WINDOW.saturating_sub(link.under_way);
        if room == 0 {
            link.blocked = true;
            return Err(ErrorKind::WouldBlock.into());
        }
        let bytes: Vec<u8> =
            slices.iter().flat_map(|slice| slice.iter().copied()).take(room.min(most)).collect();
        let count = bytes.len();
        link.under_way += count;
        let at = state.arrival(self.id, 1);
        let sent = state.now;
        state.plan(at, Due::ToActor(self.id, bytes, sent));
        Ok(count)
    }

    /// Writes nothing more.
    pub fn shutdown(&self) {
        let mut state = self.fabric.state();
        let up = state.links.get(&self.id).is_some_and(|link| link.up && !link.shut && !link.broken);
        if up {
            if let Some(link) = state.links.get_mut(&self.id) {
                link.shut = true;
            }
            let at = state.arrival(self.id, 1);
            state.plan(at, Due::EndToActor(self.id));
        }
    }

    /// The peer's address.
    pub fn peer(&self) -> Option<SocketAddr> {
        self.fabric.state().links.get(&self.id).and_then(|link| link.host)
    }

    /// The same connection for another process: this end no longer is one, and nothing is said to the peer.
    pub fn pass(&self, to: u32) -> VirtualStream {
        self.passed.store(true, Ordering::SeqCst);
        self.fabric.adopt(self.id, to);
        VirtualStream::new(&self.fabric, self.id)
    }

    pub(super) fn new(fabric: &Fabric, id: u64) -> VirtualStream {
        VirtualStream { fabric: fabric.clone(), id, passed: AtomicBool::new(false) }
    }
}

impl Drop for VirtualStream {
    fn drop(&mut self) {
        if !self.passed.load(Ordering::SeqCst) {
            self.fabric.state().give_up(self.id);
        }
    }
}

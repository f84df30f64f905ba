//! The sockets of the event loop: a table of connections with bounded buffers, partial reads and writes, and one log
//! line with a reason code for each connection that ends.
//!
//! - `poll`: waiting until something is ready;
//! - `listening`: listeners and accepted connections; `opening`: connections that are begun here or taken over;
//!   `closing`: their ends, with `reason`, the codes of the log;
//! - `transfer`: reading and writing;
//! - `connection`: the record of one connection; `role`: what it is for; `stream`: its socket;
//! - `errors`: what errors of system calls mean;
//! - `clock`: the monotonic clock and the wall clock;
//! - `fabric`: the simulated network.

mod clock;
mod closing;
mod connection;
mod errors;
pub mod fabric;
mod listening;
mod opening;
mod poll;
mod reason;
mod role;
mod stream;
mod transfer;

pub use clock::{unix_time, Clock, WallClock};
pub use connection::ConnectionKey;
pub use errors::{is_exhausted, is_local_error};
pub use poll::Ready;
pub use reason::Reason;
pub use role::Role;
pub use stream::{Listener, Stream};
pub use transfer::ReadProgress;

use crate::interface::UnixTime;
use crate::slots::Slots;
use connection::Connection;
use fabric::Fabric;
use mio::{Events, Poll};
use poll::Poller;
use role::RoleCounts;
use std::io;
use std::net::IpAddr;

/// The most bytes that one system call reads.
const READ_CHUNK_BYTES: usize = 64 * 1024;

/// The most events that one poll returns.
const EVENT_CAPACITY: usize = 1024;

/// The poll and the table of connections.
pub struct Net {
    poller: Poller,
    wall: WallClock,
    connections: Slots<Connection>,
    counts: RoleCounts,
    /// The buffer of read calls.
    scratch: Vec<u8>,
    /// Bytes that all connections' buffers hold.
    held_bytes: usize,
    /// Clients' connections that ended since [`Net::take_closed`] was last called.
    closed: Vec<ConnectionKey>,
}

impl Net {
    /// An empty table.
    ///
    /// # Errors
    ///
    /// The system provides no poll.
    pub fn new() -> io::Result<Self> {
        let poller = Poller::Mio { poll: Poll::new()?, events: Events::with_capacity(EVENT_CAPACITY) };
        Ok(Self::with(poller, WallClock::default()))
    }

    /// An empty table of a process in a simulated network.
    pub fn simulated(fabric: &Fabric, process: u32) -> Self {
        Self::with(Poller::Virtual { fabric: fabric.clone(), process }, WallClock::simulated(fabric))
    }

    fn with(poller: Poller, wall: WallClock) -> Self {
        Net {
            poller,
            wall,
            connections: Slots::default(),
            counts: RoleCounts::default(),
            scratch: vec![0; READ_CHUNK_BYTES],
            held_bytes: 0,
            closed: Vec::new(),
        }
    }

    /// The Unix time; see [`WallClock`].
    pub fn unix_time(&self) -> UnixTime {
        self.wall.now()
    }

    /// How many connections of a role there are.
    pub fn count(&self, role: Role) -> usize {
        self.counts.of(role)
    }

    /// How many connections of all roles there are.
    pub fn total(&self) -> usize {
        self.counts.total()
    }

    /// The address of a connection's peer.
    pub fn address(&self, key: ConnectionKey) -> Option<IpAddr> {
        self.connection(key).map(|connection| connection.address)
    }

    /// Takes the clients' connections that ended since the last call.
    pub fn take_closed(&mut self) -> Vec<ConnectionKey> {
        std::mem::take(&mut self.closed)
    }

    fn connection(&self, key: ConnectionKey) -> Option<&Connection> {
        self.connections.get(key.0)
    }

    fn connection_mut(&mut self, key: ConnectionKey) -> Option<&mut Connection> {
        self.connections.get_mut(key.0)
    }

    /// Bytes that all connections' buffers hold.
    pub fn held_bytes(&self) -> usize {
        self.held_bytes
    }
}

#[cfg(test)]
mod tests;

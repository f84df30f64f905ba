//! The sockets of the event loop: a table of connections with bounded buffers and non-blocking reads and
//! writes. Each connection that ends is logged in one line with a reason code.
//!
//! - `poll`: waits until a connection, listener or other source is ready;
//! - `listening`: listeners and accepted connections; `opening`: outgoing connections and connections taken
//!   over from another process; `closing`: closes connections and logs their ends, with the codes of
//!   `reason`;
//! - `transfer`: reads and writes; `read_queue`: connections that wait to be read again;
//! - `buffer_limits`: limits of the buffers of all connections together;
//! - `connection`: the state of one connection; `role`: its purpose; `stream`: its socket; `send_queue`: the bytes of a
//!   socket that the system has not sent;
//! - `errors`: classifies the errors of system calls;
//! - `clock`: the monotonic clock and the wall clock;
//! - `fabric`: the simulated network.

mod buffer_limits;
mod clock;
mod closing;
mod connection;
mod errors;
pub mod fabric;
mod listening;
mod opening;
mod poll;
mod read_queue;
mod reason;
mod role;
mod send_queue;
mod stream;
mod transfer;

pub use buffer_limits::{BufferLimits, MIN_INPUT_BYTES};
pub use clock::{unix_time, Clock, WallClock};
pub use connection::ConnectionKey;
pub use errors::{is_exhausted, is_local_error};
pub use listening::BACKLOG;
pub use poll::Ready;
pub use read_queue::ReadQueue;
pub use reason::Reason;
pub use role::Role;
pub use stream::{Listener, Stream};
pub use transfer::{DiscardProgress, ReadProgress};

use crate::interface::UnixTime;
use crate::slots::Slots;
use buffer_limits::InputBytes;
use connection::Connection;
use fabric::Fabric;
use mio::{Events, Poll};
use poll::Poller;
use role::RoleCounts;
use std::io;
use std::net::IpAddr;

/// Maximum number of bytes that one system call reads.
const READ_CHUNK_BYTES: usize = 64 * 1024;

/// Maximum number of events that one poll returns.
const EVENT_CAPACITY: usize = 1024;

/// The poller and the table of connections of one process.
pub struct Net {
    poller: Poller,
    wall: WallClock,
    connections: Slots<Connection>,
    counts: RoleCounts,
    /// Buffer that read calls fill before the bytes are appended to a connection's input.
    scratch: Vec<u8>,
    /// Number of bytes in the buffers of all connections.
    held_bytes: usize,
    /// The part of them that is unread input, by role.
    input_bytes: InputBytes,
    limits: BufferLimits,
    /// Client connections that were closed since the last call of [`Net::take_closed`].
    closed: Vec<ConnectionKey>,
}

impl Net {
    /// Creates an empty table that uses the sockets of the operating system.
    ///
    /// # Errors
    ///
    /// The system call that creates the poller fails.
    pub fn new() -> io::Result<Self> {
        let poller = Poller::Mio { poll: Poll::new()?, events: Events::with_capacity(EVENT_CAPACITY) };
        Ok(Self::with(poller, WallClock::default()))
    }

    /// Creates an empty table for a process of a simulated network.
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
            input_bytes: InputBytes::default(),
            limits: BufferLimits::default(),
            closed: Vec::new(),
        }
    }

    /// Returns the Unix time of the [`WallClock`].
    pub fn unix_time(&self) -> UnixTime {
        self.wall.now()
    }

    /// Returns the number of open connections of a role.
    pub fn count(&self, role: Role) -> usize {
        self.counts.of(role)
    }

    /// Returns the number of open connections of all roles.
    pub fn total(&self) -> usize {
        self.counts.total()
    }

    /// Returns the IP address of a connection's peer; `None` if the connection is closed.
    pub fn address(&self, key: ConnectionKey) -> Option<IpAddr> {
        self.connection(key).map(|connection| connection.address)
    }

    /// Removes and returns the client connections that were closed since the last call.
    pub fn take_closed(&mut self) -> Vec<ConnectionKey> {
        std::mem::take(&mut self.closed)
    }

    fn connection(&self, key: ConnectionKey) -> Option<&Connection> {
        self.connections.get(key.0)
    }

    fn connection_mut(&mut self, key: ConnectionKey) -> Option<&mut Connection> {
        self.connections.get_mut(key.0)
    }

    /// Replaces the limits of the buffers of all connections together. There are none at first.
    pub fn set_limits(&mut self, limits: BufferLimits) {
        self.limits = limits;
    }

    /// Returns the number of unread bytes that connections of a role may hold in addition to those that they
    /// hold now.
    pub fn free_input_bytes(&self, role: Role) -> usize {
        self.limits.free_input(role, self.input_bytes.of(role))
    }

    /// Returns the number of unwritten bytes from which on a client's connection should not be read, which is
    /// `usual` while there is memory for it.
    pub fn max_unwritten_bytes(&self, usual: usize) -> usize {
        self.limits.max_unwritten(usual, self.held_bytes)
    }

    /// Updates the counts of held bytes after a connection's input has changed its length.
    fn count_input(&mut self, role: Role, before: usize, after: usize) {
        self.held_bytes = (self.held_bytes + after).saturating_sub(before);
        self.input_bytes.replace(role, before, after);
    }

    /// Returns the number of bytes in the input and output buffers of all connections.
    pub fn held_bytes(&self) -> usize {
        self.held_bytes
    }
}

#[cfg(test)]
mod tests;

//! The mio loop's sockets: connection slots with bounded buffers, partial reads and writes, and one log line
//! with a reason code for each connection that ends.
//!
//! `poll` waits for what is ready, `connections` opens and closes, `transfer` reads and writes; all three are parts of
//! [`Net`].

mod clock;
mod connections;
mod errors;
pub mod fabric;
mod poll;
mod reason;
mod role;
mod stream;
mod transfer;

pub use clock::{unix_time, Clock, WallClock};
pub use errors::{is_exhausted, is_local};
pub use poll::Ready;
pub use reason::Reason;
pub use role::Role;
pub use stream::{Listener, Stream};
pub use transfer::ReadProgress;

use crate::interface::{Instant, UnixTime};
use crate::slots::{Key, Slots};
use bytes::{Bytes, BytesMut};
use fabric::Fabric;
use mio::{Events, Poll};
use poll::Poller;
use std::collections::VecDeque;
use std::io;

/// A connection of the table.
pub type ConnectionKey = Key;

/// Bytes taken from a socket at a time.
const CHUNK: usize = 64 * 1024;

struct Conn {
    stream: Stream,
    role: Role,
    peer: String,
    address: std::net::IpAddr,
    opened: Instant,
    input: BytesMut,
    out: VecDeque<Bytes>,
    out_bytes: usize,
    read: u64,
    wrote: u64,
}

/// The poll and the table of connections.
pub struct Net {
    poller: Poller,
    wall: WallClock,
    conns: Slots<Conn>,
    count: [usize; 6],
    scratch: Vec<u8>,
    held: usize,
    /// Clients' connections that ended since [`Net::take_closed`] was last called, by number.
    closed: Vec<u64>,
}

impl Net {
    /// An empty table.
    ///
    /// # Errors
    ///
    /// No poll can be had from the system.
    pub fn new() -> io::Result<Self> {
        let poller = Poller::Mio { poll: Poll::new()?, events: Events::with_capacity(1024) };
        Ok(Self::with(poller, WallClock::default()))
    }

    /// An empty table of a process in a simulated network.
    pub fn on(fabric: &Fabric, process: u32) -> Self {
        Self::with(Poller::Virtual { fabric: fabric.clone(), process }, WallClock::of(fabric))
    }

    fn with(poller: Poller, wall: WallClock) -> Self {
        let (conns, scratch, closed) = (Slots::default(), vec![0; CHUNK], Vec::new());
        Net { poller, wall, conns, count: [0; 6], scratch, held: 0, closed }
    }

    /// Unix time, for what is stated in Unix time; see [`WallClock`].
    pub fn unix_time(&self) -> UnixTime {
        self.wall.now()
    }

    /// Connections of a role.
    pub fn count(&self, role: Role) -> usize {
        self.count[role as usize]
    }

    /// Connections of all roles.
    pub fn total(&self) -> usize {
        self.count.iter().sum()
    }

    /// The address of a connection's peer.
    pub fn address(&self, key: ConnectionKey) -> Option<std::net::IpAddr> {
        self.conns.get(key).map(|conn| conn.address)
    }

    /// The numbers of clients' connections that ended since the last call, by whatever way.
    pub fn take_closed(&mut self) -> Vec<u64> {
        std::mem::take(&mut self.closed)
    }

    /// Bytes that all connections' buffers hold.
    pub fn held_bytes(&self) -> usize {
        self.held
    }
}

#[cfg(test)]
mod tests;

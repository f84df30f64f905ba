//! Opens connections, and takes over connections that another process handed over.

use super::connection::Connection;
use super::poll::Poller;
use super::{fabric, ConnectionKey, Net, Reason, Role, Stream};
use crate::interface::Instant;
use mio::net::TcpStream;
use mio::{Interest, Token};
use std::io;
use std::net::SocketAddr;

impl Net {
    /// Starts to connect to `peer`; [`Net::connected`] returns whether the connection is established.
    ///
    /// # Errors
    ///
    /// The connect call fails at once. [`is_local_error`](super::is_local_error) returns whether the cause is
    /// local, such as a missing descriptor or port. No bytes were sent in either case.
    pub fn connect(&mut self, now: Instant, peer: SocketAddr, role: Role) -> io::Result<ConnectionKey> {
        loop {
            match self.begin_connect(peer) {
                Ok(stream) => return self.add(now, stream, role, peer),
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) => return Err(error),
            }
        }
    }

    fn begin_connect(&self, peer: SocketAddr) -> io::Result<Stream> {
        match &self.poller {
            Poller::Mio { .. } => TcpStream::connect(peer).map(Stream::Tcp),
            Poller::Virtual { fabric, process } => fabric.connect(*process, peer).map(Stream::Virtual),
        }
    }

    /// Adds a connection to the table and registers it with the poller.
    pub(super) fn add(
        &mut self,
        now: Instant,
        stream: Stream,
        role: Role,
        peer: SocketAddr,
    ) -> io::Result<ConnectionKey> {
        if let Stream::Tcp(stream) = &stream {
            let _ = stream.set_nodelay(true); // on failure the connection is only slower
        }
        let key = ConnectionKey(self.connections.insert(Connection::new(now, stream, role, peer)));
        if let Err(error) = self.watch_connection(key) {
            self.connections.remove(key.0);
            return Err(error);
        }
        self.counts.add(role);
        Ok(key)
    }

    fn watch_connection(&mut self, key: ConnectionKey) -> io::Result<()> {
        let token = key.number() as usize;
        let stream = self.connections.get_mut(key.0).map(|connection| &mut connection.stream);
        match (stream, &self.poller) {
            (Some(Stream::Tcp(stream)), Poller::Mio { poll, .. }) => {
                poll.registry().register(stream, Token(token), Interest::READABLE | Interest::WRITABLE)
            }
            (Some(Stream::Virtual(stream)), _) => {
                stream.register(token);
                Ok(())
            }
            _ => Ok(()),
        }
    }

    /// Whether a connection is established.
    ///
    /// # Errors
    ///
    /// The connection was refused or has failed.
    pub fn connected(&mut self, key: ConnectionKey) -> Result<bool, Reason> {
        self.connection(key).map_or(Err(Reason::PeerReset), |connection| connection.stream.connected())
    }

    /// Adds a connection that another process handed over; `input` holds the bytes that it read and did not
    /// process.
    ///
    /// # Errors
    ///
    /// The connection is broken, or the poller can't register it.
    pub fn adopt(
        &mut self,
        now: Instant,
        stream: std::net::TcpStream,
        role: Role,
        input: &[u8],
    ) -> io::Result<ConnectionKey> {
        stream.set_nonblocking(true)?;
        let peer = stream.peer_addr()?;
        self.adopt_stream(now, Stream::Tcp(TcpStream::from_std(stream)), role, peer, input)
    }

    /// Adds a connection of the simulated network that another process handed over; see [`Net::adopt`].
    ///
    /// # Errors
    ///
    /// The connection does not exist any more.
    pub fn adopt_virtual(
        &mut self,
        now: Instant,
        end: fabric::VirtualStream,
        role: Role,
        input: &[u8],
    ) -> io::Result<ConnectionKey> {
        let peer = end.peer().ok_or(io::ErrorKind::NotConnected)?;
        self.adopt_stream(now, Stream::Virtual(end), role, peer, input)
    }

    fn adopt_stream(
        &mut self,
        now: Instant,
        stream: Stream,
        role: Role,
        peer: SocketAddr,
        input: &[u8],
    ) -> io::Result<ConnectionKey> {
        let key = self.add(now, stream, role, peer)?;
        self.count_input(role, 0, input.len());
        if let Some(connection) = self.connection_mut(key) {
            connection.input.extend_from_slice(input);
        }
        Ok(key)
    }
}

//! Opening connections: those that are begun here, and those that another process handed over.

use super::connection::Connection;
use super::poll::Poller;
use super::{fabric, ConnectionKey, Net, Reason, Role, Stream};
use crate::interface::Instant;
use mio::net::TcpStream;
use mio::{Interest, Token};
use std::io;
use std::net::SocketAddr;

impl Net {
    /// Begins to connect; [`Net::connected`] says when the connection has come up.
    ///
    /// # Errors
    ///
    /// The connection fails at once, or [`is_local_error`](super::is_local_error): for want of a descriptor, a port or the like.
    /// Nothing was sent.
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

    /// Adds a connection to the table and watches it.
    pub(super) fn add(
        &mut self,
        now: Instant,
        stream: Stream,
        role: Role,
        peer: SocketAddr,
    ) -> io::Result<ConnectionKey> {
        if let Stream::Tcp(stream) = &stream {
            let _ = stream.set_nodelay(true); // without it the connection is only slower
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

    /// Whether a connection has come up.
    ///
    /// # Errors
    ///
    /// It was refused or failed.
    pub fn connected(&mut self, key: ConnectionKey) -> Result<bool, Reason> {
        self.connection(key).map_or(Err(Reason::PeerReset), |connection| connection.stream.connected())
    }

    /// Adds a connection that another process has handed over, with the bytes that were read there and not used.
    ///
    /// # Errors
    ///
    /// It is broken, or can't be watched.
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

    /// The same in the simulator, see [`Net::adopt`].
    ///
    /// # Errors
    ///
    /// It has ended.
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
        self.held_bytes += input.len();
        if let Some(connection) = self.connection_mut(key) {
            connection.input.extend_from_slice(input);
        }
        Ok(key)
    }
}

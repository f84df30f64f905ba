//! Connections are opened, taken in, handed on and closed.

use super::errors::concerns_one_connection;
use super::poll::Poller;
use super::{fabric, Conn, ConnectionKey, Listener, Net, Reason, Role, Stream, CHUNK};
use crate::interface::Instant;
use bytes::BytesMut;
use mio::net::{TcpListener, TcpStream};
use mio::{Interest, Token};
use socket2::{Domain, Protocol, Socket, Type};
use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use tracing::info;

/// The target under which operators know the lines of connections that end.
const LOG_TARGET: &str = "dahliatrack::net";
/// Connections that may wait to be accepted.
const BACKLOG: i32 = 1024;
/// Chunks that a client may have left unread as its connection is closed here; a longer rest resets it.
const DROPPED_CHUNKS: usize = 16;
/// Connections of a listener that may fail by themselves before the next one is looked for later.
const FAILED_ACCEPTS: usize = 64;

impl Net {
    /// Listens on an address, beside another process if `shared`, and watches it under a number below 2^32.
    ///
    /// # Errors
    ///
    /// The address cannot be listened on.
    pub fn listen(&mut self, addr: SocketAddr, shared: bool, number: usize) -> io::Result<Listener> {
        if let Poller::Virtual { fabric, process } = &self.poller {
            return fabric.listen(*process, addr, number).map(Listener::Virtual);
        }
        let socket = Socket::new(Domain::for_address(addr), Type::STREAM, Some(Protocol::TCP))?;
        socket.set_nonblocking(true)?;
        socket.set_reuse_address(true)?;
        socket.set_reuse_port(shared)?;
        socket.bind(&addr.into())?;
        socket.listen(BACKLOG)?;
        let mut listener = TcpListener::from_std(socket.into());
        self.watch(&mut listener, number)?;
        Ok(Listener::Tcp(listener))
    }

    /// Listens no more; connections that were not accepted are broken.
    pub fn unlisten(&mut self, listener: Listener) {
        if let Listener::Tcp(mut listener) = listener {
            let _ = self.unwatch(&mut listener); // its end ends the watch, too
        }
    }

    /// Takes the next connection of a listener, past those that have failed by themselves; `None` when there is none.
    ///
    /// # Errors
    ///
    /// The process is out of descriptors or the like, or one connection after another has failed.
    pub fn accept(
        &mut self,
        now: Instant,
        listener: &Listener,
        role: Role,
    ) -> io::Result<Option<ConnectionKey>> {
        let mut failed = 0;
        loop {
            match listener.accept() {
                Ok((stream, peer)) => return self.add(now, stream, role, peer).map(Some),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(None),
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) if concerns_one_connection(&error) && failed < FAILED_ACCEPTS => failed += 1,
                Err(error) => return Err(error),
            }
        }
    }

    /// Begins to connect.
    ///
    /// # Errors
    ///
    /// The connection fails at once, or [`is_local`](super::is_local): for want of a descriptor, a port or the like.
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

    fn add(
        &mut self,
        now: Instant,
        stream: Stream,
        role: Role,
        peer: SocketAddr,
    ) -> io::Result<ConnectionKey> {
        if let Stream::Tcp(stream) = &stream {
            let _ = stream.set_nodelay(true); // only slower without
        }
        let conn = Conn {
            stream,
            role,
            peer: peer.to_string(),
            address: peer.ip(),
            opened: now,
            input: BytesMut::new(),
            out: VecDeque::new(),
            out_bytes: 0,
            read: 0,
            wrote: 0,
        };
        let key = self.conns.insert(conn);
        let interest = Interest::READABLE | Interest::WRITABLE;
        let token = key.number() as usize;
        let done = match (self.conns.get_mut(key).map(|conn| &mut conn.stream), &self.poller) {
            (Some(Stream::Tcp(stream)), Poller::Mio { poll, .. }) => {
                poll.registry().register(stream, Token(token), interest)
            }
            (Some(Stream::Virtual(end)), _) => {
                end.register(token);
                Ok(())
            }
            _ => Ok(()),
        };
        if let Err(error) = done {
            self.conns.remove(key);
            return Err(error);
        }
        self.count[role as usize] += 1;
        Ok(key)
    }

    /// Whether a connection that was begun has come up.
    ///
    /// # Errors
    ///
    /// It was refused or failed.
    pub fn connected(&mut self, key: ConnectionKey) -> Result<bool, Reason> {
        self.conns.get(key).map_or(Err(Reason::PeerReset), |conn| conn.stream.connected())
    }

    /// Takes in a connection that another process had, with what was read there and not used.
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

    /// The same in the simulator.
    ///
    /// # Errors
    ///
    /// It is gone.
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
        self.held += input.len();
        if let Some(conn) = self.conns.get_mut(key) {
            conn.input.extend_from_slice(input);
        }
        Ok(key)
    }

    /// Gives a connection to `to`, with what was read there and not used; if it takes it, the connection goes on without
    /// this process.
    pub fn hand_over(
        &mut self,
        now: Instant,
        key: ConnectionKey,
        to: impl FnOnce(&Stream, &[u8]) -> bool,
    ) -> bool {
        let went = self.conns.get(key).is_some_and(|conn| to(&conn.stream, &conn.input));
        if went {
            self.close(now, key, Reason::HandedOn);
        }
        went
    }

    /// Says to the peer that nothing more is written.
    pub fn shutdown(&mut self, key: ConnectionKey) {
        if let Some(conn) = self.conns.get(key) {
            match &conn.stream {
                Stream::Tcp(stream) => drop(stream.shutdown(std::net::Shutdown::Write)), // a broken one ends by itself
                Stream::Virtual(end) => end.shutdown(),
            }
        }
    }

    /// Says the end to a client and drops what it still wrote, up to a bound: closing over unread bytes would reset the
    /// connection, and with it answers that the client has not read yet.
    fn drop_unread(&mut self, key: ConnectionKey) {
        self.shutdown(key);
        let Some(conn) = self.conns.get_mut(key) else { return };
        let mut dropped = 0;
        while dropped < DROPPED_CHUNKS * CHUNK {
            match conn.stream.read(&mut self.scratch) {
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Ok(0) | Err(_) => return,
                Ok(count) => dropped += count,
            }
        }
    }

    /// Ends a connection, with its log line.
    pub fn close(&mut self, now: Instant, key: ConnectionKey, reason: Reason) {
        let is_client =
            self.conns.get(key).is_some_and(|conn| matches!(conn.role, Role::Thrift | Role::Signed));
        // The process that it was handed on to reads there.
        if is_client && reason != Reason::HandedOn {
            self.drop_unread(key);
        }
        let Some(mut conn) = self.conns.remove(key) else { return };
        if let (Stream::Tcp(stream), Poller::Mio { poll, .. }) = (&mut conn.stream, &self.poller) {
            let _ = poll.registry().deregister(stream);
        }
        self.count[conn.role as usize] -= 1;
        if matches!(conn.role, Role::Thrift | Role::Signed) {
            self.closed.push(key.number());
        }
        self.held = self.held.saturating_sub(conn.input.len() + conn.out_bytes);
        let (role, peer, code, age) = (conn.role, &conn.peer, reason.code(), (now - conn.opened).as_millis());
        let (read, wrote) = (conn.read, conn.wrote);
        info!(target: LOG_TARGET, conn = %key, ?role, %peer, end = %code, age_ms = age, read, wrote);
    }
}

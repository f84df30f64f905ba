//! Listeners, and the connections that they accept.

use super::errors::concerns_one_connection;
use super::poll::Poller;
use super::{ConnectionKey, Listener, Net, Role};
use crate::interface::Instant;
use mio::net::TcpListener;
use socket2::{Domain, Protocol, Socket, Type};
use std::io;
use std::net::SocketAddr;

/// The most connections that wait to be accepted.
const BACKLOG: i32 = 1024;
/// The most connections in a row that fail before one is accepted; then accepting pauses.
const MAX_FAILED_ACCEPTS: usize = 64;

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

    /// Closes a listener; connections that were not accepted are reset.
    pub fn unlisten(&mut self, listener: Listener) {
        if let Listener::Tcp(mut listener) = listener {
            let _ = self.unwatch(&mut listener); // closing it ends the watch, too
        }
    }

    /// Accepts the next connection, past those that have failed already; `None` when none waits.
    ///
    /// # Errors
    ///
    /// The process is out of descriptors or the like, or too many connections in a row have failed.
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
                Err(error) if concerns_one_connection(&error) && failed < MAX_FAILED_ACCEPTS => failed += 1,
                Err(error) => return Err(error),
            }
        }
    }
}

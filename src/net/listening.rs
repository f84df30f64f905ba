//! Opens and closes listeners, and accepts connections.

use super::errors::concerns_one_connection;
use super::poll::Poller;
use super::{ConnectionKey, Listener, Net, Role};
use crate::interface::Instant;
use mio::net::TcpListener;
use socket2::{Domain, Protocol, Socket, Type};
use std::io;
use std::net::SocketAddr;

/// Maximum number of connections that wait to be accepted on a listener.
pub const BACKLOG: usize = 1024;
/// Maximum number of consecutive failed connections that one accept call skips; after them it returns an
/// error, and the caller pauses accepting.
const MAX_FAILED_ACCEPTS: usize = 64;

impl Net {
    /// Listens on an address and registers the listener under a number, which must be below 2^32. With
    /// `shared`, other processes may listen on the same address.
    ///
    /// # Errors
    ///
    /// A system call fails, for example since the address is in use or not available.
    pub fn listen(&mut self, addr: SocketAddr, shared: bool, number: usize) -> io::Result<Listener> {
        if let Poller::Virtual { fabric, process } = &self.poller {
            return fabric.listen(*process, addr, number).map(Listener::Virtual);
        }
        let socket = Socket::new(Domain::for_address(addr), Type::STREAM, Some(Protocol::TCP))?;
        socket.set_nonblocking(true)?;
        socket.set_reuse_address(true)?;
        socket.set_reuse_port(shared)?;
        socket.bind(&addr.into())?;
        socket.listen(BACKLOG as i32)?;
        let mut listener = TcpListener::from_std(socket.into());
        self.watch(&mut listener, number)?;
        Ok(Listener::Tcp(listener))
    }

    /// Closes a listener; the system resets connections that were not accepted.
    pub fn unlisten(&mut self, listener: Listener) {
        if let Listener::Tcp(mut listener) = listener {
            let _ = self.unwatch(&mut listener); // closing the socket deregisters it, too
        }
    }

    /// Accepts the next connection, skipping those that have already failed; `None` if no connection is
    /// waiting.
    ///
    /// # Errors
    ///
    /// The process is out of descriptors or other resources, or more than `MAX_FAILED_ACCEPTS` connections in
    /// a row have failed.
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

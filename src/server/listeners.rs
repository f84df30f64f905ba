//! The listening sockets of the fronts and of the admin endpoint.

use super::event_source::EventSource;
use super::ServerError;
use crate::interface::Instant;
use crate::net::{ConnectionKey, Listener, Net, Role};
use std::io;
use std::net::SocketAddr;

/// Result of an accept on a listener.
pub(super) enum Accepted {
    Connection(ConnectionKey),
    /// No connection is waiting.
    NoneWaiting,
    /// The role has no listener, or its listener is closed.
    NoListener,
}

/// The listening sockets. Those of the fronts are closed during the shutdown.
#[derive(Default)]
pub(super) struct Listeners {
    thrift: Option<Listener>,
    signed: Option<Listener>,
    admin: Option<Listener>,
}

impl Listeners {
    /// Opens the listener of the Thrift front, on an address that it shares with other processes of this edge
    /// proxy. Returns the actual address.
    pub fn open_thrift(&mut self, addr: SocketAddr, net: &mut Net) -> Result<SocketAddr, ServerError> {
        let listener = self.thrift.insert(listen(addr, true, EventSource::ThriftListener, net)?);
        Ok(listener.local_addr()?)
    }

    /// Opens the listener of the signed front, on an address that it shares with other processes of this edge
    /// proxy.
    pub fn open_signed(&mut self, addr: SocketAddr, net: &mut Net) -> Result<(), ServerError> {
        self.signed = Some(listen(addr, true, EventSource::SignedListener, net)?);
        Ok(())
    }

    /// Opens the listener of the admin endpoint, whose address is not shared with other processes.
    pub fn open_admin(&mut self, addr: SocketAddr, net: &mut Net) -> Result<(), ServerError> {
        self.admin = Some(listen(addr, false, EventSource::AdminListener, net)?);
        Ok(())
    }

    /// Returns the address of a role's listener, if there is one.
    pub fn local_addr(&self, role: Role) -> io::Result<Option<SocketAddr>> {
        self.of(role).map(Listener::local_addr).transpose()
    }

    /// Accepts the next connection of a role.
    pub fn accept(&self, now: Instant, role: Role, net: &mut Net) -> io::Result<Accepted> {
        let Some(listener) = self.of(role) else { return Ok(Accepted::NoListener) };
        let conn = net.accept(now, listener, role)?;
        Ok(conn.map_or(Accepted::NoneWaiting, Accepted::Connection))
    }

    /// Closes the listeners of both fronts.
    pub fn close_clients(&mut self, net: &mut Net) {
        for listener in self.thrift.take().into_iter().chain(self.signed.take()) {
            net.unlisten(listener);
        }
    }

    fn of(&self, role: Role) -> Option<&Listener> {
        match role {
            Role::Thrift => self.thrift.as_ref(),
            Role::Signed => self.signed.as_ref(),
            Role::Admin => self.admin.as_ref(),
            _ => None,
        }
    }
}

fn listen(
    addr: SocketAddr,
    is_shared: bool,
    source: EventSource,
    net: &mut Net,
) -> Result<Listener, ServerError> {
    net.listen(addr, is_shared, source.number()).map_err(|error| ServerError::Listen { addr, error })
}

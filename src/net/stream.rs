//! Sockets and listeners of the operating system or of the simulated network.

use super::{fabric, send_queue, Reason};
use mio::net::{TcpListener, TcpStream};
use std::io::{self, IoSlice, Read, Write};
use std::net::SocketAddr;

/// The socket of a connection.
pub enum Stream {
    /// A socket of the operating system.
    Tcp(TcpStream),
    /// A connection of the simulated network.
    Virtual(fabric::VirtualStream),
}

impl Stream {
    pub(super) fn read(&mut self, into: &mut [u8]) -> io::Result<usize> {
        match self {
            Stream::Tcp(stream) => stream.read(into),
            Stream::Virtual(stream) => stream.read(into),
        }
    }

    pub(super) fn write_vectored(&mut self, slices: &[IoSlice<'_>]) -> io::Result<usize> {
        match self {
            Stream::Tcp(stream) => stream.write_vectored(slices),
            Stream::Virtual(stream) => stream.write(slices),
        }
    }

    /// Whether the system holds written bytes that it has not sent. `false` if that is not known.
    pub(super) fn has_unsent_bytes(&self) -> bool {
        match self {
            Stream::Tcp(stream) => send_queue::has_unsent_bytes(stream).unwrap_or(false),
            Stream::Virtual(stream) => stream.has_unsent_bytes(),
        }
    }

    pub(super) fn connected(&self) -> Result<bool, Reason> {
        let stream = match self {
            Stream::Tcp(stream) => stream,
            Stream::Virtual(stream) => return stream.connected(),
        };
        match stream.take_error() {
            Ok(None) => {}
            // The connection was established, and was reset before this call.
            Ok(Some(error)) if error.kind() == io::ErrorKind::ConnectionReset => {
                return Err(Reason::PeerReset)
            }
            Ok(Some(_)) | Err(_) => return Err(Reason::ConnectRefused),
        }
        match stream.peer_addr() {
            Ok(_) => Ok(true),
            Err(error) if error.kind() == io::ErrorKind::NotConnected => Ok(false),
            Err(_) => Err(Reason::ConnectRefused),
        }
    }
}

/// A listening socket.
#[derive(Debug)]
pub enum Listener {
    /// A listener of the operating system.
    Tcp(TcpListener),
    /// A listener of the simulated network.
    Virtual(fabric::VirtualListener),
}

impl Listener {
    /// Returns the address that it listens on.
    ///
    /// # Errors
    ///
    /// The system call fails.
    pub fn local_addr(&self) -> io::Result<SocketAddr> {
        match self {
            Listener::Tcp(listener) => listener.local_addr(),
            Listener::Virtual(listener) => Ok(listener.addr()),
        }
    }

    pub(super) fn accept(&self) -> io::Result<(Stream, SocketAddr)> {
        match self {
            Listener::Tcp(listener) => listener.accept().map(|(stream, peer)| (Stream::Tcp(stream), peer)),
            Listener::Virtual(listener) => {
                listener.accept().map(|(stream, peer)| (Stream::Virtual(stream), peer))
            }
        }
    }
}

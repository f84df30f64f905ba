//! Sockets and listeners, of the system or of the simulator.

use super::{fabric, Reason};
use mio::net::{TcpListener, TcpStream};
use std::io::{self, IoSlice, Read, Write};
use std::net::SocketAddr;

/// A connection's socket, or its end in the simulator.
pub enum Stream {
    /// The system's.
    Tcp(TcpStream),
    /// The simulator's.
    Virtual(fabric::VirtualStream),
}

impl Stream {
    pub(super) fn read(&mut self, into: &mut [u8]) -> io::Result<usize> {
        match self {
            Stream::Tcp(stream) => stream.read(into),
            Stream::Virtual(end) => end.read(into),
        }
    }

    pub(super) fn write_vectored(&mut self, slices: &[IoSlice<'_>]) -> io::Result<usize> {
        match self {
            Stream::Tcp(stream) => stream.write_vectored(slices),
            Stream::Virtual(end) => end.write(slices),
        }
    }

    pub(super) fn connected(&self) -> Result<bool, Reason> {
        let stream = match self {
            Stream::Tcp(stream) => stream,
            Stream::Virtual(end) => return end.connected(),
        };
        match stream.take_error() {
            Ok(None) => {}
            // It did come up, and broke before it was looked at.
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

/// A listener, of the system or of the simulator.
#[derive(Debug)]
pub enum Listener {
    /// The system's.
    Tcp(TcpListener),
    /// The simulator's.
    Virtual(fabric::VirtualListener),
}

impl Listener {
    /// Its address.
    ///
    /// # Errors
    ///
    /// The system does not say.
    pub fn local_addr(&self) -> io::Result<SocketAddr> {
        match self {
            Listener::Tcp(listener) => listener.local_addr(),
            Listener::Virtual(port) => Ok(port.addr()),
        }
    }

    pub(super) fn accept(&self) -> io::Result<(Stream, SocketAddr)> {
        match self {
            Listener::Tcp(listener) => listener.accept().map(|(stream, peer)| (Stream::Tcp(stream), peer)),
            Listener::Virtual(port) => port.accept().map(|(end, peer)| (Stream::Virtual(end), peer)),
        }
    }
}

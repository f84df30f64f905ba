//! The traits through which the handover reaches the other processes of this edge proxy.

use crate::net::fabric::VirtualStream;
use crate::net::{Net, Stream};
use std::net::TcpStream;

/// A client's connection that the older process has handed over.
pub(in crate::server) struct InheritedConnection {
    pub stream: InheritedStream,
    /// Bytes that the older process has read from the connection and not processed.
    pub unprocessed: Vec<u8>,
}

/// The stream of a connection that was handed over.
pub(in crate::server) enum InheritedStream {
    /// A socket of the operating system.
    Tcp(TcpStream),
    /// A stream of the simulator.
    Virtual(VirtualStream),
}

/// The process started before this one, or the one started after it.
pub(super) trait Sibling {
    /// Returns the number of clients' connections that the process holds, by its last message.
    fn clients(&self) -> usize;

    /// Handles the messages that the process has sent; returns `false` if it has ended. Connections that it
    /// hands over are added to `inherited`.
    fn receive(&mut self, inherited: &mut Vec<InheritedConnection>) -> bool;

    /// Sends the number of clients' connections that this process holds; returns `false` if that is not
    /// possible now.
    fn send_client_count(&mut self, clients: usize) -> bool;

    /// Hands a connection over to the process, with the bytes that were read from it and not processed;
    /// returns `false` if the connection was not sent.
    fn send_connection(&mut self, stream: &Stream, unprocessed: &[u8]) -> bool;
}

/// The place at which a newer process finds this one.
pub(super) trait HandoverListener {
    /// Makes this process the one that the next process finds.
    fn publish(&mut self, net: &mut Net);

    /// Returns a newer process that has connected, if there is one. `has_newer` is whether another one
    /// connected before and is still running.
    fn accept_newer(&mut self, has_newer: bool, net: &mut Net) -> Option<Box<dyn Sibling>>;

    /// Whether a newer process may be waiting that could not be accepted.
    fn newer_accept_pending(&self) -> bool;

    /// Undoes [`HandoverListener::publish`].
    fn close(&mut self);
}

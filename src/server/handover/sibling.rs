//! The traits by which the handover reaches the other processes of this edge proxy.

use crate::net::fabric::VirtualStream;
use crate::net::{Net, Stream};
use std::net::TcpStream;

/// A client's connection that the older process has passed on.
pub(in crate::server) struct InheritedConnection {
    /// The connection.
    pub stream: InheritedStream,
    /// Bytes that the older process has read from it and not used.
    pub unused: Vec<u8>,
}

/// The stream of a connection that was passed on.
pub(in crate::server) enum InheritedStream {
    /// A socket of the system.
    Tcp(TcpStream),
    /// A stream of the simulator.
    Virtual(VirtualStream),
}

/// The process before this one, or the one after it.
pub(super) trait Sibling {
    /// Clients' connections that it holds, by its last message.
    fn clients(&self) -> usize;

    /// Takes in what it has sent; `false` if it has ended. Connections that it passes on are added to `inherited`.
    fn receive(&mut self, inherited: &mut Vec<InheritedConnection>) -> bool;

    /// Tells it how many clients' connections this process holds; `false` if it cannot take that now.
    fn send_client_count(&mut self, clients: usize) -> bool;

    /// Passes a connection on to it, with the bytes that were read there and not used; `false` if it did not take it.
    fn send_connection(&mut self, stream: &Stream, unused: &[u8]) -> bool;
}

/// Where the next process finds this one.
pub(super) trait HandoverListener {
    /// Lets the next process find this one.
    fn publish(&mut self, net: &mut Net);

    /// A newer process that has come, if there is one. `has_newer`: one has come before and still runs.
    fn accept_newer(&mut self, has_newer: bool, net: &mut Net) -> Option<Box<dyn Sibling>>;

    /// Whether a newer process may wait that could not be accepted.
    fn missed_newer(&self) -> bool;

    /// Removes what [`HandoverListener::publish`] has set up.
    fn close(&mut self);
}

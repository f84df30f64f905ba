//! The kinds of queues that a server has, with the maximum number of connections of each.

/// Maximum number of connections to one server for reads, including silent ones.
const MAX_READ_CONNECTIONS: usize = 6;
/// Maximum number of connections to one server for writes, including silent ones.
const MAX_WRITE_CONNECTIONS: usize = 8;

/// The kind of a queue. Each queue of a server has its own connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueueKind {
    /// Requests that may be sent again. They share connections.
    Reads,
    /// Requests that must not be sent twice. Each takes a connection of its own until the queue has its
    /// maximum number of connections.
    Writes,
}

impl QueueKind {
    /// Both kinds, in the order in which their queues are dispatched.
    pub(super) const ALL: [QueueKind; 2] = [QueueKind::Reads, QueueKind::Writes];

    /// Returns the maximum number of connections to one server for a queue of this kind.
    pub(super) fn max_connections(self) -> usize {
        match self {
            QueueKind::Reads => MAX_READ_CONNECTIONS,
            QueueKind::Writes => MAX_WRITE_CONNECTIONS,
        }
    }
}

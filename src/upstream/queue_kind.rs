//! The two queues of a server, and how many connections each may have.

/// The most connections to one server for its reads, silent ones included.
const MAX_READ_CONNECTIONS: usize = 6;
/// The most connections to one server for its writes, silent ones included.
const MAX_WRITE_CONNECTIONS: usize = 8;

/// The two queues of a server. Reads and writes have connections of their own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueueKind {
    /// Requests that may be sent again; they share connections.
    Reads,
    /// Requests that must not be sent twice; each takes a connection of its own while there can be one more.
    Writes,
}

impl QueueKind {
    /// Both, in the order in which they are dispatched.
    pub(super) const ALL: [QueueKind; 2] = [QueueKind::Reads, QueueKind::Writes];

    /// The most connections to one server for this queue.
    pub(super) fn max_connections(self) -> usize {
        match self {
            QueueKind::Reads => MAX_READ_CONNECTIONS,
            QueueKind::Writes => MAX_WRITE_CONNECTIONS,
        }
    }
}

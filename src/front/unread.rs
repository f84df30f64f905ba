//! The connections of a front that may have more to read, although no readiness event announces it.

use crate::net::{ConnectionKey, ReadQueue};

/// A front's connections that wait to be read again.
#[derive(Default)]
pub(super) struct UnreadConnections {
    /// Connections that can be read at any time.
    readable: ReadQueue,
    /// Connections whose input has no memory left.
    waiting_for_memory: ReadQueue,
}

impl UnreadConnections {
    /// Queues a connection that can be read at any time.
    pub fn push(&mut self, conn: ConnectionKey) {
        self.readable.push(conn);
    }

    /// Queues a connection that can be read once its input has memory.
    pub fn push_waiting_for_memory(&mut self, conn: ConnectionKey) {
        self.waiting_for_memory.push(conn);
    }

    /// Whether connections wait for memory.
    pub fn needs_memory(&self) -> bool {
        !self.waiting_for_memory.is_empty()
    }

    /// Makes connections that waited for memory readable, as many as find room for a request of `longest`
    /// bytes in `free` bytes.
    pub fn resume(&mut self, mut free: usize, longest: usize) {
        while free >= longest {
            let Some(conn) = self.waiting_for_memory.pop() else { return };
            self.readable.push(conn);
            free -= longest;
        }
    }

    /// Removes and returns the first of the readable connections.
    pub fn pop(&mut self) -> Option<ConnectionKey> {
        self.readable.pop()
    }

    /// Whether a connection is queued as readable.
    pub fn contains(&self, conn: ConnectionKey) -> bool {
        self.readable.contains(conn)
    }

    /// Returns the number of readable connections.
    pub fn len(&self) -> usize {
        self.readable.len()
    }
}

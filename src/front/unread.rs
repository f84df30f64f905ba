//! The connections of a front that may have more to read, although no readiness event announces it.

use crate::net::{ConnectionKey, ReadQueue};

/// A front's connections that wait to be read again.
#[derive(Default)]
pub(super) struct UnreadConnections {
    /// Connections that can be read at any time.
    readable: ReadQueue,
    /// Connections whose input has no memory left.
    waiting_for_memory: MemoryQueue,
}

/// Connections that wait for memory. Those whose client has sent a complete message before come first, so that new
/// connections with incomplete messages cannot keep the memory from them.
#[derive(Default)]
struct MemoryQueue {
    established: ReadQueue,
    new: ReadQueue,
}

impl MemoryQueue {
    fn pop(&mut self) -> Option<ConnectionKey> {
        self.established.pop().or_else(|| self.new.pop())
    }
}

impl UnreadConnections {
    /// Queues a connection that can be read at any time.
    pub fn push(&mut self, conn: ConnectionKey) {
        self.readable.push(conn);
    }

    /// Queues a connection that can be read once its input has memory. `is_established` tells whether its client has
    /// sent a complete message before.
    pub fn push_waiting_for_memory(&mut self, conn: ConnectionKey, is_established: bool) {
        let waiting = &mut self.waiting_for_memory;
        if is_established {
            waiting.established.push(conn);
        } else {
            waiting.new.push(conn);
        }
    }

    /// Whether connections wait for memory.
    pub fn needs_memory(&self) -> bool {
        !self.waiting_for_memory.established.is_empty() || !self.waiting_for_memory.new.is_empty()
    }

    /// Whether a connection waits for memory.
    pub fn is_waiting_for_memory(&self, conn: ConnectionKey) -> bool {
        self.waiting_for_memory.established.contains(conn) || self.waiting_for_memory.new.contains(conn)
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

    /// Removes and returns all connections that wait for memory.
    pub fn take_waiting_for_memory(&mut self) -> Vec<ConnectionKey> {
        std::iter::from_fn(|| self.waiting_for_memory.pop()).collect()
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

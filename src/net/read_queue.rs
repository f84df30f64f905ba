//! Connections that wait to be read again without a readiness event.

use super::ConnectionKey;
use std::collections::{BTreeSet, VecDeque};

/// Connections that may have more to read, in the order in which they are read next. The poll reports only
/// new bytes, so a connection whose read stopped before its last byte must be queued here.
#[derive(Default)]
pub struct ReadQueue {
    order: VecDeque<ConnectionKey>,
    queued: BTreeSet<ConnectionKey>,
}

impl ReadQueue {
    /// Appends a connection, unless it is queued already.
    pub fn push(&mut self, conn: ConnectionKey) {
        if self.queued.insert(conn) {
            self.order.push_back(conn);
        }
    }

    /// Removes and returns the first connection, which may have been closed since it was queued.
    pub fn pop(&mut self) -> Option<ConnectionKey> {
        let conn = self.order.pop_front()?;
        self.queued.remove(&conn);
        Some(conn)
    }

    /// Whether a connection is queued.
    pub fn contains(&self, conn: ConnectionKey) -> bool {
        self.queued.contains(&conn)
    }

    /// Returns the number of queued connections.
    pub fn len(&self) -> usize {
        self.order.len()
    }

    /// Whether no connection is queued.
    pub fn is_empty(&self) -> bool {
        self.order.is_empty()
    }
}

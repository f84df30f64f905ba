//! Limits the time of one turn of the event loop, so that deadlines and signals are handled in time however
//! many connections have much to read. Reads that do not fit are queued for the next turns.

use super::Server;
use crate::interface::{Instant, Span};
use crate::net::{ConnectionKey, Ready};

/// Time after which the readiness events of a turn only queue their connections to be read.
const MAX_EVENT_TIME: Span = Span::from_millis(20);
/// Time after which no more queued connections are read in a turn.
const MAX_QUEUED_READ_TIME: Span = Span::from_millis(20);

/// A part of the server that queues connections to be read again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ReadSide {
    Thrift,
    Signed,
    Upstream,
}

impl ReadSide {
    const ALL: [ReadSide; 3] = [ReadSide::Thrift, ReadSide::Signed, ReadSide::Upstream];
}

impl Server {
    /// Handles the readiness events of a turn. Each is handled at once while there is time; after that,
    /// connections that only have something to read are queued.
    pub(super) fn handle_events(&mut self, ready: &mut Vec<Ready>) {
        let until = self.now + MAX_EVENT_TIME;
        for event in ready.drain(..) {
            self.handle_event(event, until);
            self.process_commands();
        }
    }

    fn handle_event(&mut self, event: Ready, until: Instant) {
        let is_late = self.clock.now() > until;
        if !(is_late && self.queue_read(event)) {
            self.on_ready(event);
        }
    }

    /// Queues a connection to be read in a later turn. Returns `false` for an event that must be handled at
    /// once: it does not belong to a client or server, or the peer has closed.
    fn queue_read(&mut self, event: Ready) -> bool {
        let Ready::Conn { key, read: true, write, closed: false } = event else { return false };
        if self.thrift.owns(key) {
            self.thrift.queue_read(self.now, key);
        } else if let Some(signed) = self.signed.as_mut().filter(|signed| signed.front.owns(key)) {
            signed.front.queue_read(key);
        } else if self.upstream.owns(key) {
            if write {
                self.on_ready(Ready::Conn { key, read: false, write, closed: false });
            }
            self.upstream.queue_read(key);
        } else {
            return false;
        }
        true
    }

    /// Reads once from each queued connection while there is time. The fronts and the upstream side take
    /// turns, so that none of them waits for all connections of another.
    pub(super) fn read_queued_connections(&mut self) {
        let until = self.clock.now() + MAX_QUEUED_READ_TIME;
        let mut left = ReadSide::ALL.map(|side| self.queued_reads(side));
        while left.iter().any(|left| *left > 0) && self.clock.now() <= until {
            for (side, left) in ReadSide::ALL.into_iter().zip(&mut left).filter(|(_, left)| **left > 0) {
                *left -= 1;
                if let Some(conn) = self.next_queued_read(side) {
                    self.on_ready(Ready::readable(conn));
                    self.process_commands();
                }
            }
        }
    }

    /// Returns the number of connections that wait to be read again.
    pub(super) fn queued_reads(&self, side: ReadSide) -> usize {
        match side {
            ReadSide::Thrift => self.thrift.connections_with_more_to_read(),
            ReadSide::Signed => {
                self.signed.as_ref().map_or(0, |signed| signed.front.connections_with_more_to_read())
            }
            ReadSide::Upstream => self.upstream.connections_with_more_to_read(),
        }
    }

    fn next_queued_read(&mut self, side: ReadSide) -> Option<ConnectionKey> {
        match side {
            ReadSide::Thrift => self.thrift.next_readable_connection(),
            ReadSide::Signed => self.signed.as_mut()?.front.next_readable_connection(),
            ReadSide::Upstream => self.upstream.next_readable_connection(),
        }
    }
}

#[cfg(test)]
mod tests;

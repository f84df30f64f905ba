//! Limits the time of one turn of the event loop, so that deadlines and signals are handled in time however
//! many connections have much to read. Reads that do not fit are queued for the next turns.

use super::Server;
use crate::interface::{Instant, Span};
use crate::net::Ready;

/// Time after which the readiness events of a turn only queue their connections to be read.
const MAX_EVENT_TIME: Span = Span::from_millis(20);
/// Time after which no more queued connections are read in a turn.
const MAX_QUEUED_READ_TIME: Span = Span::from_millis(20);

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
        let mut thrift = self.thrift.connections_with_more_to_read();
        let mut signed = self.signed_connections_with_more_to_read();
        let mut upstream = self.upstream.connections_with_more_to_read();
        while thrift + signed + upstream > 0 && self.clock.now() <= until {
            if thrift > 0 {
                thrift -= 1;
                let conn = self.thrift.next_readable_connection();
                self.read_queued(conn.map(Ready::readable));
            }
            if signed > 0 {
                signed -= 1;
                let front = self.signed.as_mut().map(|signed| &mut signed.front);
                let conn = front.and_then(|front| front.next_readable_connection());
                self.read_queued(conn.map(Ready::readable));
            }
            if upstream > 0 {
                upstream -= 1;
                let conn = self.upstream.next_readable_connection();
                self.read_queued(conn.map(Ready::readable));
            }
        }
    }

    fn read_queued(&mut self, event: Option<Ready>) {
        if let Some(event) = event {
            self.on_ready(event);
            self.process_commands();
        }
    }
}

#[cfg(test)]
mod tests;

//! The ends of connections.

use super::connection::Connection;
use super::poll::Poller;
use super::{ConnectionKey, Net, Reason, Stream, READ_CHUNK_BYTES};
use crate::interface::Instant;
use std::io;
use tracing::info;

/// The target of the log lines of connections that end.
const LOG_TARGET: &str = "dahliatrack::net";
/// The most bytes that a client may have sent unread as its connection is closed; more of them reset it.
const MAX_DISCARDED_BYTES: usize = 16 * READ_CHUNK_BYTES;

impl Net {
    /// Hands a connection over by `to`, with the bytes that were read there and not used; returns whether it succeeded.
    /// The connection then continues without this process.
    pub fn hand_over(
        &mut self,
        now: Instant,
        key: ConnectionKey,
        to: impl FnOnce(&Stream, &[u8]) -> bool,
    ) -> bool {
        let succeeded =
            self.connection(key).is_some_and(|connection| to(&connection.stream, &connection.input));
        if succeeded {
            self.close(now, key, Reason::HandedOver);
        }
        succeeded
    }

    /// Shuts the write side of a connection down.
    pub fn shutdown(&mut self, key: ConnectionKey) {
        if let Some(connection) = self.connection(key) {
            match &connection.stream {
                Stream::Tcp(stream) => drop(stream.shutdown(std::net::Shutdown::Write)), // a broken one ends anyway
                Stream::Virtual(stream) => stream.shutdown(),
            }
        }
    }

    /// Closes a connection, with its log line.
    pub fn close(&mut self, now: Instant, key: ConnectionKey, reason: Reason) {
        let is_client = self.connection(key).is_some_and(|connection| connection.role.is_client());
        // The process that a connection was handed over to reads what was sent there.
        if is_client && reason != Reason::HandedOver {
            self.discard_unread(key);
        }
        let Some(mut connection) = self.connections.remove(key.0) else { return };
        if let (Stream::Tcp(stream), Poller::Mio { poll, .. }) = (&mut connection.stream, &self.poller) {
            let _ = poll.registry().deregister(stream); // closing it ends the watch, too
        }
        self.counts.remove(connection.role);
        if is_client {
            self.closed.push(key);
        }
        self.held_bytes = self.held_bytes.saturating_sub(connection.held_bytes());
        log_end(now, key, reason, &connection);
    }

    /// Shuts a client's connection down and discards what it still sent, up to a bound. Closing over unread bytes would
    /// reset the connection, and with it answers that the client has not read yet.
    fn discard_unread(&mut self, key: ConnectionKey) {
        self.shutdown(key);
        let Some(connection) = self.connections.get_mut(key.0) else { return };
        let mut discarded = 0;
        while discarded < MAX_DISCARDED_BYTES {
            match connection.stream.read(&mut self.scratch) {
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Ok(0) | Err(_) => return,
                Ok(count) => discarded += count,
            }
        }
    }
}

fn log_end(now: Instant, key: ConnectionKey, reason: Reason, connection: &Connection) {
    let Connection { role, peer, read_bytes: read, written_bytes: wrote, .. } = connection;
    let (code, age_ms) = (reason.code(), (now - connection.opened_at).as_millis());
    info!(target: LOG_TARGET, conn = %key, ?role, %peer, end = %code, age_ms, read, wrote);
}

//! Hands over, shuts down and closes connections.

use super::connection::Connection;
use super::poll::Poller;
use super::{ConnectionKey, Net, Reason, Stream, READ_CHUNK_BYTES};
use crate::interface::Instant;
use std::io;
use tracing::info;

/// Log target of the lines for connections that end.
const LOG_TARGET: &str = "dahliatrack::net";
/// Maximum number of unread bytes from a client that are discarded before its connection is closed. If more
/// are unread, the system resets the connection.
const MAX_DISCARDED_BYTES: usize = 16 * READ_CHUNK_BYTES;

impl Net {
    /// Hands a connection over to another process. `to` sends it, with the bytes that were read and not
    /// processed yet, and returns whether it succeeded. If so, the connection is removed here, and the other
    /// process continues it.
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

    /// Shuts down the write side of a connection.
    pub fn shutdown(&mut self, key: ConnectionKey) {
        if let Some(connection) = self.connection(key) {
            match &connection.stream {
                // On failure the connection is broken and ends anyway.
                Stream::Tcp(stream) => drop(stream.shutdown(std::net::Shutdown::Write)),
                Stream::Virtual(stream) => stream.shutdown(),
            }
        }
    }

    /// Closes a connection and logs its end.
    pub fn close(&mut self, now: Instant, key: ConnectionKey, reason: Reason) {
        let is_client = self.connection(key).is_some_and(|connection| connection.role.is_client());
        // The other process reads the remaining bytes of a connection that was handed over.
        if is_client && reason != Reason::HandedOver {
            self.discard_unread(key);
        }
        let Some(mut connection) = self.connections.remove(key.0) else { return };
        if let (Stream::Tcp(stream), Poller::Mio { poll, .. }) = (&mut connection.stream, &self.poller) {
            let _ = poll.registry().deregister(stream); // closing the socket deregisters it, too
        }
        self.counts.remove(connection.role);
        if is_client {
            self.closed.push(key);
        }
        self.count_input(connection.role, connection.input.len(), 0);
        self.held_bytes = self.held_bytes.saturating_sub(connection.unwritten_bytes);
        log_end(now, key, reason, &connection);
    }

    /// Shuts down a client's connection and discards its unread bytes, at most [`MAX_DISCARDED_BYTES`].
    /// Closing a connection with unread bytes would reset it, and the client would lose answers that it has
    /// not read yet.
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

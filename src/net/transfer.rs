//! Reads from connections and writes to them through bounded buffers.

use super::connection::Connection;
use super::{ConnectionKey, Net, Reason, MIN_INPUT_BYTES, READ_CHUNK_BYTES};
use bytes::{Bytes, BytesMut};
use std::io::{self, IoSlice};

/// Maximum number of buffers that one system call writes.
const MAX_WRITE_SLICES: usize = 16;

/// The result of one call of [`Net::read`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReadProgress {
    /// Whether the input buffer is full. There may be more to read once some of it is processed.
    pub is_buffer_full: bool,
    /// Whether the input buffer could not be filled, since other connections hold too many bytes. There may
    /// be more to read, and no event announces it.
    pub is_memory_short: bool,
    /// Whether the peer has stopped writing and all its bytes were read.
    pub has_peer_ended: bool,
    /// Number of bytes that were read.
    pub bytes: usize,
}

/// The result of one call of [`Net::discard`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DiscardProgress {
    /// Number of bytes that were dropped.
    pub bytes: usize,
    /// Whether the peer has stopped writing and all its bytes were read.
    pub has_peer_ended: bool,
}

/// Why a call of [`Net::read`] stopped.
enum ReadStop {
    BufferFull,
    NothingLeft,
    PeerEnded,
}

impl Net {
    /// Reads until no more bytes are available or the input buffer holds `limit` bytes. From a client, less is
    /// read while the inputs of all clients together are at their limit.
    ///
    /// # Errors
    ///
    /// The connection is broken or closed.
    pub fn read(&mut self, key: ConnectionKey, limit: usize) -> Result<ReadProgress, Reason> {
        self.read_within(key, limit, usize::MAX)
    }

    /// Reads like [`Net::read`], but only into the memory that each connection has for itself, as if the inputs of all
    /// clients together were at their limit.
    ///
    /// # Errors
    ///
    /// The connection is broken or closed.
    pub fn read_without_sharing(&mut self, key: ConnectionKey, limit: usize) -> Result<ReadProgress, Reason> {
        self.read_within(key, limit, 0)
    }

    /// Reads like [`Net::read`], with at most `max_shared` bytes of the memory that clients share.
    fn read_within(
        &mut self,
        key: ConnectionKey,
        limit: usize,
        max_shared: usize,
    ) -> Result<ReadProgress, Reason> {
        let Some(connection) = self.connections.get_mut(key.0) else { return Err(Reason::PeerReset) };
        let (role, before) = (connection.role, connection.input.len());
        let free = self.limits.free_input(role, self.input_bytes.of(role)).min(max_shared);
        let allowed = limit.min(before.saturating_add(free).max(MIN_INPUT_BYTES));
        let stop = connection.fill_input(allowed, &mut self.scratch);
        let after = connection.input.len();
        self.count_input(role, before, after);
        stop.map(|stop| ReadProgress {
            is_buffer_full: matches!(stop, ReadStop::BufferFull) && allowed == limit,
            is_memory_short: matches!(stop, ReadStop::BufferFull) && allowed < limit,
            has_peer_ended: matches!(stop, ReadStop::PeerEnded),
            bytes: after - before,
        })
    }

    /// Reads and drops bytes until no more are available or `limit` of them were dropped. The input buffer is left as
    /// it is.
    ///
    /// # Errors
    ///
    /// The connection is broken or closed.
    pub fn discard(&mut self, key: ConnectionKey, limit: usize) -> Result<DiscardProgress, Reason> {
        let Some(connection) = self.connections.get_mut(key.0) else { return Err(Reason::PeerReset) };
        let mut progress = DiscardProgress { bytes: 0, has_peer_ended: false };
        while progress.bytes < limit && !progress.has_peer_ended {
            let capacity = (limit - progress.bytes).min(READ_CHUNK_BYTES);
            match connection.stream.read(&mut self.scratch[..capacity]) {
                Ok(0) => progress.has_peer_ended = true,
                Ok(count) => {
                    progress.bytes += count;
                    connection.read_bytes += count as u64;
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => break,
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => return Err(Reason::PeerReset),
            }
        }
        Ok(progress)
    }

    /// Whether the peer has stopped writing. Each call makes one successful read at most and discards its
    /// bytes.
    ///
    /// # Errors
    ///
    /// The connection is broken or closed.
    pub fn has_peer_ended(&mut self, key: ConnectionKey) -> Result<bool, Reason> {
        let Some(connection) = self.connections.get_mut(key.0) else { return Err(Reason::PeerReset) };
        loop {
            match connection.stream.read(&mut self.scratch) {
                Ok(count) => return Ok(count == 0),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(false),
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => return Err(Reason::PeerReset),
            }
        }
    }

    /// Calls `with` on the bytes that were read and are not processed yet, and returns its result; `None` if
    /// the connection is closed. `with` removes the bytes that it has processed.
    pub fn input<T>(&mut self, key: ConnectionKey, with: impl FnOnce(&mut BytesMut) -> T) -> Option<T> {
        let connection = self.connections.get_mut(key.0)?;
        let before = connection.input.len();
        let result = with(&mut connection.input);
        connection.shrink_input();
        let (role, after) = (connection.role, connection.input.len());
        self.count_input(role, before, after);
        Some(result)
    }

    /// Returns the number of bytes that were read and are not processed yet.
    pub fn unprocessed_bytes(&self, key: ConnectionKey) -> usize {
        self.connection(key).map_or(0, |connection| connection.input.len())
    }

    /// Returns the number of buffered bytes that wait to be written.
    pub fn unwritten_bytes(&self, key: ConnectionKey) -> usize {
        self.connection(key).map_or(0, |connection| connection.unwritten_bytes)
    }

    /// Returns the number of bytes that were written so far.
    pub fn written_bytes(&self, key: ConnectionKey) -> u64 {
        self.connection(key).map_or(0, |connection| connection.written_bytes)
    }

    /// Whether the system holds written bytes of a connection that it has not sent, since the peer reads slowly.
    /// `false` if that is not known.
    pub fn has_unsent_bytes(&self, key: ConnectionKey) -> bool {
        self.connection(key).is_some_and(|connection| connection.stream.has_unsent_bytes())
    }

    /// Writes as many bytes as the socket accepts now, and buffers the rest for [`Net::flush`].
    ///
    /// # Errors
    ///
    /// The connection is broken or closed.
    pub fn write(
        &mut self,
        key: ConnectionKey,
        parts: impl IntoIterator<Item = Bytes>,
    ) -> Result<(), Reason> {
        let Some(connection) = self.connections.get_mut(key.0) else { return Err(Reason::PeerReset) };
        self.held_bytes += connection.queue_output(parts);
        self.flush(key)
    }

    /// Writes like [`Net::write`], but buffers nothing if the socket accepts no byte now; returns `false` in
    /// that case. The connection must have no unwritten bytes, since they would be discarded.
    ///
    /// # Errors
    ///
    /// The connection is broken or closed.
    pub fn try_write(
        &mut self,
        key: ConnectionKey,
        parts: impl IntoIterator<Item = Bytes>,
    ) -> Result<bool, Reason> {
        let before = self.written_bytes(key);
        self.write(key, parts)?;
        let Some(connection) = self.connections.get_mut(key.0) else { return Err(Reason::PeerReset) };
        if connection.written_bytes > before {
            return Ok(true);
        }
        self.held_bytes = self.held_bytes.saturating_sub(connection.clear_output());
        Ok(false)
    }

    /// Writes as many of the buffered bytes as the socket accepts now.
    ///
    /// # Errors
    ///
    /// The connection is broken or closed.
    pub fn flush(&mut self, key: ConnectionKey) -> Result<(), Reason> {
        let Some(connection) = self.connections.get_mut(key.0) else { return Err(Reason::PeerReset) };
        let before = connection.unwritten_bytes;
        let result = connection.flush_output();
        self.held_bytes = self.held_bytes.saturating_sub(before - connection.unwritten_bytes);
        result
    }
}

impl Connection {
    /// Reads until no more bytes are available or the input buffer holds `limit` bytes.
    fn fill_input(&mut self, limit: usize, scratch: &mut [u8]) -> Result<ReadStop, Reason> {
        loop {
            let capacity = limit.saturating_sub(self.input.len()).min(READ_CHUNK_BYTES);
            if capacity == 0 {
                return Ok(ReadStop::BufferFull);
            }
            match self.stream.read(&mut scratch[..capacity]) {
                Ok(0) => return Ok(ReadStop::PeerEnded),
                Ok(count) => {
                    self.input.extend_from_slice(&scratch[..count]);
                    self.longest_input = self.longest_input.max(self.input.len());
                    self.read_bytes += count as u64;
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(ReadStop::NothingLeft),
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => return Err(Reason::PeerReset),
            }
        }
    }

    /// Writes the output until the socket accepts no more bytes.
    fn flush_output(&mut self) -> Result<(), Reason> {
        while !self.output.is_empty() {
            let slices: Vec<IoSlice> =
                self.output.iter().take(MAX_WRITE_SLICES).map(|part| IoSlice::new(part)).collect();
            match self.stream.write_vectored(&slices) {
                Ok(0) => return Err(Reason::PeerReset),
                Ok(count) => self.advance_output(count),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(()),
                // Not connected yet: the bytes are written once the connection is established.
                Err(error) if error.kind() == io::ErrorKind::NotConnected => return Ok(()),
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => return Err(Reason::PeerReset),
            }
        }
        Ok(())
    }
}

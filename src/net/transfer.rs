//! Reading from connections and writing to them, through bounded buffers.

use super::connection::Connection;
use super::{ConnectionKey, Net, Reason, READ_CHUNK_BYTES};
use bytes::{Bytes, BytesMut};
use std::io::{self, IoSlice};

/// The most buffers that one system call writes.
const MAX_WRITE_SLICES: usize = 16;

/// The result of one call of [`Net::read`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReadProgress {
    /// The buffer is full: there may be more to read once some of it is used.
    pub is_buffer_full: bool,
    /// The peer writes nothing more.
    pub has_peer_ended: bool,
    /// How many bytes were read.
    pub bytes: usize,
}

/// Where a call of [`Net::read`] stopped.
enum ReadStop {
    BufferFull,
    NothingLeft,
    PeerEnded,
}

impl Net {
    /// Reads until nothing is left or the buffer holds `limit` bytes.
    ///
    /// # Errors
    ///
    /// The connection broke.
    pub fn read(&mut self, key: ConnectionKey, limit: usize) -> Result<ReadProgress, Reason> {
        let Some(connection) = self.connections.get_mut(key.0) else { return Err(Reason::PeerReset) };
        let before = connection.input.len();
        let stop = connection.fill_input(limit, &mut self.scratch);
        let bytes = connection.input.len() - before;
        self.held_bytes += bytes;
        stop.map(|stop| ReadProgress {
            is_buffer_full: matches!(stop, ReadStop::BufferFull),
            has_peer_ended: matches!(stop, ReadStop::PeerEnded),
            bytes,
        })
    }

    /// Whether the peer writes nothing more; bytes that it still wrote are discarded, one call at a time.
    ///
    /// # Errors
    ///
    /// The connection broke.
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

    /// Lets `with` use the bytes that were read and not used yet.
    pub fn input<T>(&mut self, key: ConnectionKey, with: impl FnOnce(&mut BytesMut) -> T) -> Option<T> {
        let connection = self.connections.get_mut(key.0)?;
        let before = connection.input.len();
        let result = with(&mut connection.input);
        self.held_bytes = (self.held_bytes + connection.input.len()).saturating_sub(before);
        if connection.input.is_empty() {
            connection.input = BytesMut::new(); // an idle connection holds no memory
        }
        Some(result)
    }

    /// Bytes that wait to be written.
    pub fn unwritten_bytes(&self, key: ConnectionKey) -> usize {
        self.connection(key).map_or(0, |connection| connection.unwritten_bytes)
    }

    /// Bytes that were written so far.
    pub fn written_bytes(&self, key: ConnectionKey) -> u64 {
        self.connection(key).map_or(0, |connection| connection.written_bytes)
    }

    /// Writes as much as the socket takes now, and buffers the rest for [`Net::flush`].
    ///
    /// # Errors
    ///
    /// The connection broke.
    pub fn write(
        &mut self,
        key: ConnectionKey,
        parts: impl IntoIterator<Item = Bytes>,
    ) -> Result<(), Reason> {
        let Some(connection) = self.connections.get_mut(key.0) else { return Err(Reason::PeerReset) };
        self.held_bytes += connection.queue_output(parts);
        self.flush(key)
    }

    /// Writes to a connection without unwritten bytes. `false`: the socket takes no byte now, and nothing was buffered.
    ///
    /// # Errors
    ///
    /// The connection broke.
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

    /// Writes as much of the buffered bytes as the socket takes now.
    ///
    /// # Errors
    ///
    /// The connection broke.
    pub fn flush(&mut self, key: ConnectionKey) -> Result<(), Reason> {
        let Some(connection) = self.connections.get_mut(key.0) else { return Err(Reason::PeerReset) };
        let before = connection.unwritten_bytes;
        let result = connection.flush_output();
        self.held_bytes = self.held_bytes.saturating_sub(before - connection.unwritten_bytes);
        result
    }
}

impl Connection {
    /// Reads into the input until it holds `limit` bytes.
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
                    self.read_bytes += count as u64;
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(ReadStop::NothingLeft),
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => return Err(Reason::PeerReset),
            }
        }
    }

    /// Writes the output until the socket takes no more.
    fn flush_output(&mut self) -> Result<(), Reason> {
        while !self.output.is_empty() {
            let slices: Vec<IoSlice> =
                self.output.iter().take(MAX_WRITE_SLICES).map(|part| IoSlice::new(part)).collect();
            match self.stream.write_vectored(&slices) {
                Ok(0) => return Err(Reason::PeerReset),
                Ok(count) => self.advance_output(count),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(()),
                // Not up yet: the bytes are written once it is.
                Err(error) if error.kind() == io::ErrorKind::NotConnected => return Ok(()),
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => return Err(Reason::PeerReset),
            }
        }
        Ok(())
    }
}

//! The state of one connection, and its key.

use super::{Role, Stream};
use crate::interface::Instant;
use crate::slots::Key;
use bytes::{Buf, Bytes, BytesMut};
use std::collections::VecDeque;
use std::net::{IpAddr, SocketAddr};

/// Identifies a connection; a key is never reused for another connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionKey(pub(super) Key);

impl ConnectionKey {
    /// Returns the key as a number, which is at least 2^32.
    pub fn number(self) -> u64 {
        self.0.number()
    }

    /// Returns the key whose [`ConnectionKey::number`] is `number`.
    pub fn from_number(number: u64) -> Self {
        ConnectionKey(Key::from_number(number))
    }
}

impl std::fmt::Display for ConnectionKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        self.0.fmt(f)
    }
}

/// An open connection with its buffers.
pub(super) struct Connection {
    pub stream: Stream,
    pub role: Role,
    /// The peer's address and port, for the log.
    pub peer: String,
    pub address: IpAddr,
    pub opened_at: Instant,
    /// Bytes that were read from the socket and are not processed yet.
    pub input: BytesMut,
    /// The greatest length of the input since its buffer was allocated.
    pub longest_input: usize,
    /// Bytes that wait to be written to the socket.
    pub output: VecDeque<Bytes>,
    /// Total number of bytes in `output`.
    pub unwritten_bytes: usize,
    pub read_bytes: u64,
    pub written_bytes: u64,
}

impl Connection {
    /// Creates a connection with empty buffers.
    pub fn new(now: Instant, stream: Stream, role: Role, peer: SocketAddr) -> Self {
        Connection {
            stream,
            role,
            peer: peer.to_string(),
            address: peer.ip(),
            opened_at: now,
            input: BytesMut::new(),
            longest_input: 0,
            output: VecDeque::new(),
            unwritten_bytes: 0,
            read_bytes: 0,
            written_bytes: 0,
        }
    }

    /// Queues bytes for writing; returns the number of queued bytes.
    pub fn queue_output(&mut self, parts: impl IntoIterator<Item = Bytes>) -> usize {
        let before = self.unwritten_bytes;
        for part in parts.into_iter().filter(|part| !part.is_empty()) {
            self.unwritten_bytes += part.len();
            self.output.push_back(part);
        }
        self.unwritten_bytes - before
    }

    /// Removes the first `count` bytes of the output after they were written.
    pub fn advance_output(&mut self, count: usize) {
        self.written_bytes += count as u64;
        self.unwritten_bytes -= count;
        let mut left = count;
        while let Some(front) = self.output.front_mut().filter(|_| left > 0) {
            let part = left.min(front.len());
            left -= part;
            front.advance(part);
            if front.is_empty() {
                self.output.pop_front();
            }
        }
    }

    /// Discards the output; returns the number of discarded bytes.
    pub fn clear_output(&mut self) -> usize {
        self.output.clear();
        std::mem::take(&mut self.unwritten_bytes)
    }

    /// Frees the buffer of a client's input once most of the bytes that it has held are processed, since it
    /// keeps its size while any of it is in use. An empty input holds no memory.
    pub fn shrink_input(&mut self) {
        if self.input.is_empty() {
            self.input = BytesMut::new();
        } else if self.role.is_client() && self.input.len() <= self.longest_input / 2 {
            self.input = BytesMut::from(&self.input[..]);
        } else {
            return;
        }
        self.longest_input = self.input.len();
    }
}

//! Bytes are read from connections and written to them, through bounded buffers.

use super::{ConnectionKey, Net, Reason, CHUNK};
use bytes::{Bytes, BytesMut};
use std::io::{self, IoSlice};

/// Slices handed to one vectored write.
const SLICES: usize = 16;

/// What one call of [`Net::read`] left.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReadProgress {
    /// The buffer's limit was reached: call again once some of it is used.
    pub more: bool,
    /// The peer writes nothing more.
    pub end: bool,
    /// Bytes that were read.
    pub bytes: usize,
}

impl Net {
    /// Reads what has come until nothing is left or the buffer holds `limit` bytes.
    ///
    /// # Errors
    ///
    /// The connection broke.
    pub fn read(&mut self, key: ConnectionKey, limit: usize) -> Result<ReadProgress, Reason> {
        let Some(conn) = self.conns.get_mut(key) else { return Err(Reason::PeerReset) };
        let before = conn.input.len();
        let got = loop {
            let room = limit.saturating_sub(conn.input.len()).min(CHUNK);
            if room == 0 {
                break Ok((true, false));
            }
            match conn.stream.read(&mut self.scratch[..room]) {
                Ok(0) => break Ok((false, true)),
                Ok(n) => {
                    conn.input.extend_from_slice(&self.scratch[..n]);
                    conn.read += n as u64;
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => break Ok((false, false)),
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => break Err(Reason::PeerReset),
            }
        };
        let bytes = conn.input.len() - before;
        self.held += bytes;
        got.map(|(more, end)| ReadProgress { more, end, bytes })
    }

    /// Whether the peer writes nothing more; what it still wrote is dropped, a piece at a time.
    ///
    /// # Errors
    ///
    /// The connection broke.
    pub fn ended(&mut self, key: ConnectionKey) -> Result<bool, Reason> {
        let Some(conn) = self.conns.get_mut(key) else { return Err(Reason::PeerReset) };
        loop {
            match conn.stream.read(&mut self.scratch) {
                Ok(n) => return Ok(n == 0),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(false),
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => return Err(Reason::PeerReset),
            }
        }
    }

    /// The bytes that were read and not used yet, to be used by `with`.
    pub fn input<T>(&mut self, key: ConnectionKey, with: impl FnOnce(&mut BytesMut) -> T) -> Option<T> {
        let conn = self.conns.get_mut(key)?;
        let before = conn.input.len();
        let result = with(&mut conn.input);
        self.held = (self.held + conn.input.len()).saturating_sub(before);
        if conn.input.is_empty() {
            conn.input = BytesMut::new(); // an idle connection keeps no memory
        }
        Some(result)
    }

    /// Bytes that wait to be written.
    pub fn unwritten(&self, key: ConnectionKey) -> usize {
        self.conns.get(key).map_or(0, |conn| conn.out_bytes)
    }

    /// Bytes that have been written so far.
    pub fn wrote(&self, key: ConnectionKey) -> u64 {
        self.conns.get(key).map_or(0, |conn| conn.wrote)
    }

    /// Writes as much as the socket takes now and keeps the rest for [`Net::flush`].
    ///
    /// # Errors
    ///
    /// The connection broke.
    pub fn write(
        &mut self,
        key: ConnectionKey,
        parts: impl IntoIterator<Item = Bytes>,
    ) -> Result<(), Reason> {
        let Some(conn) = self.conns.get_mut(key) else { return Err(Reason::PeerReset) };
        for part in parts.into_iter().filter(|part| !part.is_empty()) {
            conn.out_bytes += part.len();
            self.held += part.len();
            conn.out.push_back(part);
        }
        self.flush(key)
    }

    /// Begins to write where nothing is left to be written; `false`: the socket takes no byte now, and
    /// nothing was kept.
    ///
    /// # Errors
    ///
    /// The connection broke.
    pub fn begin(
        &mut self,
        key: ConnectionKey,
        parts: impl IntoIterator<Item = Bytes>,
    ) -> Result<bool, Reason> {
        let before = self.wrote(key);
        self.write(key, parts)?;
        let Some(conn) = self.conns.get_mut(key) else { return Err(Reason::PeerReset) };
        if conn.wrote > before {
            return Ok(true);
        }
        self.held = self.held.saturating_sub(conn.out_bytes);
        conn.out.clear();
        conn.out_bytes = 0;
        Ok(false)
    }

    /// Goes on writing.
    ///
    /// # Errors
    ///
    /// The connection broke.
    pub fn flush(&mut self, key: ConnectionKey) -> Result<(), Reason> {
        let Some(conn) = self.conns.get_mut(key) else { return Err(Reason::PeerReset) };
        while !conn.out.is_empty() {
            let slices: Vec<IoSlice> = conn.out.iter().take(SLICES).map(|part| IoSlice::new(part)).collect();
            let mut n = match conn.stream.write_vectored(&slices) {
                Ok(0) => return Err(Reason::PeerReset),
                Ok(n) => n,
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(()),
                // Not up yet: the bytes go out once it is.
                Err(error) if error.kind() == io::ErrorKind::NotConnected => return Ok(()),
                Err(error) if error.kind() == io::ErrorKind::Interrupted => continue,
                Err(_) => return Err(Reason::PeerReset),
            };
            conn.wrote += n as u64;
            conn.out_bytes -= n;
            self.held = self.held.saturating_sub(n);
            while let Some(front) = conn.out.front_mut().filter(|_| n > 0) {
                let part = n.min(front.len());
                n -= part;
                let _ = front.split_to(part);
                if front.is_empty() {
                    conn.out.pop_front();
                }
            }
        }
        Ok(())
    }
}

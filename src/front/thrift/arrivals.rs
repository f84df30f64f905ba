//! Arrival times of input that is not consumed yet.

use crate::interface::Instant;
use std::collections::VecDeque;

/// Maximum number of arrivals that are told apart on one connection, so that a client which sends byte by byte does not
/// use up the memory.
const MAX_ARRIVALS: usize = 64;

/// Unconsumed bytes that arrived together.
struct Arrival {
    bytes: usize,
    at: Instant,
}

/// Arrival times of a connection's unconsumed input, the oldest first. They are needed since a request may
/// wait unread while its client's timeout runs.
#[derive(Default)]
pub(super) struct Arrivals(VecDeque<Arrival>);

impl Arrivals {
    /// Adds bytes that arrived at an instant. Beyond [`MAX_ARRIVALS`], they count as arrived with the ones before them.
    pub(super) fn add(&mut self, bytes: usize, at: Instant) {
        let is_full = self.0.len() >= MAX_ARRIVALS;
        match self.0.back_mut() {
            Some(last) if last.at == at || is_full => last.bytes += bytes,
            _ if bytes > 0 => self.0.push_back(Arrival { bytes, at }),
            _ => {}
        }
    }

    /// Removes the oldest bytes. Returns when the first of them arrived; `None` if there are none.
    pub(super) fn take(&mut self, mut bytes: usize) -> Option<Instant> {
        let at = self.0.front()?.at;
        while let Some(first) = self.0.front_mut().filter(|_| bytes > 0) {
            let part = bytes.min(first.bytes);
            bytes -= part;
            first.bytes -= part;
            if first.bytes == 0 {
                self.0.pop_front();
            }
        }
        Some(at)
    }

    /// Returns when the first of the bytes arrived; `None` if there are none.
    pub(super) fn oldest(&self) -> Option<Instant> {
        self.0.front().map(|first| first.at)
    }

    pub(super) fn clear(&mut self) {
        self.0.clear();
    }
}

#[cfg(test)]
mod tests;

//! When the bytes came that are not used yet.

use crate::interface::Instant;
use std::collections::VecDeque;

/// Unused bytes that came together.
struct Arrival {
    bytes: usize,
    at: Instant,
}

/// When the unused bytes of a connection came, the oldest first. A request may wait unread while its client's time-out
/// runs.
#[derive(Default)]
pub(super) struct Arrivals(VecDeque<Arrival>);

impl Arrivals {
    /// Adds bytes that came.
    pub(super) fn add(&mut self, bytes: usize, at: Instant) {
        match self.0.back_mut() {
            Some(last) if last.at == at => last.bytes += bytes,
            _ if bytes > 0 => self.0.push_back(Arrival { bytes, at }),
            _ => {}
        }
    }

    /// Uses the oldest bytes. Returns when the first of them came.
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

    /// Drops all.
    pub(super) fn clear(&mut self) {
        self.0.clear();
    }
}

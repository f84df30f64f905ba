//! The delivery of answers to clients that read slowly. The system may hold written bytes for long after the
//! last one was written. Until they are sent, the client is using its connection: if it were closed, the client
//! would lose these answers and the request that it sends next.

use crate::interface::{Instant, Span};
use crate::net::{ConnectionKey, Net};

/// The least number of bytes that a client reads in a second. A slower one may lose its answers.
const MIN_READ_BYTES_PER_SECOND: u64 = 32 * 1024;
/// Number of bytes that the system may hold of a connection.
const MAX_SYSTEM_BUFFER_BYTES: u64 = 4 * 1024 * 1024;
/// Microseconds per second.
const MICROS_PER_SECOND: u64 = 1_000_000;

/// The delivery of a connection's answers.
///
/// The system is asked at each [`Delivery::update`], and once more after something was written. It is not asked
/// each time, since that makes a connection with unsent bytes ready to be written.
pub(super) struct Delivery {
    /// Number of bytes that were written up to the last time that the system was asked.
    written_bytes: u64,
    /// When the slowest client has read all of them.
    read_by: Instant,
    /// Whether the system held some of them then, and the client had had too little time to read them.
    is_unsent: bool,
}

impl Delivery {
    /// Returns the state of a connection to which nothing was written.
    pub fn new(now: Instant) -> Self {
        Delivery { written_bytes: 0, read_by: now, is_unsent: false }
    }

    /// Returns the state of a connection to which another process may have written.
    pub fn adopted(now: Instant) -> Self {
        Delivery { read_by: now + reading_time(MAX_SYSTEM_BUFFER_BYTES), ..Self::new(now) }
    }

    /// Asks the system whether the client is still reading answers.
    pub fn update(&mut self, now: Instant, conn: ConnectionKey, net: &Net) {
        let written_bytes = net.written_bytes(conn);
        if written_bytes > self.written_bytes {
            self.read_by = self.read_by.max(now) + reading_time(written_bytes - self.written_bytes);
            self.written_bytes = written_bytes;
        }
        self.is_unsent = now < self.read_by && net.has_unsent_bytes(conn);
    }

    /// Whether the client is still reading answers, as of the last update or the last write.
    pub fn is_pending(&mut self, now: Instant, conn: ConnectionKey, net: &Net) -> bool {
        if net.written_bytes(conn) > self.written_bytes {
            self.update(now, conn, net);
        }
        self.was_pending(now)
    }

    /// Whether the client is still reading answers, as of the last update.
    pub fn was_pending(&self, now: Instant) -> bool {
        self.pending_until().is_some_and(|until| now < until)
    }

    /// Returns when the slowest client has read all answers, if the client was still reading them at the last update.
    pub fn pending_until(&self) -> Option<Instant> {
        self.is_unsent.then_some(self.read_by)
    }
}

/// Returns how long the slowest client needs to read this many bytes.
fn reading_time(bytes: u64) -> Span {
    Span::from_micros((bytes * MICROS_PER_SECOND / MIN_READ_BYTES_PER_SECOND) as i64)
}

//! Why a frame cannot be read.

/// Why a frame cannot be read.
#[derive(Debug, thiserror::Error)]
pub enum CodecError {
    /// The frame ends within a value.
    #[error("{wanted} bytes wanted at {at}, {left} left")]
    Truncated { wanted: usize, at: usize, left: usize },
    /// The header states fewer bytes than it has itself.
    #[error("a frame of {0} bytes is shorter than its header")]
    ShortFrame(usize),
    /// The frame is longer than its records.
    #[error("{0} bytes after the last record")]
    TrailingBytes(usize),
    /// A list states more entries than the frame can hold.
    #[error("a list of {entries} entries in {left} bytes")]
    ListTooLong { entries: usize, left: usize },
    /// A time is no number, or out of range.
    #[error("the time {0} is no time")]
    Time(f64),
    /// A record of an unknown kind.
    #[error("unknown event code {0}")]
    EventCode(u16),
    /// An unknown result of an attempt.
    #[error("unknown outcome {0}")]
    AttemptResult(u16),
    /// An unknown cache status.
    #[error("unknown note {0}")]
    CacheStatus(u32),
    /// An unknown kind of update of the endpoint list.
    #[error("unknown list kind {0}")]
    ListUpdate(u8),
    /// An unknown state of a server.
    #[error("unknown server state {0}")]
    ServerState(u8),
    /// A record that cannot be read.
    #[error("record {number} at byte {at} of the frame: {error}")]
    Record { number: u32, at: usize, error: Box<CodecError> },
}

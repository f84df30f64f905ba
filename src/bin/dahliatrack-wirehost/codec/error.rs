//! Errors of frames that cannot be parsed.

/// Error of a frame that cannot be parsed.
#[derive(Debug, thiserror::Error)]
pub enum CodecError {
    /// The frame ends within a value.
    #[error("{wanted} bytes wanted at {at}, {left} left")]
    Truncated { wanted: usize, at: usize, left: usize },
    /// The header states a frame length that is less than the header's own.
    #[error("a frame of {0} bytes is shorter than its header")]
    ShortFrame(usize),
    /// The frame has bytes after its last record.
    #[error("{0} bytes after the last record")]
    TrailingBytes(usize),
    /// A list states more entries than fit into the rest of the frame.
    #[error("a list of {entries} entries in {left} bytes")]
    ListTooLong { entries: usize, left: usize },
    /// A time is not a number, or is out of range.
    #[error("the time {0} is no time")]
    Time(f64),
    /// The code of a record's kind is unknown.
    #[error("unknown event code {0}")]
    EventCode(u16),
    /// The code of an attempt's result is unknown.
    #[error("unknown outcome {0}")]
    AttemptResult(u16),
    /// The code of a cache status is unknown.
    #[error("unknown note {0}")]
    CacheStatus(u32),
    /// The code of an endpoint list's kind of update is unknown.
    #[error("unknown list kind {0}")]
    ListUpdate(u8),
    /// The code of a server's state is unknown.
    #[error("unknown server state {0}")]
    ServerState(u8),
    /// A record cannot be parsed; `number` counts from 0, `at` is its first byte in the frame.
    #[error("record {number} at byte {at} of the frame: {error}")]
    Record { number: u32, at: usize, error: Box<CodecError> },
}

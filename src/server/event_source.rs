//! The event sources of the loop other than connections, and the numbers under which the poll reports them.

/// A source of events that is not a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum EventSource {
    ThriftListener,
    /// The signals that the process receives.
    Signals,
    SignedListener,
    AdminListener,
    /// The socket to which a newer process of this edge proxy connects.
    HandoverListener,
    /// The stream to the older process.
    OlderProcess,
    /// The stream to the newer process.
    NewerProcess,
}

impl EventSource {
    /// All sources, each at the index that is its number.
    const BY_NUMBER: [EventSource; 7] = [
        EventSource::ThriftListener,
        EventSource::Signals,
        EventSource::SignedListener,
        EventSource::AdminListener,
        EventSource::HandoverListener,
        EventSource::OlderProcess,
        EventSource::NewerProcess,
    ];

    /// Returns the number under which the poll reports this source.
    pub const fn number(self) -> usize {
        self as usize
    }

    /// Returns the source that the poll reports under a number.
    pub fn from_number(number: usize) -> Option<Self> {
        Self::BY_NUMBER.get(number).copied()
    }
}

#[cfg(test)]
mod tests;

//! What the event loop watches besides connections, and the poll's numbers for it.

/// A source of events that is no connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum EventSource {
    /// The listener of the Thrift front.
    ThriftListener,
    /// The signals of the process.
    Signals,
    /// The listener of the signed front.
    SignedListener,
    /// The listener of the admin endpoint.
    AdminListener,
    /// The socket on which a newer process of this edge proxy connects.
    HandoverListener,
    /// The stream to the older process.
    OlderProcess,
    /// The stream to the newer process.
    NewerProcess,
}

impl EventSource {
    /// All sources, each at its number.
    const BY_NUMBER: [EventSource; 7] = [
        EventSource::ThriftListener,
        EventSource::Signals,
        EventSource::SignedListener,
        EventSource::AdminListener,
        EventSource::HandoverListener,
        EventSource::OlderProcess,
        EventSource::NewerProcess,
    ];

    /// The number under which the poll reports this source.
    pub const fn number(self) -> usize {
        self as usize
    }

    /// The source that the poll reports under a number.
    pub fn from_number(number: usize) -> Option<Self> {
        Self::BY_NUMBER.get(number).copied()
    }
}

#[cfg(test)]
mod tests;

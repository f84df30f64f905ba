//! The reasons for which connections end, with their codes for the log.

/// The reason why a connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// The peer closed the connection.
    PeerClosed,
    /// The peer reset the connection, or reading or writing failed with another error.
    PeerReset,
    /// The connect attempt failed.
    ConnectRefused,
    /// The connection was not established before its deadline.
    ConnectTimeout,
    /// The connection was idle for longer than its limit.
    Idle,
    /// The peer sent a message that can't be parsed.
    BadMessage,
    /// A message exceeds the maximum length.
    Oversize,
    /// The peer used the sequence number of an open request again.
    DuplicateSeqid,
    /// The peer does not read, or stopped sending within a message.
    Stalled,
    /// A message, request head or handshake was not complete before its deadline.
    HeadTimeout,
    /// The limit on the number of connections is reached.
    TooMany,
    /// The connection was closed to make room for another one.
    Evicted,
    /// The peer does not answer.
    Silent,
    /// The server was removed, or its address or process has changed.
    Replaced,
    /// The exchange on the connection is complete, and nothing more is to be sent.
    Done,
    /// The connection was handed over to another process of this edge proxy.
    HandedOver,
    /// The edge proxy is shutting down.
    Stopping,
    /// Admission rejected the connection: its calls were answered with a rejection, or it was closed before a
    /// byte was read. Also used for a federation member whose handshake was rejected.
    Rejected,
}

impl Reason {
    /// Returns the code for the log; programs that read the log match it.
    pub fn code(self) -> &'static str {
        match self {
            Reason::PeerClosed => "peer-closed",
            Reason::PeerReset => "peer-reset",
            Reason::ConnectRefused => "connect-refused",
            Reason::ConnectTimeout => "connect-timeout",
            Reason::Idle => "idle",
            Reason::BadMessage => "bad-message",
            Reason::Oversize => "oversize",
            Reason::DuplicateSeqid => "duplicate-seqid",
            Reason::Stalled => "stalled",
            Reason::HeadTimeout => "head-timeout",
            Reason::TooMany => "too-many",
            Reason::Evicted => "evicted",
            Reason::Silent => "silent",
            Reason::Replaced => "replaced",
            Reason::Done => "done",
            Reason::HandedOver => "handed-on",
            Reason::Stopping => "stopping",
            Reason::Rejected => "admission",
        }
    }
}

//! Why a connection ended, as a code for the log.

/// Why a connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// The peer closed it.
    PeerClosed,
    /// The peer reset it, or it broke by another error.
    PeerReset,
    /// Connecting failed.
    ConnectRefused,
    /// It did not come up in time.
    ConnectTimeout,
    /// It was idle for too long.
    Idle,
    /// The peer sent something that can't be parsed.
    BadMessage,
    /// A message is longer than allowed.
    Oversize,
    /// A sequence number came twice.
    DuplicateSeqid,
    /// The peer takes no bytes, or stopped within a message.
    Stalled,
    /// A request head was not complete in time.
    HeadTimeout,
    /// There are too many connections.
    TooMany,
    /// It was closed in favour of another.
    Evicted,
    /// The peer does not answer.
    Silent,
    /// The server was removed, or has another address or another process now.
    Replaced,
    /// Nothing more is to be sent.
    Done,
    /// It was handed over to another process of this edge proxy.
    HandedOver,
    /// The edge proxy shuts down.
    Stopping,
    /// Admission rejected it: its calls were answered with a rejection, or it was closed before a byte was read.
    Rejected,
}

impl Reason {
    /// The code for the log.
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

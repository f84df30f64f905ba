//! Why a connection ended, as a code for the log.

/// Why a connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// The peer closed it.
    PeerClosed,
    /// It broke.
    PeerReset,
    /// It never came up: refused.
    ConnectRefused,
    /// It never came up in time.
    ConnectTimeout,
    /// It was idle for too long.
    Idle,
    /// Its peer's bytes can't be read.
    BadMessage,
    /// A message is longer than allowed.
    Oversize,
    /// A sequence number came twice.
    DuplicateSeqid,
    /// Its peer takes no bytes.
    Stalled,
    /// A head was not whole in time.
    HeadTimeout,
    /// There are too many connections.
    TooMany,
    /// It made room for another.
    Evicted,
    /// Its peer is silent and nothing waits there any more.
    Silent,
    /// Its server is gone, or its address is another server's now.
    Replaced,
    /// All was said.
    Done,
    /// Another process of this edge proxy has it now.
    HandedOn,
    /// The edge proxy stops.
    Stopping,
    /// Admission refused it: its calls were answered with a refusal, or it was closed before a byte was read.
    Refused,
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
            Reason::HandedOn => "handed-on",
            Reason::Stopping => "stopping",
            Reason::Refused => "admission",
        }
    }
}

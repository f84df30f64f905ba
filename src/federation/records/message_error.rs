//! Protocol violations.

/// Why a message is ignored; no member that follows the protocol sends such a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum MessageError {
    /// The message is addressed to another member, or claims to come from this one.
    #[error("the message is addressed to another member, or claims to come from this one")]
    WrongAddress,
    /// The message's term is 0.
    #[error("the message has no term")]
    NoTerm,
    /// The message's index is the maximum and has no successor.
    #[error("the message's index is out of range")]
    IndexOutOfRange,
    /// The message has entries, but is not an append.
    #[error("the message has entries, but is not an append")]
    UnexpectedEntries,
    /// The message's entries have a gap, or their terms are out of order.
    #[error("the message's entries are out of order")]
    EntriesOutOfOrder,
    /// The snapshot message has no snapshot, or one without voters or of a later term than the message's.
    #[error("the message has no snapshot, or one without voters or of a later term")]
    IncompleteSnapshot,
    /// The message has a snapshot, but is not a snapshot message.
    #[error("the message has a snapshot, but is of another kind")]
    UnexpectedSnapshot,
    /// The heartbeat commits entries that this member has not received.
    #[error("the heartbeat's commit index is past the end of the log")]
    CommitsUnsent,
}

//! Protocol violations.

/// Why a message is ignored: no member that follows the protocol sends it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum MessageError {
    /// It is addressed to another member, or from this one.
    #[error("it is another member's")]
    WrongAddress,
    /// It has no term.
    #[error("no term")]
    NoTerm,
    /// Its index has no successor.
    #[error("an index out of range")]
    IndexOutOfRange,
    /// It is no append and has entries.
    #[error("entries where none belong")]
    UnexpectedEntries,
    /// Its entries do not follow each other.
    #[error("entries out of their order")]
    EntriesOutOfOrder,
    /// It is a snapshot message without a usable snapshot.
    #[error("a snapshot without a place or voters")]
    IncompleteSnapshot,
    /// It is no snapshot message and has a snapshot.
    #[error("a snapshot where none belongs")]
    UnexpectedSnapshot,
    /// It commits entries that this member was never sent.
    #[error("it commits what was not sent")]
    CommitsUnsent,
}

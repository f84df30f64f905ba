//! Why a message cannot be decoded.

/// Why a message cannot be decoded. Clients get the text with a protocol error.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DecodeError {
    /// The message is shorter than its contents say.
    #[error("a message ends early")]
    Truncated,
    /// A length is below zero.
    #[error("a negative length")]
    NegativeLength,
    /// A string has other bytes than UTF-8.
    #[error("a string is not UTF-8")]
    InvalidUtf8,
    /// The fields of a request are no map of strings to strings.
    #[error("a map is not of strings")]
    MapNotOfStrings,
    /// An unknown field has more levels than are read.
    #[error("a value nests too deep")]
    NestedTooDeep,
    /// A field has a type that the protocol does not know.
    #[error("an unknown type")]
    UnknownType,
    /// A request has no fields.
    #[error("no fields")]
    MissingFields,
    /// A cancellation does not say of what.
    #[error("no seqid")]
    MissingSequenceId,
    /// The message is not in the strict binary protocol.
    #[error("not the strict protocol")]
    NotStrictProtocol,
    /// The message is a reply or an exception.
    #[error("not a call")]
    NotACall,
}

//! Errors of decoding a message.

/// Why a message cannot be decoded. The text is sent to the client in an exception of type `ProtocolError`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DecodeError {
    /// The message is shorter than the lengths in it require.
    #[error("a message ends early")]
    Truncated,
    /// A length or a count is below zero.
    #[error("a negative length")]
    NegativeLength,
    /// A string is not valid UTF-8.
    #[error("a string is not UTF-8")]
    InvalidUtf8,
    /// The fields of a request are not a map of strings to strings.
    #[error("a map is not of strings")]
    MapNotOfStrings,
    /// The value of an unknown field has more nested levels than are read.
    #[error("a value nests too deep")]
    NestedTooDeep,
    /// A field has a type that the protocol does not define.
    #[error("an unknown type")]
    UnknownType,
    /// A request has no map of fields.
    #[error("no fields")]
    MissingFields,
    /// A cancellation has no sequence number of a request to cancel.
    #[error("no seqid")]
    MissingSequenceId,
    /// The message is not in the strict binary protocol.
    #[error("not the strict protocol")]
    NotStrictProtocol,
    /// The message is a reply or an exception instead of a call.
    #[error("not a call")]
    NotACall,
}

//! Constants of Thrift's binary protocol and of the Thrift service `Front`.

/// Size of the length that precedes a frame's message, in bytes.
pub const LENGTH_BYTES: usize = 4;

/// The version bits of the strict protocol, in a message's first word.
pub(super) const VERSION: u32 = 0x8001_0000;
/// The bits of the first word that hold the version.
pub(super) const VERSION_MASK: u32 = 0xffff_0000;
/// The bits of the first word that hold the message type.
pub(super) const MESSAGE_TYPE_MASK: u32 = 0xff;

/// The types of messages.
pub(super) mod message_type {
    pub const CALL: u32 = 1;
    pub const REPLY: u32 = 2;
    pub const EXCEPTION: u32 = 3;
    pub const ONEWAY: u32 = 4;
}

/// The types of values.
pub(super) mod field_type {
    /// The end of a struct.
    pub const STOP: u8 = 0;
    pub const BOOL: u8 = 2;
    pub const BYTE: u8 = 3;
    pub const DOUBLE: u8 = 4;
    pub const I16: u8 = 6;
    pub const I32: u8 = 8;
    pub const I64: u8 = 10;
    pub const STRING: u8 = 11;
    pub const STRUCT: u8 = 12;
    pub const MAP: u8 = 13;
    pub const SET: u8 = 14;
    pub const LIST: u8 = 15;
}

/// The names of the service's methods.
pub(super) mod method {
    pub const INVOKE: &str = "invoke";
    pub const ABORT: &str = "abort";
    pub const PING: &str = "ping";
}

/// The field numbers of the arguments.
pub(super) mod argument {
    /// The fields of `invoke`.
    pub const FIELDS: i16 = 1;
    /// The body of `invoke`.
    pub const BODY: i16 = 2;
    /// The sequence number of the request that `abort` cancels.
    pub const TARGET: i16 = 1;
}

/// The field numbers of a reply's result.
pub(super) mod result {
    /// `Answer`.
    pub const SUCCESS: i16 = 0;
    /// `Trylater`.
    pub const TRY_LATER: i16 = 1;
    /// `Aborted`.
    pub const ABORTED: i16 = 2;
}

/// The field numbers of `Answer`.
pub(super) mod answer {
    pub const BODY: i16 = 1;
    pub const FIELDS: i16 = 2;
    pub const GOOD: i16 = 3;
}

/// The field number of the fields of `Trylater` and `Aborted`.
pub(super) const REJECTION_FIELDS: i16 = 1;
/// The key in the fields of `Trylater` whose value is the Retry-After, in ms.
pub(super) const RETRY_AFTER_FIELD: &str = "pause";

/// The field numbers of an application exception.
pub(super) mod exception {
    pub const MESSAGE: i16 = 1;
    pub const KIND: i16 = 2;
}

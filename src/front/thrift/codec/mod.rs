//! Thrift's strict binary protocol, as far as the Thrift service `Front` needs it.
//!
//! - `reading`: decodes calls; `error`: errors of decoding.
//! - `writing`: encodes replies.
//! - `format`: the constants of the protocol and of the service.

mod error;
mod format;
mod reading;
mod writing;

pub use error::DecodeError;
pub use format::LENGTH_BYTES;
pub use reading::{decode_call, decode_call_start, Call, CallStart, Method};
pub use writing::{encode_reply, ExceptionKind, ThriftReply};

#[cfg(test)]
mod tests;

//! The binary frames of the wire: batches with events on the input, replies with actions on the output. All numbers
//! are little-endian.
//!
//! - `batch`: parses a batch's header and records.
//! - `event`: reads events; `endpoints`: reads the event of a changed endpoint list.
//! - `reply`: writes a reply with its actions.
//! - `codes`: the codes of record kinds and of values.
//! - `reader`: reads numbers, times and ids; `error`: the errors of all of them.

mod batch;
mod codes;
mod endpoints;
mod error;
mod event;
mod reader;
mod reply;

pub use batch::{BatchHeader, Incoming, Record, HEADER_BYTES};
pub use error::CodecError;
pub use reply::Reply;

/// Number of a router instance, chosen by the simulator.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct InstanceId(pub u32);

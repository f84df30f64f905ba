//! The binary frames of the wire: batches of events in, replies with actions out. All numbers are little-endian.
//!
//! - `batch`: a batch's header and records.
//! - `event`: the record of an event; `endpoints`: the endpoint list in it.
//! - `reply`: a reply and the records of its actions.
//! - `codes`: the numbers by which the wire names kinds of records and values.
//! - `reader`: numbers, times and ids; `error`: why bytes cannot be read.

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

/// The number of a router instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct InstanceId(pub u32);

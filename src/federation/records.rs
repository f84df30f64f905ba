//! The records that are sent to other members and stored on disk, as plain types for serde.
//!
//! The `raft` crate's own messages are protobuf 2, which must never parse a peer's bytes (unbounded recursion,
//! RUSTSEC-2024-0437). Records are encoded by position: the order of fields and variants is part of the format.
//!
//! - `hard_state`, `entry`, `snapshot`: what is stored.
//! - `message`, `message_kind`: what is sent; `message_error`: why a message is ignored.

mod entry;
mod hard_state;
mod message;
mod message_error;
mod message_kind;
mod snapshot;

pub use entry::{EntryKind, EntryRecord};
pub use hard_state::HardState;
pub use message::MessageRecord;
pub use message_error::MessageError;
pub use message_kind::MessageKind;
pub use snapshot::SnapshotRecord;

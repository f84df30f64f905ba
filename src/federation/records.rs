//! Serde types for what is sent to other members and stored on disk.
//!
//! The `raft` crate's own messages use protobuf 2, which must never parse bytes from a peer (unbounded
//! recursion, RUSTSEC-2024-0437). Records are encoded by position, so the order of fields and variants is
//! part of the format.
//!
//! - `hard_state`, `entry`, `snapshot`: stored records.
//! - `message`, `message_kind`: messages between members.
//! - `message_error`: reasons why a message is ignored.

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

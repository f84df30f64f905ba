//! Purges, which invalidate cached copies.

use super::{GroupId, ObjectId};

/// The objects whose cached copies a purge invalidates.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Purge {
    /// One object, with all its parts.
    Object(ObjectId),
    /// All objects of a group.
    Group(GroupId),
}

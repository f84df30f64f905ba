//! Purges: cached copies that are void.

use super::{GroupId, ObjectId};

/// What a purge names.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Purge {
    /// One object with all its parts.
    Object(ObjectId),
    /// All objects of a group.
    Group(GroupId),
}

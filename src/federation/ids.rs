//! Ids of members, terms and log indexes. Each has its own type, so that one cannot be passed for another.
//! They are encoded, printed and serialized as plain numbers.

use serde::{Deserialize, Serialize};
use std::fmt;

macro_rules! id_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl $name {
            /// Returns the id as a plain number.
            pub const fn get(self) -> u64 {
                self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                fmt::Display::fmt(&self.0, f)
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                fmt::Debug::fmt(&self.0, f)
            }
        }
    };
}

id_type! {
    /// The id of a member, from 1; it is never reused for another member.
    MemberId
}

id_type! {
    /// A Raft term; it has at most one leader.
    Term
}

id_type! {
    /// The index of a log entry, from 1.
    LogIndex
}

impl MemberId {
    /// Stands for no member, such as when no leader is known or no vote was given.
    pub const NONE: MemberId = MemberId(0);

    /// Whether this id is not [`MemberId::NONE`].
    pub fn is_some(self) -> bool {
        self != Self::NONE
    }
}

impl LogIndex {
    /// Returns the index of the following entry.
    pub const fn next(self) -> Self {
        LogIndex(self.0 + 1)
    }
}

/// The leader that a member knows, and that member's current term.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Leadership {
    /// The leader, or [`MemberId::NONE`].
    pub leader: MemberId,
    /// The current term, whether or not a leader is known.
    pub term: Term,
}

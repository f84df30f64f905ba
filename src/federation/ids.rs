//! The numbers that name members, terms and places in the log: each has a type of its own, so that none is taken for
//! another. They are encoded, printed and serialized as the bare numbers.

use serde::{Deserialize, Serialize};
use std::fmt;

macro_rules! id_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl $name {
            /// The bare number.
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
    /// A member's id, from 1; never used again for another member.
    MemberId
}

id_type! {
    /// A term of the consensus: it has one leader at most.
    Term
}

id_type! {
    /// The index of an entry of the log, from 1.
    LogIndex
}

impl MemberId {
    /// The id that stands for no member: no leader is known, or no vote was given.
    pub const NONE: MemberId = MemberId(0);

    /// Whether it names a member.
    pub fn is_some(self) -> bool {
        self != Self::NONE
    }
}

impl LogIndex {
    /// The index of the entry that follows.
    pub const fn next(self) -> Self {
        LogIndex(self.0 + 1)
    }
}

/// The leader as a member knows it, and the term.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Leadership {
    /// The leader, or [`MemberId::NONE`].
    pub leader: MemberId,
    /// The term.
    pub term: Term,
}

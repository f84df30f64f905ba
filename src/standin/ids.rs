//! The numbers by which a run names its hosts, clients and connections.

use serde::Serialize;
use std::fmt;

/// Defines a number of its own type that is printed and serialized as the bare number, as scripts of faults are.
macro_rules! define_id_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
        #[serde(transparent)]
        pub struct $name(pub usize);

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
                fmt::Debug::fmt(&self.0, f)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
                fmt::Display::fmt(&self.0, f)
            }
        }
    };
}

define_id_type! {
    /// A host's number in its fleet: caches first, then parents, then the origin.
    HostId
}

define_id_type! {
    /// A client's number in its run.
    ClientId
}

/// A connection's number, unique in its run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ConnectionId(pub u64);

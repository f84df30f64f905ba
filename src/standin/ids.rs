//! Identifiers of the hosts, clients and connections of a run.

use serde::Serialize;
use std::fmt;

/// Defines an id type around a number. It is printed and serialized as the bare number, since the faults of a
/// run are printed and serialized with it.
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
    /// Index of a host in its fleet: caches first, then parents, then the origin.
    HostId
}

define_id_type! {
    /// Index of a client in its run.
    ClientId
}

/// Number of a connection, unique within its run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ConnectionId(pub u64);

//! The digest of all events of a network. Equal runs have equal digests.

use crate::interface::Instant;
use std::collections::hash_map::DefaultHasher;
use std::hash::{Hash, Hasher};

/// Numbers of the kinds of entries. The digest includes them, so changing one changes the digest of every
/// run.
pub(super) mod entry_kind {
    pub const BYTES_AT_PROCESS: i32 = 1;
    pub const BYTES_AT_ACTOR: i32 = 2;
    pub const END_AT_PROCESS: i32 = 3;
    pub const END_AT_ACTOR: i32 = 4;
    pub const BREAK_AT_PROCESS: i32 = 5;
    pub const BREAK_AT_ACTOR: i32 = 6;
    pub const SOURCE_READY: i32 = 7;
    pub const CONNECT_COMPLETES: i32 = 8;
    pub const CLIENT_ARRIVES: i32 = 9;
    pub const HOST_BEHAVIOUR: i32 = 10;
    pub const PROCESS_ENDS: i32 = 11;
    pub const WALL_CLOCK_STEP: i32 = 12;
}

/// Summary of all events of a network so far.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TraceSummary {
    /// Digest of all entries.
    pub digest: u64,
    /// Number of entries.
    pub steps: u64,
}

/// Hashes the entries of a run in order.
#[derive(Default)]
pub(super) struct Trace {
    hasher: DefaultHasher,
    steps: u64,
}

impl Trace {
    /// Adds an entry.
    pub fn record(&mut self, now: Instant, what: impl Hash) {
        (now, what).hash(&mut self.hasher);
        self.steps += 1;
    }

    /// Returns the digest and the number of entries so far.
    pub fn summary(&self) -> TraceSummary {
        TraceSummary { digest: self.hasher.finish(), steps: self.steps }
    }
}

//! Counters of the service, for tests and measurements.

use std::sync::atomic::{AtomicU64, AtomicUsize};

/// Counters since the start of the service.
#[derive(Debug, Default)]
pub struct Metrics {
    /// Number of open streams.
    pub clients: AtomicUsize,
    /// Number of responses handed to connections.
    pub sent: AtomicU64,
    /// Number of responses that clients ACKed.
    pub acks: AtomicU64,
    /// Number of responses that clients NACKed.
    pub nacks: AtomicU64,
    /// Number of snapshots published because of a change.
    pub snapshots: AtomicU64,
}

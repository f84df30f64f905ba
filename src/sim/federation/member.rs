//! A member of the simulated federation, with its disk, its clock and its leases.

use super::disk::Disk;
use crate::federation::duties::{LeaseGrantor, LeaseHolder};
use crate::federation::node::Node;
use crate::interface::{Instant, Span};
use std::collections::BTreeSet;

/// A member of the federation.
pub(super) struct SimulatedMember {
    pub(super) disk: Disk,
    /// `None`: its process is not running.
    pub(super) node: Option<Node>,
    pub(super) incarnation: u64,
    pub(super) holder: LeaseHolder,
    pub(super) grantor: LeaseGrantor,
    /// The duties for which it seeks leases.
    pub(super) wanted_duties: BTreeSet<String>,
    /// The part by which its clock runs faster than the world's.
    pub(super) drift: f64,
    /// What its clock read at the world's zero.
    pub(super) clock_start: Instant,
    /// The world's time between its ticks.
    pub(super) tick: Span,
    /// It does nothing until then.
    pub(super) stalled_until: Instant,
    /// The number of the newest file that it has.
    pub(super) file: u64,
}

impl SimulatedMember {
    /// What its own clock reads at a time of the world's.
    pub(super) fn clock(&self, now: Instant) -> Instant {
        let elapsed = now - Instant::ZERO;
        self.clock_start + Span::from_micros_f64(elapsed.as_micros_f64() * (1.0 + self.drift))
    }

    /// The revision of the file that it has: files are numbered from 0, revisions from 1.
    pub(super) fn file_revision(&self) -> u64 {
        self.file + 1
    }
}

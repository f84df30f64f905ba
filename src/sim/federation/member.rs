//! State of a simulated member: its node, disk, clock and leases.

use super::disk::Disk;
use crate::federation::duties::{LeaseGrantor, LeaseHolder};
use crate::federation::node::Node;
use crate::interface::{Instant, Span};
use std::collections::BTreeSet;

/// A member of the simulated federation.
pub(super) struct SimulatedMember {
    pub(super) disk: Disk,
    /// The member's node; `None` while its process is not running.
    pub(super) node: Option<Node>,
    pub(super) incarnation: u64,
    pub(super) holder: LeaseHolder,
    pub(super) grantor: LeaseGrantor,
    /// Duties for which the member seeks leases.
    pub(super) wanted_duties: BTreeSet<String>,
    /// Fraction by which the member's clock runs faster than the virtual clock; negative if slower.
    pub(super) drift: f64,
    /// Time of the member's clock when the virtual clock is zero.
    pub(super) clock_start: Instant,
    /// Time between the member's ticks on the virtual clock.
    pub(super) tick: Span,
    /// Until when the member is stalled: it handles no ticks and messages before.
    pub(super) stalled_until: Instant,
    /// Number of the newest federation file that the member has.
    pub(super) file: u64,
}

impl SimulatedMember {
    /// Returns the time of the member's clock at a time of the virtual clock.
    pub(super) fn clock(&self, now: Instant) -> Instant {
        let elapsed = now - Instant::ZERO;
        self.clock_start + Span::from_micros_f64(elapsed.as_micros_f64() * (1.0 + self.drift))
    }

    /// Returns the revision of the member's file: files are numbered from 0, revisions from 1.
    pub(super) fn file_revision(&self) -> u64 {
        self.file + 1
    }
}

//! Faults of the machine on which the processes run.

use crate::interface::Instant;
use crate::sim::world::{numbered_address, World, FRONT};
use crate::standin::faults::system_error::SystemError;
use crate::standin::ids::ClientId;
use std::net::SocketAddr;

/// A time during which processes get no descriptors.
#[derive(Clone, Copy, Default)]
pub(in crate::sim::world) struct DescriptorShortage {
    pub(in crate::sim::world) since: Instant,
    pub(in crate::sim::world) until: Instant,
}

impl World<'_> {
    /// Connections come that are gone before they are accepted.
    pub(super) fn abort_dials(&mut self, error: SystemError, count: usize) {
        for number in 0..count {
            let from = SocketAddr::from(([127, 0, 3, 1], 40_000 + number as u16));
            self.fabric.dial_aborted(from, numbered_address(FRONT), error.errno());
        }
    }

    /// No process gets a descriptor until then: what connects meanwhile is accepted afterwards, and a feed that is cut
    /// off is polled again later.
    pub(super) fn exhaust_descriptors(&mut self, error: SystemError, until: Instant) {
        self.fabric.exhaust_descriptors(error.errno(), until);
        let shortage = &mut self.descriptor_shortage;
        if shortage.until < self.now {
            shortage.since = self.now;
        }
        shortage.until = until;
        if self.now < self.feed.cut_until {
            self.cut_feed(until);
        }
        for number in 0..self.clients.len() {
            self.delay_acceptance(ClientId(number));
        }
    }
}

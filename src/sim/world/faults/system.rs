//! Faults of the machine on which the processes run.

use crate::interface::Instant;
use crate::sim::world::{numbered_address, World, FRONT};
use crate::standin::faults::system_error::SystemError;
use crate::standin::ids::ClientId;
use std::net::SocketAddr;

/// Period in which processes get no descriptors.
#[derive(Clone, Copy, Default)]
pub(in crate::sim::world) struct DescriptorShortage {
    pub(in crate::sim::world) since: Instant,
    pub(in crate::sim::world) until: Instant,
}

impl World<'_> {
    /// Makes clients connect to the edge proxy and abort before they are accepted, so that accepts fail with
    /// the error.
    pub(super) fn abort_connects(&mut self, error: SystemError, count: usize) {
        for number in 0..count {
            let from = SocketAddr::from(([127, 0, 3, 1], 40_000 + number as u16));
            self.fabric.connect_aborted_client(from, numbered_address(FRONT), error.errno());
        }
    }

    /// Lets no process get a descriptor until a time. Clients that connect meanwhile are accepted afterwards,
    /// and a feed that is cut off is polled again only then.
    pub(super) fn exhaust_descriptors(&mut self, error: SystemError, until: Instant) {
        self.fabric.exhaust_descriptors(error.errno(), until);
        let shortage = &mut self.descriptor_shortage;
        if shortage.until < self.now {
            shortage.since = self.now;
        }
        shortage.until = until;
        if self.now < self.feed.unreachable_until {
            self.cut_feed(until);
        }
        for number in 0..self.clients.len() {
            self.delay_acceptance(ClientId(number));
        }
    }
}

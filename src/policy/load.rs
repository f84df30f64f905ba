//! The load at each server and its capacity: which server is too loaded for a request.

use super::{
    attempt::OpenRequest,
    server::{Server, LEAST_DEVIATION},
    timing::{MICROSECOND, SMOOTHING},
    Router,
};
use crate::interface::{AttemptOutcome, Instant, ServerId, Span};
use std::collections::BTreeMap;

/// Part of its objective that a request may be predicted to fill at a cache that has work already.
const OBJECTIVE_PART: f64 = 0.85;
/// Part of that for an object that this router has not seen of late: it likely needs a fill.
const UNKNOWN_OBJECT_PART: f64 = 0.7;
/// Own attempts in flight are smoothed over this long for each further router of the location: it sees fewer.
const MEMORY_PER_ROUTER: Span = Span::from_millis(250);
/// Most own and assumed attempts at a cache, over its link: past it even small requests wait too long.
const MOST_LOAD: f64 = 6.0;

impl Router {
    /// Whether a request is predicted to be late at a cache for what is there already.
    pub(super) fn is_overloaded(&self, now: Instant, server: ServerId, open: &OpenRequest) -> bool {
        let Some(to) = self.servers.get(&server) else { return true };
        let attempts = self.attempts_at(now, to);
        let is_capacity_known = self.settings.topology.weights_state_links || self.measured_link.is_some();
        let load = (attempts + 1.0) / self.capacity(now, to, self.median_deviation());
        attempts >= 1.0 && is_capacity_known && load > self.most_load(open)
    }

    /// Attempts at a server: the own ones, and those that the other routers are taken to have there.
    pub(super) fn attempts_at(&self, now: Instant, to: &Server) -> f64 {
        let other_routers = self.routers_sharing(self.is_cache(to.member.server)) - 1;
        f64::from(to.in_flight) + f64::from(other_routers) * to.smoothed_in_flight(now, self.load_memory())
    }

    /// How long own attempts in flight are smoothed over.
    pub(super) fn load_memory(&self) -> Span {
        MEMORY_PER_ROUTER * i64::from(self.routers_sharing(true) - 1)
    }

    /// The load at a server that a request is predicted to bear: its time grows with it, its objective not.
    fn most_load(&self, open: &OpenRequest) -> f64 {
        let class = self.class(&open.request);
        let sending = self.sending_time(&open.request).max(1.0);
        let part = OBJECTIVE_PART * if self.is_known(&open.request) { 1.0 } else { UNKNOWN_OBJECT_PART };
        (part * (class.latency_objective.as_micros_f64() + class.objective_stretch * sending) / sending)
            .clamp(1.0, MOST_LOAD)
    }

    /// What each server kept in mind, listed or gone with attempts still in flight, can be trusted with by
    /// now.
    pub fn capacities(&self, now: Instant) -> BTreeMap<ServerId, f64> {
        let median = self.median_deviation();
        self.servers.iter().map(|(id, server)| (*id, self.capacity(now, server, median))).collect()
    }

    /// What a cache can be trusted with: its link, less what warming up and a latency deviation beyond chance
    /// take of it.
    pub(super) fn capacity(&self, now: Instant, server: &Server, median_deviation: f64) -> f64 {
        let excess = server.latency_deviation - median_deviation;
        let excess = if excess > LEAST_DEVIATION { excess } else { 0.0 };
        self.link(server) * self.warmth(now, server) * (-excess).exp()
    }

    /// What a server's link bears in full-pace answers when it is warm: told, or measured over the caches.
    pub(super) fn link(&self, server: &Server) -> f64 {
        let per_weight = self.measured_link.filter(|_| !self.is_parent(server)).unwrap_or(1.0);
        server.member.weight.max(0.01) * per_weight
    }

    /// Takes in an answer: as many as are there, each at its part of full pace, are what the link carries
    /// (Little's law).
    pub(super) fn measure_link(&mut self, now: Instant, outcome: &AttemptOutcome, sending: f64, slack: f64) {
        let Some(server) = self.servers.get(&outcome.server) else { return };
        let per_weight = (self.attempts_at(now, server) + 1.0) / server.member.weight.max(0.01);
        let elapsed = outcome.elapsed.max(MICROSECOND).as_micros_f64();
        let link = self.measured_link.get_or_insert(per_weight * sending / elapsed);
        *link += SMOOTHING * (per_weight * sending - *link * elapsed) / elapsed.max(4.0 * slack);
    }

    /// The median latency deviation of the caches.
    pub(super) fn median_deviation(&self) -> f64 {
        let deviation = |cache: &ServerId| self.servers[cache].latency_deviation;
        let mut deviations: Vec<f64> = self.caches.iter().map(deviation).collect();
        deviations.sort_by(f64::total_cmp);
        deviations.get(deviations.len().saturating_sub(1) / 2).copied().unwrap_or(0.0)
    }

    /// Routers that may send to a server: those of its location, or all for what stands at a hub.
    pub(super) fn routers_sharing(&self, is_cache: bool) -> u32 {
        let of_location = self.settings.topology.routers_by_zone[usize::from(self.settings.topology.zone.0)];
        let routers = if is_cache { of_location } else { self.settings.topology.routers };
        routers.max(1)
    }
}

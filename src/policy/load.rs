//! The load at each server and its capacity: which server is too loaded for a request.

use super::{
    attempt::OpenRequest,
    server::{Server, MIN_DEVIATION},
    timing::{MICROSECOND, SMOOTHING},
    Router,
};
use crate::interface::{AttemptOutcome, Instant, ServerId, Span};
use std::collections::BTreeMap;

/// Share of its objective that a request may be predicted to take at a cache that is in use already.
const OBJECTIVE_SHARE: f64 = 0.85;
/// Share of that for an object that this router has not seen recently: it probably needs a fill.
const UNKNOWN_OBJECT_SHARE: f64 = 0.7;
/// Own attempts in flight are smoothed over this long for each further router of the location: it sees fewer.
const SMOOTHING_SPAN_PER_ROUTER: Span = Span::from_millis(250);
/// Maximum of own and assumed attempts at a cache, over its link: beyond it even small requests wait too
/// long.
const MAX_LOAD: f64 = 6.0;

impl Router {
    /// Whether a request is predicted to miss its objective at a cache because of the load there.
    pub(super) fn is_overloaded(&self, now: Instant, server: ServerId, open: &OpenRequest) -> bool {
        let Some(to) = self.servers.get(&server) else { return true };
        let attempts = self.attempts_at(now, to);
        let is_capacity_known =
            self.settings.topology.weights_state_links || self.measured_link_per_weight.is_some();
        let load = (attempts + 1.0) / self.capacity(now, to, self.median_deviation());
        attempts >= 1.0 && is_capacity_known && load > self.max_load(open)
    }

    /// Attempts at a server: the own ones, and those that the other routers are assumed to have there.
    pub(super) fn attempts_at(&self, now: Instant, to: &Server) -> f64 {
        let other_routers = self.routers_sharing(self.is_cache(to.endpoint.server)) - 1;
        f64::from(to.in_flight)
            + f64::from(other_routers) * to.smoothed_in_flight(now, self.load_smoothing_span())
    }

    /// The memory of the smoothed number of own attempts in flight.
    pub(super) fn load_smoothing_span(&self) -> Span {
        SMOOTHING_SPAN_PER_ROUTER * i64::from(self.routers_sharing(true) - 1)
    }

    /// The highest load at a server with which a request is predicted to meet its objective.
    fn max_load(&self, open: &OpenRequest) -> f64 {
        let class = self.class(&open.request);
        let transfer = self.transfer_time(&open.request).max(1.0);
        let share = OBJECTIVE_SHARE
            * if self.was_requested_before(&open.request) { 1.0 } else { UNKNOWN_OBJECT_SHARE };
        (share * (class.latency_objective.as_micros_f64() + class.objective_stretch * transfer) / transfer)
            .clamp(1.0, MAX_LOAD)
    }

    /// The capacity of each known server: the listed ones, and removed ones with attempts still in flight.
    pub fn capacities(&self, now: Instant) -> BTreeMap<ServerId, f64> {
        let median = self.median_deviation();
        self.servers.iter().map(|(id, server)| (*id, self.capacity(now, server, median))).collect()
    }

    /// A cache's capacity: its link, reduced by slow start and by a latency deviation beyond chance
    /// take of it.
    pub(super) fn capacity(&self, now: Instant, server: &Server, median_deviation: f64) -> f64 {
        let excess = server.latency_deviation - median_deviation;
        let excess = if excess > MIN_DEVIATION { excess } else { 0.0 };
        self.link_capacity(server) * self.capacity_share(now, server) * (-excess).exp()
    }

    /// The capacity of a server's link in transfers at top speed: stated, or measured over the caches.
    pub(super) fn link_capacity(&self, server: &Server) -> f64 {
        let per_weight = self.measured_link_per_weight.filter(|_| !self.is_parent(server)).unwrap_or(1.0);
        server.endpoint.weight.max(0.01) * per_weight
    }

    /// Records an answer: as many as are there, each at its part of top speed, are what the link carries
    /// (Little's law).
    pub(super) fn measure_link(&mut self, now: Instant, outcome: &AttemptOutcome, transfer: f64, slack: f64) {
        let Some(server) = self.servers.get(&outcome.server) else { return };
        let per_weight = (self.attempts_at(now, server) + 1.0) / server.endpoint.weight.max(0.01);
        let elapsed = outcome.elapsed.max(MICROSECOND).as_micros_f64();
        let link = self.measured_link_per_weight.get_or_insert(per_weight * transfer / elapsed);
        *link += SMOOTHING * (per_weight * transfer - *link * elapsed) / elapsed.max(4.0 * slack);
    }

    /// The median latency deviation of the caches.
    pub(super) fn median_deviation(&self) -> f64 {
        let deviation = |cache: &ServerId| self.servers[cache].latency_deviation;
        let mut deviations: Vec<f64> = self.caches.iter().map(deviation).collect();
        deviations.sort_by(f64::total_cmp);
        deviations.get(deviations.len().saturating_sub(1) / 2).copied().unwrap_or(0.0)
    }

    /// Routers that may send to a server: those of its location, or all routers for a server at a hub.
    pub(super) fn routers_sharing(&self, is_cache: bool) -> u32 {
        let of_location = self.settings.topology.routers_by_zone[usize::from(self.settings.topology.zone.0)];
        let routers = if is_cache { of_location } else { self.settings.topology.routers };
        routers.max(1)
    }
}

//! Load and capacity of servers: which server is overloaded for a request.

use super::{
    attempt::OpenRequest,
    server::{Server, MIN_DEVIATION},
    timing::{MICROSECOND, SMOOTHING},
    Router,
};
use crate::interface::{AttemptOutcome, Instant, ServerId, Span};
use std::collections::BTreeMap;

/// Share of its latency objective that a request may be predicted to take at a cache with other attempts.
const OBJECTIVE_SHARE: f64 = 0.85;
/// Factor on that share for an object that this router has not seen recently, which probably needs a fill.
const UNKNOWN_OBJECT_SHARE: f64 = 0.7;
/// Time over which own attempts in flight are smoothed, per further router of the location: with more
/// routers, each one sees fewer attempts.
const SMOOTHING_SPAN_PER_ROUTER: Span = Span::from_millis(250);
/// Maximum load of a cache: its own and assumed attempts over its capacity. Beyond it, even small requests
/// wait too long.
const MAX_LOAD: f64 = 6.0;

impl Router {
    /// Whether a request is predicted to miss its latency objective at a server because of the load there.
    pub(super) fn is_overloaded(&self, now: Instant, server: ServerId, open: &OpenRequest) -> bool {
        let Some(to) = self.servers.get(&server) else { return true };
        let attempts = self.attempts_at(now, to);
        let is_capacity_known =
            self.settings.topology.weights_state_links || self.measured_link_per_weight.is_some();
        let load = (attempts + 1.0) / self.capacity(now, to, self.median_deviation());
        attempts >= 1.0 && is_capacity_known && load > self.max_load(open)
    }

    /// Returns the number of attempts at a server: the own ones in flight, plus an estimate for the other
    /// routers, each of which is assumed to have as many as this one on average.
    pub(super) fn attempts_at(&self, now: Instant, to: &Server) -> f64 {
        let other_routers = self.routers_sharing(self.is_cache(to.endpoint.server)) - 1;
        f64::from(to.in_flight)
            + f64::from(other_routers) * to.smoothed_in_flight(now, self.load_smoothing_span())
    }

    /// Returns the time over which the number of own attempts in flight is smoothed.
    pub(super) fn load_smoothing_span(&self) -> Span {
        SMOOTHING_SPAN_PER_ROUTER * i64::from(self.routers_sharing(true) - 1)
    }

    /// Returns the highest load at which a request is predicted to meet its latency objective.
    fn max_load(&self, open: &OpenRequest) -> f64 {
        let class = self.class(&open.request);
        let transfer = self.transfer_time(&open.request).max(1.0);
        let share = OBJECTIVE_SHARE
            * if self.was_requested_before(&open.request) { 1.0 } else { UNKNOWN_OBJECT_SHARE };
        (share * (class.latency_objective.as_micros_f64() + class.objective_stretch * transfer) / transfer)
            .clamp(1.0, MAX_LOAD)
    }

    /// Returns the capacity of each known server: the listed ones, and removed ones with attempts still in
    /// flight.
    pub fn capacities(&self, now: Instant) -> BTreeMap<ServerId, f64> {
        let median = self.median_deviation();
        self.servers.iter().map(|(id, server)| (*id, self.capacity(now, server, median))).collect()
    }

    /// Returns a server's capacity: that of its link, reduced by slow start and by a latency deviation that
    /// exceeds the median by more than chance explains.
    pub(super) fn capacity(&self, now: Instant, server: &Server, median_deviation: f64) -> f64 {
        let excess = server.latency_deviation - median_deviation;
        let excess = if excess > MIN_DEVIATION { excess } else { 0.0 };
        self.link_capacity(server) * self.capacity_share(now, server) * (-excess).exp()
    }

    /// Returns the capacity of a server's link, in transfers at top speed: as stated by its weight, or as
    /// measured over all caches.
    pub(super) fn link_capacity(&self, server: &Server) -> f64 {
        let per_weight = self.measured_link_per_weight.filter(|_| !self.is_parent(server)).unwrap_or(1.0);
        server.endpoint.weight.max(0.01) * per_weight
    }

    /// Updates the measured link capacity with a served answer. By Little's law it is the number of attempts
    /// at the server times their share of top speed: transfer time at top speed over elapsed time.
    pub(super) fn measure_link(&mut self, now: Instant, outcome: &AttemptOutcome, transfer: f64, slack: f64) {
        let Some(server) = self.servers.get(&outcome.server) else { return };
        let per_weight = (self.attempts_at(now, server) + 1.0) / server.endpoint.weight.max(0.01);
        let elapsed = outcome.elapsed.max(MICROSECOND).as_micros_f64();
        let link = self.measured_link_per_weight.get_or_insert(per_weight * transfer / elapsed);
        *link += SMOOTHING * (per_weight * transfer - *link * elapsed) / elapsed.max(4.0 * slack);
    }

    /// Returns the median latency deviation of the ready caches.
    pub(super) fn median_deviation(&self) -> f64 {
        let deviation = |cache: &ServerId| self.servers[cache].latency_deviation;
        let mut deviations: Vec<f64> = self.caches.iter().map(deviation).collect();
        deviations.sort_by(f64::total_cmp);
        deviations.get(deviations.len().saturating_sub(1) / 2).copied().unwrap_or(0.0)
    }

    /// Returns the number of routers that may send to a server: those of its location for a cache, otherwise
    /// all.
    pub(super) fn routers_sharing(&self, is_cache: bool) -> u32 {
        let of_location = self.settings.topology.routers_by_zone[usize::from(self.settings.topology.zone.0)];
        let routers = if is_cache { of_location } else { self.settings.topology.routers };
        routers.max(1)
    }
}

//! Where a miss is filled from: a parent or the origin.

use super::{
    attempt::{Attempt, OpenRequest},
    popularity::object_key,
    rendezvous::rendezvous_score,
    server::Server,
    Router,
};
use crate::interface::{CacheStatusDetail, Instant, ServerId, Span};

/// A source's first byte drifts back to the usual over this long without news: then it is tried again.
const FIRST_BYTE_DECAY: Span = Span::from_secs(5);
/// The first of an object's two parents is left for the second while its wait is this many times as long.
const SWITCH_PARENT_RATIO: f64 = 2.0;
/// The usual first byte, as a part of a class's latency objective.
const USUAL_FIRST_BYTE_DIVISOR: f64 = 8.0;

impl Router {
    /// Where a miss is filled from: two parents by the object's hash, those of the hub first, and of them the
    /// first unless the other is clearly sooner. All routers draw the same two: not every parent fetches it.
    pub(super) fn fill_source(&self, now: Instant, open: &OpenRequest) -> Option<ServerId> {
        let usual = self.class(&open.request).latency_objective.as_micros_f64() / USUAL_FIRST_BYTE_DIVISOR;
        let first_byte = |server: &Server| expected_first_byte(now, server, usual);
        match self.parents_in_order(now, open)[..] {
            [] => self.origin,
            [first, second, ..] if first_byte(first) > SWITCH_PARENT_RATIO * first_byte(second) + usual => {
                Some(second.endpoint.server)
            }
            [first, ..] => Some(first.endpoint.server),
        }
    }

    /// The parents that may fill a request, those of the hub first, by the object's hash.
    fn parents_in_order(&self, now: Instant, open: &OpenRequest) -> Vec<&Server> {
        let object = object_key(&open.request);
        let score = |server: &Server| {
            rendezvous_score(
                object,
                server.endpoint.server,
                server.endpoint.weight * self.capacity_share(now, server),
            )
        };
        let mut parents = self.eligible_parents(now, open);
        parents.sort_by(|a, b| score(a).total_cmp(&score(b)));
        let hub = self.settings.topology.hub_by_zone.get(usize::from(self.settings.topology.zone.0));
        // A farther hub costs more bytes on links.
        parents.sort_by_key(|server| Some(&server.endpoint.zone) != hub);
        parents
    }

    /// The parents in their warm-up budgets that are neither ejected nor have failed the request.
    fn eligible_parents(&self, now: Instant, open: &OpenRequest) -> Vec<&Server> {
        let class = open.request.class;
        let in_budget = self.parents.iter().filter(|s| !self.is_warm_up_budget_spent(now, **s, class));
        let parents: Vec<&Server> = in_budget.map(|server| &self.servers[server]).collect();
        let has_ended = |a: &Attempt| a.replaced || !(a.in_flight || a.was_reset);
        let has_failed =
            |s: &Server| open.attempts.iter().any(|a| a.source == s.endpoint.server && has_ended(a));
        let is_good = |s: &&Server| {
            (!s.ejected || s.ejected_until <= now) && !has_failed(s) && self.is_reliable_for(s, open)
        };
        let good: Vec<&Server> = parents.iter().copied().filter(is_good).collect();
        // Without notes a slow origin looks like silent parents, and must not get more.
        if good.is_empty() && self.settings.limits.cache_status_detail == CacheStatusDetail::None {
            parents
        } else {
            good
        }
    }
}

/// The first byte that is expected of a source by now.
fn expected_first_byte(now: Instant, server: &Server, usual: f64) -> f64 {
    let weight = (-(now - server.first_byte_at).ratio(FIRST_BYTE_DECAY)).exp();
    usual + (server.first_byte.unwrap_or(usual) - usual) * weight
}

//! Where a miss is filled from: a parent or the origin.

use super::{
    attempt::{Attempt, OpenRequest},
    popularity::object_key,
    rendezvous::rendezvous_score,
    server::Server,
    Router,
};
use crate::interface::{CacheStatusDetail, Instant, ServerId, Span};

/// Time constant with which a source's expected first byte returns to the usual one while it fills nothing;
/// then it is tried again.
const FIRST_BYTE_DECAY: Span = Span::from_secs(5);
/// The second of an object's two parents is used if the first one's expected first byte exceeds this multiple
/// of the second one's, plus the usual first byte.
const SWITCH_PARENT_RATIO: f64 = 2.0;
/// The usual first byte is the latency objective of the class divided by this.
const USUAL_FIRST_BYTE_DIVISOR: f64 = 8.0;

impl Router {
    /// Returns the fill source of a miss: the first of the object's two parents, unless the second is
    /// expected to answer clearly sooner; the origin if no parent is eligible. The two are the first in
    /// rendezvous order, parents of the hub before others. All routers choose the same two, so that not every
    /// parent fetches the object.
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

    /// Returns the parents that may fill a request in rendezvous order, those of the hub first.
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
        // Fills from a farther hub use more bytes on links.
        parents.sort_by_key(|server| Some(&server.endpoint.zone) != hub);
        parents
    }

    /// Returns the parents that may fill a request: within their warm-up budgets, not ejected or due for a
    /// probe, reliable enough for the request, and not the source of an earlier attempt that ended otherwise
    /// than by a first broken connection.
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
        // Without a cache status, a slow origin looks like silent parents. All parents then stay eligible,
        // since the origin must not get more fetches.
        if good.is_empty() && self.settings.limits.cache_status_detail == CacheStatusDetail::None {
            parents
        } else {
            good
        }
    }
}

/// Returns the expected time to the first byte from a source, us.
fn expected_first_byte(now: Instant, server: &Server, usual: f64) -> f64 {
    let weight = (-(now - server.first_byte_at).ratio(FIRST_BYTE_DECAY)).exp();
    usual + (server.first_byte.unwrap_or(usual) - usual) * weight
}

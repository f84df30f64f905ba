//! The home of an object: the first usable cache of the own location in rendezvous order.

use super::{
    attempt::OpenRequest,
    popularity::{object_key, ObjectKey},
    rendezvous::rendezvous_score,
    server::{Server, UNRELIABLE_ERROR_RATE},
    Router,
};
use crate::interface::{Idempotency, Instant, RejectionReason, Request, ServerId};

impl Router {
    /// Returns the ready caches of the own location in rendezvous order, weighted by capacity; the object's
    /// home is the first.
    pub(super) fn hash_order(&self, now: Instant, object: ObjectKey) -> Vec<ServerId> {
        let median = self.median_deviation();
        // A cache that is due for a probe keeps its full share of objects, so that a request probes it soon.
        let reference = |s: &Server| if s.is_probe_due(now) { f64::INFINITY } else { median };
        let score =
            |s: &Server| rendezvous_score(object, s.endpoint.server, self.capacity(now, s, reference(s)));
        let mut order: Vec<_> = self.caches.iter().map(|id| (score(&self.servers[id]), *id)).collect();
        order.sort_by(|a, b| a.0.total_cmp(&b.0));
        order.into_iter().map(|(_, id)| id).collect()
    }

    /// Returns the cache that serves a request. If no cache is ready and the site allows direct requests,
    /// returns a parent or the origin; otherwise the reason to reject the request.
    pub(super) fn home_or_parent(
        &self,
        now: Instant,
        open: &OpenRequest,
        order: &[ServerId],
    ) -> Result<ServerId, RejectionReason> {
        let home = self.home(now, open, order);
        if let Some(home) = home.filter(|server| !self.is_overloaded(now, *server, open)) {
            return Ok(home);
        }
        if let Some(parent) = self.direct_source(now, open) {
            return Ok(parent);
        }
        let is_warming = |server: &ServerId| self.is_warm_up_budget_spent(now, *server, open.request.class);
        Err(match home {
            Some(_) => RejectionReason::Overloaded,
            None if order.iter().any(is_warming) => RejectionReason::SlowStart,
            None => RejectionReason::NoServer,
        })
    }

    /// Returns the first usable cache among those with the fewest failures of this request; at equal
    /// failures, reliable caches come first.
    fn home(&self, now: Instant, open: &OpenRequest, order: &[ServerId]) -> Option<ServerId> {
        let times_at_fault =
            |s: &ServerId| open.attempts.iter().filter(|a| a.server == *s && a.cache_at_fault).count();
        let fault_rank = |s: &ServerId| (times_at_fault(s), !self.is_reliable_for(&self.servers[s], open));
        order.iter().copied().filter(|server| self.is_usable(now, *server, open)).min_by_key(fault_rank)
    }

    /// Returns a parent or the origin, if the site allows direct requests and no cache is ready.
    fn direct_source(&self, now: Instant, open: &OpenRequest) -> Option<ServerId> {
        if !self.settings.limits.direct_to_source || !self.caches.is_empty() {
            return None;
        }
        self.fill_source(now, open)
            .filter(|server| !self.is_overloaded(now, *server, open) && self.may_send(now, open, *server))
    }

    /// Whether a request may be sent to a cache: it is not ejected, or due for a probe, and within its
    /// warm-up budget; and the request may be sent again.
    pub(super) fn is_usable(&self, now: Instant, server: ServerId, open: &OpenRequest) -> bool {
        let Some(to) = self.servers.get(&server) else { return false };
        // Only idempotent requests are used as probes: a request that must not run twice is lost if the probe
        // fails.
        let may_probe = self.class(&open.request).idempotency == Idempotency::Always && to.is_probe_due(now);
        (!to.ejected || may_probe)
            && self.may_send(now, open, server)
            && !self.is_warm_up_budget_spent(now, server, open.request.class)
    }

    /// Whether a server is reliable enough for a request. One that is not always idempotent is lost if it
    /// fails, so it needs a healthy server.
    pub(super) fn is_reliable_for(&self, server: &Server, open: &OpenRequest) -> bool {
        let is_healthy = !server.ejected && server.error_rate < UNRELIABLE_ERROR_RATE;
        self.class(&open.request).idempotency == Idempotency::Always || is_healthy
    }

    /// Whether this router counted an earlier request for the object recently.
    pub(super) fn was_requested_before(&self, request: &Request) -> bool {
        self.directory.get(object_key(request)).is_some_and(|entry| entry.count > 1)
    }
}

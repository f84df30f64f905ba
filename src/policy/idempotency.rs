//! Idempotency: which requests may be sent again, and which may be rejected as safe to retry.

use super::{
    attempt::{OpenRequest, PossibleRun},
    Router,
};
use crate::interface::{DedupScope, Idempotency, Instant, ServerId};

impl Router {
    /// Whether a request may be sent to a server now, given its attempts so far and the idempotency of its
    /// class.
    pub(super) fn may_send(&self, now: Instant, open: &OpenRequest, server: ServerId) -> bool {
        let class = self.class(&open.request);
        let in_flight = open.attempts.iter().find(|attempt| attempt.in_flight);
        if in_flight.is_some() && (!open.limits.parallel_attempts || open.streaming) {
            return false;
        }
        let in_flight = in_flight.map(|attempt| PossibleRun { sent: attempt.sent, server: attempt.server });
        let Some(first) = open.first_possible_run.into_iter().chain(in_flight).min() else { return true };
        match class.idempotency {
            Idempotency::Always => true,
            Idempotency::Never => false,
            Idempotency::WithKey => {
                self.are_in_dedup_scope(class.dedup_scope, first.server, server)
                    && now < first.sent + class.dedup_window
            }
        }
    }

    /// Whether two servers deduplicate each other's requests with an idempotency key.
    fn are_in_dedup_scope(&self, scope: DedupScope, first: ServerId, second: ServerId) -> bool {
        let (Some(first), Some(second)) = (self.servers.get(&first), self.servers.get(&second)) else {
            return false;
        };
        match scope {
            DedupScope::All => true,
            DedupScope::Zone => first.endpoint.zone == second.endpoint.zone,
            DedupScope::Cell => first.endpoint.cell == second.endpoint.cell,
        }
    }

    /// Whether a request may be rejected. A rejection promises the client that a retry is safe.
    pub(super) fn may_reject(&self, open: &OpenRequest) -> bool {
        let class = self.class(&open.request);
        let may_have_run = open.first_possible_run.is_some() || open.has_attempt_in_flight();
        !may_have_run
            || class.idempotency == Idempotency::Always
            || (class.idempotency == Idempotency::WithKey && class.dedup_scope == DedupScope::All)
    }
}

//! The end of an attempt: what is recorded of it, and whether its request is retried.

use super::{
    attempt::{Attempt, OpenRequest},
    timing::TICK_INTERVAL,
    Router,
};
use crate::interface::{Action, AttemptOutcome, AttemptResult, Instant, RejectionReason, Span};

/// After errors at this many caches the request itself is probably at fault, and is not retried.
const MAX_ERRORS: usize = 3;
/// Maximum time that a request waits for other fetches to end, as a share of its latency objective.
const FETCH_WAIT_OBJECTIVE_SHARE: f64 = 0.5;

impl Router {
    /// Records the end of an attempt, then ends, queues or retries its request.
    pub(super) fn on_attempt_ended(&mut self, now: Instant, outcome: AttemptOutcome, out: &mut Vec<Action>) {
        let detail = self.settings.limits.cache_status_detail;
        let Some(open) = self.open_requests.get_mut(&outcome.request) else { return };
        let request = open.request.clone();
        let Some(attempt) = open.end_attempt(&outcome, detail) else { return };
        let is_served = outcome.result == AttemptResult::Ok;
        let smoothing_span = self.load_smoothing_span();
        if let Some(server) = self.servers.get_mut(&attempt.server) {
            server.on_attempt_ended(now, smoothing_span);
        }
        self.fetch_limit.in_flight -= usize::from(attempt.is_fetch());
        self.measure(now, &outcome, &request, &attempt);
        if attempt.is_delegate {
            self.on_delegate_ended(now, &request, &attempt, is_served);
        }
        if is_served {
            self.attribute_failures(now, outcome.request, &attempt);
        }
        self.continue_request(now, &outcome, &attempt, out);
    }

    /// Ends, queues or retries the request of an ended attempt.
    fn continue_request(
        &mut self,
        now: Instant,
        outcome: &AttemptOutcome,
        attempt: &Attempt,
        out: &mut Vec<Action>,
    ) {
        let id = outcome.request;
        let open = &self.open_requests[&id];
        let is_miss = outcome.result == AttemptResult::Miss;
        if outcome.finished || open.finished || open.streaming {
            return self.finish(id, out);
        }
        if open.has_attempt_in_flight() {
            return; // the other attempt may still answer
        }
        if is_miss && attempt.waits_for_fetch && self.may_wait_for_fetch(now, open) {
            return self.fetch_limit.queue.push(id);
        }
        if open.attempts.iter().filter(|a| a.errored).count() >= MAX_ERRORS {
            return self.reject_or_fail(now, id, RejectionReason::AttemptsExhausted, out);
        }
        if is_miss && attempt.only_if_cached {
            return self.reject_or_fail(now, id, RejectionReason::FetchLimit, out);
        }
        let is_free = attempt.replaced || attempt.was_reset || (attempt.is_delegate && is_miss);
        if !is_free && !self.retry_budget.has_retry() {
            return self.reject_or_fail(now, id, RejectionReason::RetryBudget, out);
        }
        if !is_free {
            self.retry_budget.spend();
        }
        self.dispatch(now, id, out);
    }

    /// Whether a request may still wait for a fetch. The wait ends well before its deadline, since a tick may
    /// come a little late.
    pub(super) fn may_wait_for_fetch(&self, now: Instant, open: &OpenRequest) -> bool {
        let wait = Span::from_micros_f64(
            FETCH_WAIT_OBJECTIVE_SHARE * self.class(&open.request).latency_objective.as_micros_f64(),
        );
        now < open.arrived + wait.min(open.request.client_timeout - 2 * TICK_INTERVAL)
    }
}

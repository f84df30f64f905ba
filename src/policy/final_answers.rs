//! The end of a request: its final answer, and the cancellation of its attempts that are still in flight.

use super::{attempt::Attempt, Router};
use crate::interface::{Action, ClassId, Instant, RejectionReason, RequestId, Span};

/// Retry-After, as a share of the class's latency objective.
const RETRY_AFTER_OBJECTIVE_SHARE: f64 = 0.5;

impl Router {
    /// Ends a request for which no further attempt is possible: rejects it with a Retry-After, or fails it if
    /// it may have run and must not run again.
    pub(super) fn reject_or_fail(
        &mut self,
        now: Instant,
        id: RequestId,
        reason: RejectionReason,
        out: &mut Vec<Action>,
    ) {
        let Some(open) = self.open_requests.get(&id).filter(|open| !open.finished) else { return };
        if open.has_attempt_in_flight() && open.arrived + open.request.client_timeout > now {
            return; // the attempt in flight may still answer it
        }
        let retry_after = self.retry_after(open.request.class);
        out.push(match self.may_reject(open) {
            true => Action::Reject { request: id, retry_after, reason },
            false => Action::Fail(id),
        });
        self.finish(id, out);
    }

    /// Returns the Retry-After for rejected requests of a class; zero if clients get none.
    pub fn retry_after(&self, class: ClassId) -> Span {
        let class = self.settings.classes.get(usize::from(class.0));
        let target = class.map_or(Span::ZERO, |class| class.latency_objective);
        let limits = &self.settings.limits;
        let advice = Span::from_micros_f64(target.as_micros_f64() * RETRY_AFTER_OBJECTIVE_SHARE);
        advice.min(if limits.retry_after { limits.max_retry_after } else { Span::ZERO })
    }

    /// Records that a streamed answer has started.
    pub(super) fn on_first_byte(&mut self, id: RequestId) {
        self.open_requests.entry(id).and_modify(|open| open.streaming = true);
    }

    /// Ends a request and cancels its attempts in flight. It is kept until all of them have ended.
    pub(super) fn finish(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(open) = self.open_requests.get_mut(&id) else { return };
        if !open.finished {
            open.finished = true;
            let may_cancel = open.limits.cancellation && !open.streaming;
            let is_cancelled_already = |a: &Attempt| a.replaced && !open.limits.parallel_attempts;
            let is_to_cancel = |a: &Attempt| may_cancel && a.in_flight && !is_cancelled_already(a);
            for (number, _) in open.attempts.iter().enumerate().filter(|(_, a)| is_to_cancel(a)) {
                out.push(Action::Cancel { request: id, attempt: number as u8 });
            }
        }
        if !open.has_attempt_in_flight() {
            self.open_requests.remove(&id);
        }
    }
}

//! The end of a request: its final answer, and the cancelling of what is still in flight.

use super::{attempt::Attempt, Router};
use crate::interface::{Action, ClassId, Instant, RejectionReason, RequestId, Span};

/// Wait advised to a rejected client, as a part of its class's objective.
const RETRY_AFTER_PART: f64 = 0.5;

impl Router {
    /// The final answer to a request that nothing more is tried for: at once, with the time to come back.
    pub(super) fn give_up(
        &mut self,
        now: Instant,
        id: RequestId,
        why: RejectionReason,
        out: &mut Vec<Action>,
    ) {
        let Some(open) = self.open.get(&id).filter(|open| !open.finished) else { return };
        if open.has_attempt_in_flight() && open.arrived + open.request.client_timeout > now {
            return; // it may still be answered
        }
        let retry_after = self.advice(open.request.class);
        out.push(match self.may_reject(open) {
            true => Action::Reject { request: id, retry_after, reason: why },
            false => Action::Fail(id),
        });
        self.finish(id, out);
    }

    /// How long a client of the class should stay away that is rejected; 0: no advice.
    pub fn advice(&self, class: ClassId) -> Span {
        let class = self.settings.classes.get(usize::from(class.0));
        let target = class.map_or(Span::ZERO, |class| class.latency_objective);
        let limits = &self.settings.limits;
        let advice = Span::from_micros_f64(target.as_micros_f64() * RETRY_AFTER_PART);
        advice.min(if limits.retry_after { limits.max_retry_after } else { Span::ZERO })
    }

    /// Takes in that a streamed answer has started.
    pub(super) fn on_first_byte(&mut self, id: RequestId) {
        self.open.entry(id).and_modify(|open| open.streaming = true);
    }

    /// Ends a request: its other attempts are cancelled, and it is kept until they have ended.
    pub(super) fn finish(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(open) = self.open.get_mut(&id) else { return };
        if !open.finished {
            open.finished = true;
            let may_cancel = open.limits.cancellation && !open.streaming;
            let is_cancelled_already = |a: &Attempt| a.rescued && !open.limits.parallel_attempts;
            let is_to_cancel = |a: &Attempt| may_cancel && a.in_flight && !is_cancelled_already(a);
            for (number, _) in open.attempts.iter().enumerate().filter(|(_, a)| is_to_cancel(a)) {
                out.push(Action::Cancel { request: id, attempt: number as u8 });
            }
        }
        if !open.has_attempt_in_flight() {
            self.open.remove(&id);
        }
    }
}

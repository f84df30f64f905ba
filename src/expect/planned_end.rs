//! How an attempt ends in the world of an exploration.

use crate::interface::{AttemptResult, CacheStatus, Span};

/// The time to an answer without a fill.
pub(super) const ANSWER_TIME: Span = Span::from_millis(5);
/// The time to a fill's first byte.
pub(super) const FILL_TIME: Span = Span::from_millis(10);
/// The platform's usual `connect_timeout`.
pub(super) const CONNECT_TIMEOUT: Span = Span::from_millis(400);

/// How an attempt ends.
#[derive(Clone, Copy)]
pub(super) struct PlannedEnd {
    /// The time from its start to its end.
    pub(super) elapsed: Span,
    pub(super) result: AttemptResult,
    pub(super) cache_status: Option<CacheStatus>,
    /// The part of it that the fill source took.
    pub(super) fill_wait: Span,
}

impl PlannedEnd {
    pub(super) fn new(elapsed: Span, result: AttemptResult, cache_status: Option<CacheStatus>) -> Self {
        PlannedEnd { elapsed, result, cache_status, fill_wait: Span::ZERO }
    }

    /// Answered from a copy.
    pub(super) fn hit() -> Self {
        PlannedEnd::new(ANSWER_TIME, AttemptResult::Ok, Some(CacheStatus::Hit))
    }

    /// Answered after a fill, from the origin or from a copy.
    pub(super) fn filled(cache_status: CacheStatus, fill_wait: Span) -> Self {
        let elapsed = ANSWER_TIME + fill_wait;
        PlannedEnd { fill_wait, ..PlannedEnd::new(elapsed, AttemptResult::Ok, Some(cache_status)) }
    }

    /// The same, cut off by the attempt's time-out; zero: there is none.
    pub(super) fn limited_to(self, timeout: Span) -> Self {
        if timeout == Span::ZERO || self.elapsed < timeout {
            return self;
        }
        PlannedEnd { elapsed: timeout, result: AttemptResult::Timeout, ..self }
    }
}

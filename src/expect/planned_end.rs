//! How an attempt ends in an exploration, and the times that answers take in it.

use crate::interface::{AttemptResult, CacheStatus, Span};

/// Time from the start of an attempt to its answer, without a fill.
pub(super) const ANSWER_TIME: Span = Span::from_millis(5);
/// Time to a fill's first byte.
pub(super) const FILL_TIME: Span = Span::from_millis(10);
/// The platform's usual `connect_timeout`.
pub(super) const CONNECT_TIMEOUT: Span = Span::from_millis(400);

/// The result of an attempt, and when it ends.
#[derive(Clone, Copy)]
pub(super) struct PlannedEnd {
    /// Time from the start of the attempt to its end.
    pub(super) elapsed: Span,
    pub(super) result: AttemptResult,
    pub(super) cache_status: Option<CacheStatus>,
    /// The part of `elapsed` that the fill source took.
    pub(super) fill_wait: Span,
}

impl PlannedEnd {
    pub(super) fn new(elapsed: Span, result: AttemptResult, cache_status: Option<CacheStatus>) -> Self {
        PlannedEnd { elapsed, result, cache_status, fill_wait: Span::ZERO }
    }

    /// Returns the end of an attempt that is answered from a cached copy.
    pub(super) fn hit() -> Self {
        PlannedEnd::new(ANSWER_TIME, AttemptResult::Ok, Some(CacheStatus::Hit))
    }

    /// Returns the end of an attempt that is answered after a fill; `cache_status` states how it was filled.
    pub(super) fn filled(cache_status: CacheStatus, fill_wait: Span) -> Self {
        let elapsed = ANSWER_TIME + fill_wait;
        PlannedEnd { fill_wait, ..PlannedEnd::new(elapsed, AttemptResult::Ok, Some(cache_status)) }
    }

    /// Returns the same end, cut off by the attempt timeout. A timeout of zero means that there is none.
    pub(super) fn limited_to(self, timeout: Span) -> Self {
        if timeout == Span::ZERO || self.elapsed < timeout {
            return self;
        }
        PlannedEnd { elapsed: timeout, result: AttemptResult::Timeout, ..self }
    }
}

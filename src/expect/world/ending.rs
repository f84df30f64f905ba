//! How an attempt ends in the world of an exploration.

use crate::interface::{AttemptResult, CacheStatus, Span};

/// How long an attempt takes without a fill.
pub(super) const ANSWER_TIME: Span = Span::from_millis(5);

/// How an attempt ends.
#[derive(Clone, Copy)]
pub(super) struct AttemptEnding {
    /// How long after its start.
    pub(super) after: Span,
    pub(super) result: AttemptResult,
    pub(super) cache_status: Option<CacheStatus>,
    /// How long it fill_wait for the source of its fill.
    pub(super) fill_wait: Span,
}

impl AttemptEnding {
    pub(super) fn of(after: Span, result: AttemptResult, cache_status: Option<CacheStatus>) -> Self {
        AttemptEnding { after, result, cache_status, fill_wait: Span::ZERO }
    }

    /// The server had a copy.
    pub(super) fn hit() -> Self {
        AttemptEnding::of(ANSWER_TIME, AttemptResult::Ok, Some(CacheStatus::Hit))
    }

    /// The attempt was filled, from the origin or from a copy.
    pub(super) fn filled(cache_status: CacheStatus, fill_wait: Span) -> Self {
        AttemptEnding {
            fill_wait,
            ..AttemptEnding::of(ANSWER_TIME + fill_wait, AttemptResult::Ok, Some(cache_status))
        }
    }

    /// The same, cut off by the attempt's time-out; zero: there is none.
    pub(super) fn within(self, timeout: Span) -> Self {
        if timeout == Span::ZERO || self.after < timeout {
            return self;
        }
        AttemptEnding { after: timeout, result: AttemptResult::Timeout, ..self }
    }
}

//! Open requests and their attempts.

use crate::interface::{
    AttemptOutcome, AttemptResult, CacheStatus, CacheStatusDetail, Instant, Request, ServerId, SiteLimits,
};

/// How a fill failed when the fault may be either the cache's or its source's.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    Errored,
    Rejected,
}

/// An attempt at an open request.
#[derive(Clone, Default)]
pub struct Attempt {
    pub server: ServerId,
    /// Server that supplies a miss; equal to `server` if there is none.
    pub source: ServerId,
    pub sent: Instant,
    /// Whether the popular directory chose the server; then its source is the home cache.
    pub is_delegate: bool,
    /// Whether it may only be answered from what the cache or its source has cached.
    pub only_if_cached: bool,
    /// Whether `only_if_cached` is set only because the origin fetch limit is reached. After a miss, the
    /// request then waits for a fetch.
    pub waits_for_fetch: bool,
    pub in_flight: bool,
    /// Whether it was cancelled or hedged because it was overdue.
    pub replaced: bool,
    /// Whether the cache is at fault for how it ended. Retries use such a cache last.
    pub cache_at_fault: bool,
    /// Whether it ended with an error that is not stated to be a fill failure: an error of the cache, unless
    /// the request itself is the cause.
    pub errored: bool,
    /// Whether its connection broke. This is weak evidence against the cache and none against the source.
    pub was_reset: bool,
    /// Whether the origin failed behind its source. The request does not use the origin for fills again.
    pub origin_failed: bool,
    /// Set if a fill failed and the answer does not state whether the cache or its source is at fault.
    pub unattributed_failure: Option<Failure>,
}

impl Attempt {
    /// Whether a fill source was to supply a miss, other than the home of a delegate.
    pub fn is_fill(&self) -> bool {
        !self.is_delegate && self.source != self.server
    }

    /// Whether it counts as a fetch that may reach the origin.
    pub fn is_fetch(&self) -> bool {
        !self.only_if_cached && !self.is_delegate
    }

    /// Whether it failed in a way that may be the fault of its cache or its source.
    pub fn has_failed(&self) -> bool {
        self.errored || self.unattributed_failure.is_some()
    }
}

/// When and where a request may have run for the first time.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct PossibleRun {
    pub sent: Instant,
    pub server: ServerId,
}

/// A request from its arrival until its last attempt has ended.
pub struct OpenRequest {
    pub request: Request,
    /// Site limits at the time of its arrival; a reload does not change them.
    pub limits: SiteLimits,
    pub arrived: Instant,
    pub attempts: Vec<Attempt>,
    pub finished: bool,
    pub streaming: bool,
    pub first_possible_run: Option<PossibleRun>,
}

impl OpenRequest {
    pub fn new(now: Instant, request: Request, limits: SiteLimits) -> Self {
        OpenRequest {
            request,
            limits,
            arrived: now,
            attempts: Vec::new(),
            finished: false,
            streaming: false,
            first_possible_run: None,
        }
    }

    pub fn has_attempt_in_flight(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.in_flight)
    }

    /// Records the end of an attempt and returns its final state; `None` if the attempt is not in flight.
    pub fn end_attempt(&mut self, outcome: &AttemptOutcome, detail: CacheStatusDetail) -> Option<Attempt> {
        let number = usize::from(outcome.attempt);
        let was_reset = |a: &Attempt| a.server == outcome.server && a.was_reset;
        let reset_before = self.attempts.iter().take(number).any(was_reset);
        let ended = self.attempts.get(number).filter(|attempt| attempt.in_flight)?;
        let unattributed = unattributed_failure(detail, outcome, ended);
        let is_unattributed = |a: &Attempt| a.server == outcome.server && a.unattributed_failure.is_some();
        // The first failed fill at a cache is retried at the same cache from another source, which shows
        // which of the two is at fault.
        let retry_in_place = unattributed.is_some() && !self.attempts.iter().any(is_unattributed);
        let attempt = self.attempts.get_mut(number)?;
        attempt.in_flight = false;
        attempt.unattributed_failure = unattributed;
        let is_fill_failure = outcome.cache_status.is_some_and(CacheStatus::is_fill_failure);
        let was_cancelled = attempt.replaced && outcome.result == AttemptResult::Cancelled;
        attempt.origin_failed = outcome.cache_status == Some(CacheStatus::OriginFailed);
        // After the first broken connection the request is retried at the same cache, which has the copy;
        // after a second one it is not.
        attempt.was_reset = outcome.result == AttemptResult::Reset && !reset_before;
        attempt.errored = outcome.result == AttemptResult::Error && !is_fill_failure;
        let failed =
            !attempt.was_reset && outcome.result != AttemptResult::Ok && !is_fill_failure && !was_cancelled;
        attempt.cache_at_fault |= failed && !retry_in_place;
        let attempt = attempt.clone();
        if !outcome.result.never_ran()
            && self.first_possible_run.is_none_or(|first| attempt.sent < first.sent)
        {
            self.first_possible_run = Some(PossibleRun { sent: attempt.sent, server: attempt.server });
        }
        Some(attempt)
    }
}

/// Returns how a fill failed, if the site's answers do not state which of its two servers is at fault.
fn unattributed_failure(
    detail: CacheStatusDetail,
    outcome: &AttemptOutcome,
    attempt: &Attempt,
) -> Option<Failure> {
    if detail == CacheStatusDetail::Full || outcome.cache_status.is_some() || !attempt.is_fill() {
        return None;
    }
    match outcome.result {
        AttemptResult::Error => Some(Failure::Errored),
        AttemptResult::Rejected => Some(Failure::Rejected),
        _ => None,
    }
}

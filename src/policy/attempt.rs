//! Open requests and their attempts.

use crate::interface::{
    AttemptOutcome, AttemptResult, CacheStatus, CacheStatusDetail, Instant, Request, ServerId, SiteLimits,
};

/// How an attempt failed whose fault may be its cache's or its source's.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    Errored,
    Rejected,
}

/// An attempt of a request.
#[derive(Clone, Default)]
pub struct Attempt {
    pub server: ServerId,
    /// Who supplies a miss; the server itself: nobody.
    pub source: ServerId,
    pub sent: Instant,
    /// Sent by the popular directory, with the home as its source.
    pub is_delegate: bool,
    /// It is answered only from what the cache or its source has cached.
    pub only_if_cached: bool,
    /// So only because the fetch limit is reached: after a miss its request waits for a fetch.
    pub waits_for_fetch: bool,
    pub in_flight: bool,
    /// Cancelled or hedged because it was overdue.
    pub replaced: bool,
    /// The cache is at fault for how it ended, so it is asked again last.
    pub cache_at_fault: bool,
    /// It ended with an error of the cache's own, if it is not the request's.
    pub errored: bool,
    /// Its connection broke: that says little of the cache, and nothing of the source.
    pub was_reset: bool,
    /// The origin failed behind its source: this request does not use it for fills again.
    pub origin_failed: bool,
    /// It failed as a fill, and its answer does not tell whether at the cache or at its source.
    pub unattributed_failure: Option<Failure>,
}

impl Attempt {
    /// Whether a source was to supply a miss, other than the home of a delegate.
    pub fn is_fill(&self) -> bool {
        !self.is_delegate && self.source != self.server
    }

    /// Whether it counts as a fetch that may reach the origin.
    pub fn is_fetch(&self) -> bool {
        !self.only_if_cached && !self.is_delegate
    }

    /// Whether it failed in a way that may tell of its cache or its source.
    pub fn has_failed(&self) -> bool {
        self.errored || self.unattributed_failure.is_some()
    }
}

/// The first attempt of a request that may have run.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct PossibleRun {
    pub sent: Instant,
    pub server: ServerId,
}

/// A request from its arrival until its last attempt has ended.
pub struct OpenRequest {
    pub request: Request,
    /// The limits that held when it came.
    pub limits: SiteLimits,
    pub arrived: Instant,
    pub attempts: Vec<Attempt>,
    pub finished: bool,
    pub streaming: bool,
    pub first_possible_run: Option<PossibleRun>,
}

impl OpenRequest {
    /// A request that has just arrived.
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

    /// Whether an attempt is in flight.
    pub fn has_attempt_in_flight(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.in_flight)
    }

    /// Records the end of an attempt; gives the attempt as it stands then.
    pub fn end_attempt(&mut self, outcome: &AttemptOutcome, detail: CacheStatusDetail) -> Option<Attempt> {
        let number = usize::from(outcome.attempt);
        let was_reset = |a: &Attempt| a.server == outcome.server && a.was_reset;
        let reset_before = self.attempts.iter().take(number).any(was_reset);
        let ended = self.attempts.get(number).filter(|attempt| attempt.in_flight)?;
        let unattributed = unattributed_failure(detail, outcome, ended);
        let is_unattributed = |a: &Attempt| a.server == outcome.server && a.unattributed_failure.is_some();
        // The first failed fill at a cache is retried there, from another source: that tells which failed.
        let retry_in_place = unattributed.is_some() && !self.attempts.iter().any(is_unattributed);
        let attempt = self.attempts.get_mut(number)?;
        attempt.in_flight = false;
        attempt.unattributed_failure = unattributed;
        let is_fill_failure = outcome.cache_status.is_some_and(CacheStatus::is_fill_failure);
        let was_cancelled = attempt.replaced && outcome.result == AttemptResult::Cancelled;
        attempt.origin_failed = outcome.cache_status == Some(CacheStatus::OriginFailed);
        // An attempt that broke once is retried at the same cache, which has the copy; one that breaks again
        // is not.
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

/// How an attempt failed as a fill, where the site's answers do not tell which of its two servers failed.
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

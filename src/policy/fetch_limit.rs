//! The limit of concurrent fetches that reach the origin, and the queue of requests that wait for one.

use super::timing::SECOND;
use crate::{
    interface::{Instant, RequestId, Span},
    spread::mix,
};

/// Own fetches that may be in flight at first.
const INITIAL_LIMIT: f64 = 32.0;
/// Own fetches that may be in flight at most. More only wait for each other at the origin.
const MAX_LIMIT: f64 = 256.0;
/// How the limit changes with slow or failed fetches.
const DECREASE: LimitChange = LimitChange { rate_per_s: -3.0, max_elapsed: Span::from_millis(200) };
/// How it changes with others, up to its first value or while it binds.
const INCREASE: LimitChange = LimitChange { rate_per_s: 1.0, max_elapsed: SECOND };

/// A change of the limit's logarithm: its rate a second, and how long one fetch speaks for at most, so that
/// few fetches count as much as many.
struct LimitChange {
    rate_per_s: f64,
    max_elapsed: Span,
}

/// What the end of a fetch says about the origin.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum FetchSpeed {
    /// It failed or was slow.
    Slow,
    /// It came from the origin in good time.
    Fast,
    /// It may not have come from the origin.
    Unknown,
}

/// How many own fetches may be in flight.
pub struct FetchLimit {
    pub in_flight: usize,
    limit: f64,
    observed_at: Instant,
    /// The requests that wait for a fetch to end.
    pub queue: Vec<RequestId>,
}

impl FetchLimit {
    /// The limit before any fetch.
    pub fn new(now: Instant) -> Self {
        FetchLimit { in_flight: 0, limit: INITIAL_LIMIT, observed_at: now, queue: Vec::new() }
    }

    /// Whether a request may fetch. A limit under one is the part of requests that may fetch while none is in
    /// flight.
    pub fn admits(&self, request: RequestId) -> bool {
        let unit = mix(request.0 + 1) as f64 / u64::MAX as f64;
        self.in_flight as f64 + unit < self.limit
    }

    /// Takes the newest request that may fetch now out of the queue: it has the most time left.
    pub fn next_admitted(&mut self) -> Option<RequestId> {
        let newest = *self.queue.last()?;
        if self.admits(newest) {
            self.queue.pop()
        } else {
            None
        }
    }

    /// Moves the limit by the end of a fetch; it stays at least at `min_limit`.
    pub fn observe(&mut self, now: Instant, speed: FetchSpeed, min_limit: f64) {
        let in_flight = self.in_flight as f64;
        let is_slow = speed == FetchSpeed::Slow;
        // A limit that was not used says nothing: it falls from what was in flight (RFC 7661).
        let used = self.limit.min(if is_slow { in_flight + 1.0 } else { f64::MAX });
        let may_rise = speed == FetchSpeed::Fast && used < INITIAL_LIMIT.max(in_flight + 2.0);
        if is_slow || may_rise {
            let change = if is_slow { DECREASE } else { INCREASE };
            let elapsed = (now - self.observed_at).min(change.max_elapsed).as_micros_f64();
            let factor = (change.rate_per_s * elapsed / SECOND.as_micros_f64()).exp();
            self.limit = (used * factor).clamp(min_limit, MAX_LIMIT);
        }
        self.observed_at = now;
    }
}

//! The origin fetch limit: the limit of concurrent fetches that may reach the origin, and the queue of
//! requests that wait for one of them to end.

use super::timing::SECOND;
use crate::{
    interface::{Instant, RequestId, Span},
    splitmix64::mix,
};

/// Initial limit of the router's own fetches in flight.
const INITIAL_LIMIT: f64 = 32.0;
/// Maximum limit of the router's own fetches in flight. More would only wait for each other at the origin.
const MAX_LIMIT: f64 = 256.0;
/// Change of the limit after a slow or failed fetch.
const DECREASE: LimitChange = LimitChange { rate_per_s: -3.0, max_elapsed: Span::from_millis(200) };
/// Change of the limit after a fast fetch, while the limit is under its initial value or nearly reached.
const INCREASE: LimitChange = LimitChange { rate_per_s: 1.0, max_elapsed: SECOND };

/// An exponential change of the limit at the end of a fetch. It grows with the time since the previous fetch
/// ended, so that few fetches change the limit as much as many.
struct LimitChange {
    /// Change of the limit's natural logarithm per second.
    rate_per_s: f64,
    /// Maximum time since the previous fetch that counts.
    max_elapsed: Span,
}

/// What the end of a fetch shows about the origin.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum FetchSpeed {
    /// The fetch failed or was slow.
    Slow,
    /// The answer came from the origin in time.
    Fast,
    /// The answer may not have come from the origin.
    Unknown,
}

/// The limit of the router's own fetches in flight.
pub struct FetchLimit {
    pub in_flight: usize,
    limit: f64,
    observed_at: Instant,
    /// Requests that wait for a fetch to end, the oldest first.
    pub queue: Vec<RequestId>,
}

impl FetchLimit {
    pub fn new(now: Instant) -> Self {
        FetchLimit { in_flight: 0, limit: INITIAL_LIMIT, observed_at: now, queue: Vec::new() }
    }

    /// Whether a request may fetch. The fraction of the limit admits that share of requests, chosen by a hash
    /// of the request: a limit under one is the share that may fetch while none is in flight.
    pub fn admits(&self, request: RequestId) -> bool {
        let unit = mix(request.0 + 1) as f64 / u64::MAX as f64;
        self.in_flight as f64 + unit < self.limit
    }

    /// Removes the newest request from the queue and returns it, if it may fetch now. The newest has the most
    /// time left.
    pub fn next_admitted(&mut self) -> Option<RequestId> {
        let newest = *self.queue.last()?;
        if self.admits(newest) {
            self.queue.pop()
        } else {
            None
        }
    }

    /// Adjusts the limit after the end of a fetch; it stays at `min_limit` or above.
    pub fn observe(&mut self, now: Instant, speed: FetchSpeed, min_limit: f64) {
        let in_flight = self.in_flight as f64;
        let is_slow = speed == FetchSpeed::Slow;
        // A limit above the fetches in flight was not tested, so it falls from their number (RFC 7661).
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

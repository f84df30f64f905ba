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
const DECREASE: Step = Step { rate: -3.0, longest: Span::from_millis(200) };
/// How it changes with others, up to its first value or while it binds.
const INCREASE: Step = Step { rate: 1.0, longest: SECOND };

/// A change of the limit's logarithm: its rate a second, and how long one fetch speaks for at most, so that
/// few fetches count as much as many.
struct Step {
    rate: f64,
    longest: Span,
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
        let part = mix(request.0 + 1) as f64 / u64::MAX as f64;
        self.in_flight as f64 + part < self.limit
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

    /// Moves the limit by the end of a fetch; it stays at least at `least`.
    pub fn observe(&mut self, now: Instant, speed: FetchSpeed, least: f64) {
        let in_flight = self.in_flight as f64;
        let slow = speed == FetchSpeed::Slow;
        // A limit that was not used says nothing: it falls from what was in flight (RFC 7661).
        let used = self.limit.min(if slow { in_flight + 1.0 } else { f64::MAX });
        let may_rise = speed == FetchSpeed::Fast && used < INITIAL_LIMIT.max(in_flight + 2.0);
        if slow || may_rise {
            let step = if slow { DECREASE } else { INCREASE };
            let elapsed = (now - self.observed_at).min(step.longest).as_micros_f64();
            let factor = (step.rate * elapsed / SECOND.as_micros_f64()).exp();
            self.limit = (used * factor).clamp(least, MAX_LIMIT);
        }
        self.observed_at = now;
    }
}

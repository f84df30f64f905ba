//! A token bucket: one token a new connection, refilled at a rate up to a burst. Time is passed in.

use crate::interface::{Instant, Span};

const MICROS_PER_SEC: f64 = 1e6;

/// A bucket's level at an instant.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct TokenBucket {
    /// Tokens held, at most the burst.
    tokens: f64,
    /// When the tokens were counted.
    counted_at: Instant,
}

/// How fast a bucket fills, and how much it holds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rate {
    /// Tokens a second; 0 turns the limit off.
    pub per_s: f64,
    /// The most tokens held; at least 1 where there is a limit.
    pub burst: f64,
}

impl Rate {
    /// Whether there is a limit.
    pub fn is_limited(&self) -> bool {
        self.per_s > 0.0
    }
}

impl TokenBucket {
    /// A full bucket.
    pub(super) fn full(rate: Rate, now: Instant) -> Self {
        TokenBucket { tokens: rate.burst, counted_at: now }
    }

    fn refill(&mut self, rate: Rate, now: Instant) {
        let gained = now.saturating_since(self.counted_at).as_micros_f64() * rate.per_s / MICROS_PER_SEC;
        self.tokens = (self.tokens + gained).min(rate.burst);
        self.counted_at = self.counted_at.max(now);
    }

    /// Takes a token if there is one.
    pub(super) fn take(&mut self, rate: Rate, now: Instant) -> bool {
        self.refill(rate, now);
        let has_token = self.tokens >= 1.0;
        if has_token {
            self.tokens -= 1.0;
        }
        has_token
    }

    /// How long until a token can be taken; zero if one can now.
    pub(super) fn wait(&mut self, rate: Rate, now: Instant) -> Span {
        self.refill(rate, now);
        if self.tokens >= 1.0 || !rate.is_limited() {
            return Span::ZERO;
        }
        Span::from_micros_f64(((1.0 - self.tokens) * MICROS_PER_SEC / rate.per_s).ceil())
    }
}

//! A token bucket. Each new connection takes a token, and tokens are refilled at a rate up to a burst. The
//! caller passes the time.

use crate::interface::{Instant, Span};

const MICROS_PER_SEC: f64 = 1e6;

/// The number of tokens in a bucket at an instant.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct TokenBucket {
    /// Number of tokens, at most the burst.
    tokens: f64,
    /// Instant for which `tokens` was computed.
    counted_at: Instant,
}

/// The rate at which a bucket is refilled, and its size.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rate {
    /// Tokens per second; 0 means no limit.
    pub per_s: f64,
    /// Maximum number of tokens; at least 1 if there is a limit.
    pub burst: f64,
}

impl Rate {
    /// Whether the rate limits connections at all.
    pub fn is_limited(&self) -> bool {
        self.per_s > 0.0
    }
}

impl TokenBucket {
    /// Returns a full bucket.
    pub(super) fn full(rate: Rate, now: Instant) -> Self {
        TokenBucket { tokens: rate.burst, counted_at: now }
    }

    fn refill(&mut self, rate: Rate, now: Instant) {
        let gained = now.saturating_since(self.counted_at).as_micros_f64() * rate.per_s / MICROS_PER_SEC;
        self.tokens = (self.tokens + gained).min(rate.burst);
        self.counted_at = self.counted_at.max(now);
    }

    /// Takes a token if there is one. Returns whether a token was taken.
    pub(super) fn take(&mut self, rate: Rate, now: Instant) -> bool {
        self.refill(rate, now);
        let has_token = self.tokens >= 1.0;
        if has_token {
            self.tokens -= 1.0;
        }
        has_token
    }

    /// Returns the time until a token can be taken; zero if one can be taken now or there is no limit.
    pub(super) fn wait(&mut self, rate: Rate, now: Instant) -> Span {
        self.refill(rate, now);
        if self.tokens >= 1.0 || !rate.is_limited() {
            return Span::ZERO;
        }
        Span::from_micros_f64(((1.0 - self.tokens) * MICROS_PER_SEC / rate.per_s).ceil())
    }
}

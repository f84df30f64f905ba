//! A token bucket (RFC 2697's single-rate form, one bucket): `rate` tokens a second up to `burst`, one token a
//! new connection. Time is passed in.

use crate::interface::{Instant, Span};

/// One bucket's level at a moment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TokenBucket {
    /// Tokens held at `at`, at most the burst.
    tokens: f64,
    /// When `tokens` was counted.
    at: Instant,
}

/// What a bucket fills by: tokens a second, and the most it holds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rate {
    /// Tokens a second; 0 turns the limit off.
    pub per_s: f64,
    /// The most tokens held, at least 1 when the limit is on.
    pub burst: f64,
}

impl Rate {
    /// Whether this rate limits anything.
    pub fn is_on(&self) -> bool {
        self.per_s > 0.0
    }
}

impl TokenBucket {
    /// A full bucket at `now`.
    pub fn full(rate: Rate, now: Instant) -> Self {
        TokenBucket { tokens: rate.burst, at: now }
    }

    fn fill(&mut self, rate: Rate, now: Instant) {
        let gained = now.saturating_since(self.at).as_micros_f64() * rate.per_s / 1e6;
        self.tokens = (self.tokens + gained).min(rate.burst);
        self.at = self.at.max(now);
    }

    /// Takes a token if there is one.
    pub fn take(&mut self, rate: Rate, now: Instant) -> bool {
        self.fill(rate, now);
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            true
        } else {
            false
        }
    }

    /// How long until a token can be taken; 0 if one can now.
    pub fn wait(&mut self, rate: Rate, now: Instant) -> Span {
        self.fill(rate, now);
        if self.tokens >= 1.0 || !rate.is_on() {
            return Span::ZERO;
        }
        Span::from_micros_f64(((1.0 - self.tokens) * 1e6 / rate.per_s).ceil())
    }

    /// Whether the bucket is full at `now`: it then carries nothing that a new one would not, and may be forgotten.
    pub fn is_full(&mut self, rate: Rate, now: Instant) -> bool {
        self.fill(rate, now);
        self.tokens >= rate.burst
    }
}

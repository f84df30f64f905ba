//! Exponential backoff with jitter: the pause doubles from a minimum to a maximum, and half of it is random,
//! so that members that lost the same peer do not retry at the same time.

use crate::interface::Span;
use rand::Rng;

/// The retry state of one peer or store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Backoff {
    min: Span,
    max: Span,
    next: Span,
}

impl Backoff {
    /// Returns a backoff whose pauses double from `min` to `max`.
    pub fn new(min: Span, max: Span) -> Self {
        Backoff { min, max, next: min }
    }

    /// Resets the next pause to the minimum, after a success.
    pub fn reset(&mut self) {
        self.next = self.min;
    }

    /// Returns the pause before the next attempt, and doubles the one after it up to the maximum.
    pub fn next_pause(&mut self, random: &mut impl Rng) -> Span {
        let half = self.next / 2;
        let drawn = random.random_range(0..=(self.next - half).as_micros());
        let pause = half + Span::from_micros(drawn);
        self.next = (2 * self.next).min(self.max);
        pause
    }
}

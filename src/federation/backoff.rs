//! The pauses between retries: exponential backoff with jitter. The pause doubles from a least to a most, and half of it is
//! drawn at random, so that many who lost the same peer do not retry at once.

use crate::interface::Span;
use rand::Rng;

/// The pauses of one peer, or one store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Backoff {
    least: Span,
    most: Span,
    next: Span,
}

impl Backoff {
    /// Pauses between these.
    pub fn new(least: Span, most: Span) -> Self {
        Backoff { least, most, next: least }
    }

    /// After a success: the next pause is the least again.
    pub fn reset(&mut self) {
        self.next = self.least;
    }

    /// The pause before the next attempt.
    pub fn pause(&mut self, random: &mut impl Rng) -> Span {
        let half = self.next / 2;
        let drawn = random.random_range(0..=(self.next - half).as_micros());
        let pause = half + Span::from_micros(drawn);
        self.next = (2 * self.next).min(self.most);
        pause
    }
}

//! The times that a class's answers take: smoothed transfer time, total time and deviation.

use super::timing::{smooth, SMOOTHING};
use crate::interface::Class;

/// Initial transfer time of an uncached class, whose answers are small, as a share of its latency objective.
const UNCACHED_TRANSFER_SHARE: f64 = 0.1;
/// Deviations beyond the smoothed time within which answers usually come (RFC 6298).
const DEVIATION_MULTIPLE: f64 = 4.0;

/// The smoothed times of a class, in microseconds.
pub struct ClassTimes {
    /// Mean transfer time at top speed.
    pub transfer: f64,
    /// Samples of the transfer time so far.
    samples: f64,
    /// Smoothed total time of an answer, and its mean deviation (RFC 6298).
    total: f64,
    deviation: f64,
}

impl ClassTimes {
    /// The times of a class before any sample.
    pub fn initial(class: &Class) -> Self {
        let share = if class.uncached { UNCACHED_TRANSFER_SHARE } else { 1.0 };
        ClassTimes {
            transfer: class.latency_objective.as_micros_f64() * share,
            samples: 0.0,
            total: 0.0,
            deviation: 0.0,
        }
    }

    /// Records a transfer time: the plain mean of the first ones, which say more than a guess.
    pub fn observe_transfer(&mut self, time: f64) {
        self.samples += 1.0;
        self.transfer += (1.0 / self.samples).max(SMOOTHING) * (time - self.transfer);
    }

    /// Records the total time of an answer.
    pub fn observe_answer(&mut self, time: f64) {
        let (deviation_weight, total_weight) = if self.total > 0.0 { (0.25, 0.125) } else { (0.5, 1.0) };
        smooth(&mut self.deviation, deviation_weight, (time - self.total).abs());
        smooth(&mut self.total, total_weight, time);
    }

    /// The time after which an answer is unusually slow.
    pub fn usual_limit(&self) -> f64 {
        self.total + DEVIATION_MULTIPLE * self.deviation
    }
}

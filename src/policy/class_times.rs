//! Times of the answers of a class: smoothed transfer time, total time and deviation.

use super::timing::{smooth, SMOOTHING};
use crate::interface::Class;

/// Initial transfer time of an uncached class, as a share of its latency objective: its answers are small.
const UNCACHED_TRANSFER_SHARE: f64 = 0.1;
/// Answers usually come within the smoothed time plus this many deviations (RFC 6298).
const DEVIATION_MULTIPLE: f64 = 4.0;

/// The smoothed times of a class, in microseconds.
pub struct ClassTimes {
    /// Mean transfer time at top speed.
    pub transfer: f64,
    /// Number of transfer time samples so far.
    samples: f64,
    /// Smoothed total time of an answer (RFC 6298); 0 before the first answer.
    total: f64,
    /// Smoothed mean deviation of the total time (RFC 6298).
    deviation: f64,
}

impl ClassTimes {
    /// Returns the times of a class before any sample.
    pub fn initial(class: &Class) -> Self {
        let share = if class.uncached { UNCACHED_TRANSFER_SHARE } else { 1.0 };
        ClassTimes {
            transfer: class.latency_objective.as_micros_f64() * share,
            samples: 0.0,
            total: 0.0,
            deviation: 0.0,
        }
    }

    /// Records a transfer time. The first samples are averaged with equal weights: they are better than the
    /// initial guess, which the first one replaces.
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

    /// Returns the time after which an answer is unusually slow.
    pub fn usual_limit(&self) -> f64 {
        self.total + DEVIATION_MULTIPLE * self.deviation
    }
}

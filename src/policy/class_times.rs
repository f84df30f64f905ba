//! What a class's answers take: its smoothed sending time, whole time and deviation.

use super::timing::{smooth, SMOOTHING};
use crate::interface::Class;

/// An uncached class sends little: part of its latency objective that its sending time is taken for at first.
const UNCACHED_SENDING_PART: f64 = 0.1;
/// Deviations beyond the usual time that an answer takes at most, as a rule (RFC 6298).
const DEVIATIONS: f64 = 4.0;

/// The smoothed times of a class, in microseconds.
pub struct ClassTimes {
    /// Mean sending time at full pace.
    pub sending: f64,
    /// Samples of the sending time so far.
    samples: f64,
    /// Smoothed whole time of an answer, and its mean deviation (RFC 6298).
    whole: f64,
    deviation: f64,
}

impl ClassTimes {
    /// The times of a class before any sample.
    pub fn untried(class: &Class) -> Self {
        let part = if class.uncached { UNCACHED_SENDING_PART } else { 1.0 };
        ClassTimes {
            sending: class.latency_objective.as_micros_f64() * part,
            samples: 0.0,
            whole: 0.0,
            deviation: 0.0,
        }
    }

    /// Takes in a sending time: the plain mean of the first ones, which say more than a guess.
    pub fn observe_sending(&mut self, time: f64) {
        self.samples += 1.0;
        self.sending += (1.0 / self.samples).max(SMOOTHING) * (time - self.sending);
    }

    /// Takes in the whole time of an answer.
    pub fn observe_answer(&mut self, time: f64) {
        let (deviation_weight, whole_weight) = if self.whole > 0.0 { (0.25, 0.125) } else { (0.5, 1.0) };
        smooth(&mut self.deviation, deviation_weight, (time - self.whole).abs());
        smooth(&mut self.whole, whole_weight, time);
    }

    /// The time after which an answer is unusually slow.
    pub fn usual_limit(&self) -> f64 {
        self.whole + DEVIATIONS * self.deviation
    }
}

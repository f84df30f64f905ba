//! Spans of time that several decisions share, and the smoothing of measured values.

use crate::interface::Span;

/// The least span that is not zero.
pub const MICROSECOND: Span = Span::from_micros(1);
/// One second.
pub const SECOND: Span = Span::from_secs(1);
/// How often outstanding attempts are looked over: well under any latency objective.
pub const TICK_INTERVAL: Span = Span::from_millis(20);
/// An ejected server gets one probing request each time this has passed.
pub const PROBE_INTERVAL: Span = SECOND;
/// How often the popular directory's threshold and old purges are brought up to date.
pub const UPKEEP_INTERVAL: Span = SECOND;
/// Weight of a new sample in smoothed times and latency deviations.
pub const SMOOTHING: f64 = 0.1;

/// Moves an exponentially weighted mean towards a sample.
pub fn smooth(mean: &mut f64, weight: f64, sample: f64) {
    *mean += weight * (sample - *mean);
}

//! Durations that several modules use, and the smoothing of measured values.

use crate::interface::Span;

/// The shortest non-zero duration.
pub const MICROSECOND: Span = Span::from_micros(1);
pub const SECOND: Span = Span::from_secs(1);
/// Interval of the checks of attempts in flight: well under any latency objective.
pub const TICK_INTERVAL: Span = Span::from_millis(20);
/// Interval between the probes of an ejected server. Also the delay before a new delegate or subscription.
pub const PROBE_INTERVAL: Span = SECOND;
/// Interval of the updates of the popular directory's threshold and of the removal of old purges.
pub const UPKEEP_INTERVAL: Span = SECOND;
/// Weight of a new sample in smoothed times and latency deviations.
pub const SMOOTHING: f64 = 0.1;

/// Updates an exponentially weighted mean with a sample.
pub fn smooth(mean: &mut f64, weight: f64, sample: f64) {
    *mean += weight * (sample - *mean);
}

//! Histograms of how long drains took to reach the clients.

use crate::control::service::ControlError;
use hdrhistogram::Histogram;

/// Longest time that is recorded, in us; longer ones are recorded as this.
const MAX_RECORDED_US: u64 = 600_000_000;
/// Significant digits of recorded times.
const RECORDED_DIGITS: u8 = 3;

/// How long drains took to reach the clients, in us.
pub(super) struct DrainDelays {
    /// From a drain to each client's view without the cache.
    pub(super) each_client: Histogram<u64>,
    /// From a drain to the last client's view without the cache.
    pub(super) last_client: Histogram<u64>,
}

impl DrainDelays {
    pub(super) fn new() -> Result<Self, ControlError> {
        Ok(DrainDelays { each_client: histogram()?, last_client: histogram()? })
    }
}

fn histogram() -> Result<Histogram<u64>, ControlError> {
    let histogram = Histogram::new_with_bounds(1, MAX_RECORDED_US, RECORDED_DIGITS);
    Ok(histogram.map_err(std::io::Error::other)?)
}

//! How long drains took to reach the clients.

use crate::control::service::ControlError;
use hdrhistogram::Histogram;

/// The longest time that is recorded.
const MAX_RECORDED_US: u64 = 600_000_000;
/// The significant digits with which times are recorded.
const RECORDED_DIGITS: u8 = 3;

/// How long drains took to reach the clients, us.
pub(super) struct DrainDelays {
    /// To each client's view.
    pub(super) each_client: Histogram<u64>,
    /// To the last client's view.
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

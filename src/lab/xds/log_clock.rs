//! The clock of the clients' logs.

use crate::control::clock::ServiceClock;
use crate::interface::Instant;
use std::sync::LazyLock;

/// The clock of all logs of this process, so that their times can be compared.
static LOG_CLOCK: LazyLock<ServiceClock> = LazyLock::new(ServiceClock::system);

/// The time of logs: monotonic, from the Unix time of its first use on.
pub fn log_time() -> Instant {
    LOG_CLOCK.now()
}

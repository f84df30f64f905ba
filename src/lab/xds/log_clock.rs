//! The clock that all clients' logs share.

use crate::control::clock::ServiceClock;
use crate::interface::Instant;
use std::sync::LazyLock;

/// One clock for all logs of this process, so that their times can be compared.
static LOG_CLOCK: LazyLock<ServiceClock> = LazyLock::new(ServiceClock::system);

/// Returns the time for log entries. It is monotonic and starts at the Unix time of its first use.
pub fn log_time() -> Instant {
    LOG_CLOCK.now()
}

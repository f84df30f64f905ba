//! The clock of the clients' logs.

use crate::control::clock::Clock;
use crate::interface::Span;
use std::sync::LazyLock;

/// The clock of all logs of this process, so that their times can be compared.
static LOG_CLOCK: LazyLock<Clock> = LazyLock::new(Clock::system);

/// The time of logs, us: monotonic, from the Unix time of its first use on.
pub fn log_time() -> Span {
    LOG_CLOCK.now()
}

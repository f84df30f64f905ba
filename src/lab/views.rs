//! Logs of xDS clients, and the rules that they must satisfy.
//!
//! [`find_breaches`] checks the logs against the control feed's events: drains and purges must reach each
//! client within a deadline, and no client may go back to an older version.

mod check;
mod log;

pub use check::{drain_delays, find_breaches, Breach};
pub use log::{ClientEvent, FeedChange, FeedEvent, LogEntry, View};

#[cfg(test)]
mod tests;

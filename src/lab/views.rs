//! The logs of xDS clients, and what they break.
//!
//! [`find_breaches`] holds the logs against the control feed's events: drains and purges within a deadline, and no
//! client ever goes back to an older version.

mod check;
mod log;

pub use check::{drain_delays, find_breaches, Breach};
pub use log::{ClientEvent, FeedChange, FeedEvent, LogEntry, View};

#[cfg(test)]
mod tests;

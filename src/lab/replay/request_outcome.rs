//! The ends of a replay's requests.

use crate::standin::thrift_client::Answered;
use std::time::Duration;

/// How a request ended, as its client saw it.
pub(super) struct RequestOutcome {
    /// Its class, by its place in the trace's map.
    pub(super) class: usize,
    /// When it was sent, from the start.
    pub(super) sent: Duration,
    pub(super) latency: Duration,
    /// `None`: it got no answer.
    pub(super) answer: Option<Answered>,
}

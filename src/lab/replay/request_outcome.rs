//! The outcome of a request of a replay.

use crate::standin::thrift_client::AnswerKind;
use std::time::Duration;

/// How a request ended, as its client saw it.
pub(super) struct RequestOutcome {
    /// Index of the request's class in the trace's map.
    pub(super) class: usize,
    /// When the request was sent, from the start of the replay.
    pub(super) sent: Duration,
    /// Time from sending the request to its answer; zero if it got no answer.
    pub(super) latency: Duration,
    /// Kind of the answer; `None` if the request got no answer.
    pub(super) answer: Option<AnswerKind>,
}

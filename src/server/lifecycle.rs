//! The phases of the process, from accepting clients to its end.

use crate::interface::{Instant, Span};

/// Once all is answered, clients that were notified of the end have this long to close their connections: closing first
/// could reset a connection whose last answer is not read yet.
const CLIENT_CLOSE_GRACE: Span = Span::from_millis(500);

/// The phase of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    /// Clients are accepted.
    Accepting,
    /// The process was told to stop and accepts clients for a while longer.
    Draining {
        /// When the process was told to stop.
        since: Instant,
    },
    /// No more clients are accepted; what is open is answered, and connections are passed on or closed.
    Closing {
        /// When the process was told to stop.
        since: Instant,
        /// Since when every request has its answer.
        answered_since: Option<Instant>,
    },
    /// The process may end.
    Stopped {
        /// When the process was told to stop.
        since: Instant,
    },
}

impl Phase {
    /// Begins the shutdown.
    pub fn begin_shutdown(&mut self, now: Instant) {
        *self = Phase::Draining { since: now };
    }

    /// The listeners are closed.
    pub fn begin_closing(&mut self, now: Instant) {
        let since = self.shutdown_since().unwrap_or(now);
        *self = Phase::Closing { since, answered_since: None };
    }

    /// The process may end.
    pub fn stop(&mut self, now: Instant) {
        *self = Phase::Stopped { since: self.shutdown_since().unwrap_or(now) };
    }

    /// When the shutdown began, if it has.
    pub fn shutdown_since(self) -> Option<Instant> {
        match self {
            Phase::Accepting => None,
            Phase::Draining { since } | Phase::Closing { since, .. } | Phase::Stopped { since } => {
                Some(since)
            }
        }
    }

    /// Whether the shutdown has begun.
    pub fn is_shutting_down(self) -> bool {
        self.shutdown_since().is_some()
    }

    /// Whether no more clients are accepted.
    pub fn is_closed_to_clients(self) -> bool {
        matches!(self, Phase::Closing { .. } | Phase::Stopped { .. })
    }

    /// Whether the process may end.
    pub fn is_stopped(self) -> bool {
        matches!(self, Phase::Stopped { .. })
    }

    /// While closing: takes note of whether every request has its answer now.
    pub fn set_answered(&mut self, is_answered: bool, now: Instant) {
        if let Phase::Closing { answered_since, .. } = self {
            *answered_since = if is_answered { answered_since.or(Some(now)) } else { None };
        }
    }

    /// While closing: whether every request has its answer.
    pub fn is_answered(self) -> bool {
        matches!(self, Phase::Closing { answered_since: Some(_), .. })
    }

    /// While closing: whether every request has had its answer for long enough that clients have closed.
    pub fn clients_had_time_to_close(self, now: Instant) -> bool {
        match self {
            Phase::Closing { answered_since: Some(since), .. } => since + CLIENT_CLOSE_GRACE <= now,
            _ => false,
        }
    }
}

#[cfg(test)]
mod tests;

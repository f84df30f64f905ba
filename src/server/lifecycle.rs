//! The phases of the process, from accepting clients to its end.

use crate::interface::{Instant, Span};

/// Time that clients which were notified of the end have to close their connections, once all requests are
/// answered. If this process closed first, it could reset a connection whose last answer is not read yet.
const CLIENT_CLOSE_GRACE: Span = Span::from_millis(500);

/// The phase of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    /// Clients are accepted.
    Accepting,
    /// The shutdown has begun; clients are still accepted for a while.
    Draining {
        /// Time of the signal to stop.
        since: Instant,
        /// Number of turns in which the listeners' queues were emptied, so that the listeners can be closed.
        accept_turns: usize,
    },
    /// No more clients are accepted. Open requests are answered, and connections are handed over or closed.
    Closing {
        /// Time of the signal to stop.
        since: Instant,
        /// Time since when every request has its answer; `None` while one has not.
        answered_since: Option<Instant>,
    },
    /// The event loop ends, and the process with it.
    Stopped {
        /// Time of the signal to stop.
        since: Instant,
    },
}

impl Phase {
    /// Enters the phase [`Phase::Draining`].
    pub fn begin_shutdown(&mut self, now: Instant) {
        *self = Phase::Draining { since: now, accept_turns: 0 };
    }

    /// While draining, counts a turn in which the listeners' queues were emptied. Returns their number.
    pub fn count_accept_turn(&mut self) -> usize {
        let Phase::Draining { accept_turns, .. } = self else { return 0 };
        *accept_turns += 1;
        *accept_turns
    }

    /// Enters the phase [`Phase::Closing`]: the listeners are closed.
    pub fn begin_closing(&mut self, now: Instant) {
        let since = self.shutdown_since().unwrap_or(now);
        *self = Phase::Closing { since, answered_since: None };
    }

    /// Enters the phase [`Phase::Stopped`]: the process may end.
    pub fn stop(&mut self, now: Instant) {
        *self = Phase::Stopped { since: self.shutdown_since().unwrap_or(now) };
    }

    /// Returns when the shutdown began; `None` if it has not.
    pub fn shutdown_since(self) -> Option<Instant> {
        match self {
            Phase::Accepting => None,
            Phase::Draining { since, .. } | Phase::Closing { since, .. } | Phase::Stopped { since } => {
                Some(since)
            }
        }
    }

    /// Whether the shutdown has begun.
    pub fn is_shutting_down(self) -> bool {
        self.shutdown_since().is_some()
    }

    /// Whether clients are no longer accepted.
    pub fn is_closed_to_clients(self) -> bool {
        matches!(self, Phase::Closing { .. } | Phase::Stopped { .. })
    }

    /// Whether the process may end.
    pub fn is_stopped(self) -> bool {
        matches!(self, Phase::Stopped { .. })
    }

    /// While closing, records whether every request has its answer now.
    pub fn set_answered(&mut self, is_answered: bool, now: Instant) {
        if let Phase::Closing { answered_since, .. } = self {
            *answered_since = if is_answered { answered_since.or(Some(now)) } else { None };
        }
    }

    /// Whether the process is closing and every request has its answer.
    pub fn is_answered(self) -> bool {
        matches!(self, Phase::Closing { answered_since: Some(_), .. })
    }

    /// Whether the process is closing and every request has had its answer for at least
    /// [`CLIENT_CLOSE_GRACE`].
    pub fn clients_had_time_to_close(self, now: Instant) -> bool {
        match self {
            Phase::Closing { answered_since: Some(since), .. } => since + CLIENT_CLOSE_GRACE <= now,
            _ => false,
        }
    }
}

#[cfg(test)]
mod tests;

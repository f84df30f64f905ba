//! When the steps of a shutdown are due. The operators' tools end a process by force some time after the signal, and
//! every step comes before that.

use crate::interface::{Instant, Span};

/// How often the progress of a shutdown is checked.
pub(super) const CHECK_INTERVAL: Span = Span::from_millis(20);
/// Clients are accepted for this long after the signal...
const ACCEPT_FOR: Span = Span::from_millis(800);
/// ... and where the forced end is near, for this long at least, in which clients may still send requests...
const MIN_ACCEPT_FOR: Span = Span::from_millis(600);
/// ... and until this long before the forced end.
const STOP_ACCEPTING_BEFORE_KILL: Span = Span::from_millis(300);
/// The longest client deadline that the forced end waits for...
const MAX_CLIENT_DEADLINE: Span = Span::from_secs(3);
/// ... and the time that it leaves beyond that.
const KILL_AFTER_DEADLINE: Span = Span::from_millis(700);
/// Open requests are answered this long before the forced end...
const FINAL_ANSWERS_BEFORE_KILL: Span = Span::from_millis(250);
/// ... and earlier with a newer process, since their connections are then passed on.
const FINAL_ANSWERS_BEFORE_KILL_WITH_NEWER: Span = Span::from_millis(300);
/// The process ends this long before the forced end at the latest.
const END_BEFORE_KILL: Span = Span::from_millis(150);

/// The times of a shutdown.
#[derive(Clone, Copy, Debug)]
pub(super) struct ShutdownSchedule {
    /// When the signal came.
    pub signalled_at: Instant,
    /// The longest that a client of any class waits for its answer.
    pub max_client_deadline: Span,
    /// Whether a newer process accepts clients.
    pub has_newer: bool,
}

impl ShutdownSchedule {
    /// When the process may be ended by force.
    pub fn kill_at(self) -> Instant {
        self.signalled_at + self.max_client_deadline.min(MAX_CLIENT_DEADLINE) + KILL_AFTER_DEADLINE
    }

    /// When the listeners are closed, if no newer process accepts clients.
    pub fn stop_accepting_at(self) -> Instant {
        let before_kill = self.kill_at() - STOP_ACCEPTING_BEFORE_KILL;
        before_kill.clamp(self.signalled_at + MIN_ACCEPT_FOR, self.signalled_at + ACCEPT_FOR)
    }

    /// When every open request is answered, since the forced end is near.
    pub fn final_answers_at(self) -> Instant {
        let before_kill =
            if self.has_newer { FINAL_ANSWERS_BEFORE_KILL_WITH_NEWER } else { FINAL_ANSWERS_BEFORE_KILL };
        self.kill_at() - before_kill
    }

    /// When the process ends at the latest.
    pub fn latest_end(self) -> Instant {
        self.kill_at() - END_BEFORE_KILL
    }
}

#[cfg(test)]
mod tests;

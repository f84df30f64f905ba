//! When the steps of a shutdown are due. The operators' tools kill a process some time after the signal to
//! stop. Every step is scheduled before that.

use crate::interface::{Instant, Span};

/// Interval between checks of the progress of a shutdown.
pub(super) const CHECK_INTERVAL: Span = Span::from_millis(20);
/// Clients are accepted for at most this long after the signal.
const ACCEPT_FOR: Span = Span::from_millis(800);
/// Clients are accepted for at least this long after the signal, even if the kill time is near, since they
/// may still send requests in that time.
const MIN_ACCEPT_FOR: Span = Span::from_millis(600);
/// Clients are accepted until this long before the kill time, within the two bounds above.
const STOP_ACCEPTING_BEFORE_KILL: Span = Span::from_millis(300);
/// The kill time allows for client deadlines up to this one.
const MAX_CLIENT_DEADLINE: Span = Span::from_secs(3);
/// Time between the longest client deadline, counted from the signal, and the kill time.
const KILL_AFTER_DEADLINE: Span = Span::from_millis(700);
/// All open requests are answered this long before the kill time.
const FINAL_ANSWERS_BEFORE_KILL: Span = Span::from_millis(250);
/// The same with a newer process: earlier, since the connections are handed over afterwards.
const FINAL_ANSWERS_BEFORE_KILL_WITH_NEWER: Span = Span::from_millis(300);
/// The process ends at least this long before the kill time.
const END_BEFORE_KILL: Span = Span::from_millis(150);

/// The times of a shutdown.
#[derive(Clone, Copy, Debug)]
pub(super) struct ShutdownSchedule {
    /// Time of the signal to stop.
    pub signalled_at: Instant,
    /// The longest client deadline of all classes.
    pub max_client_deadline: Span,
    /// Whether there is a newer process, which accepts clients.
    pub has_newer: bool,
}

impl ShutdownSchedule {
    /// Returns the kill time, from which on the operators' tools may kill the process.
    pub fn kill_at(self) -> Instant {
        self.signalled_at + self.max_client_deadline.min(MAX_CLIENT_DEADLINE) + KILL_AFTER_DEADLINE
    }

    /// Returns when the listeners are closed, if there is no newer process.
    pub fn stop_accepting_at(self) -> Instant {
        let before_kill = self.kill_at() - STOP_ACCEPTING_BEFORE_KILL;
        before_kill.clamp(self.signalled_at + MIN_ACCEPT_FOR, self.signalled_at + ACCEPT_FOR)
    }

    /// Returns when all requests that are still open are answered, since the kill time is near.
    pub fn final_answers_at(self) -> Instant {
        let before_kill =
            if self.has_newer { FINAL_ANSWERS_BEFORE_KILL_WITH_NEWER } else { FINAL_ANSWERS_BEFORE_KILL };
        self.kill_at() - before_kill
    }

    /// Returns the latest time at which the process ends.
    pub fn latest_end(self) -> Instant {
        self.kill_at() - END_BEFORE_KILL
    }
}

#[cfg(test)]
mod tests;

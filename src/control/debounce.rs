//! Decides when changes are published: urgent ones at once, the others together after a pause without changes.

use std::time::{Duration, Instant};

/// How soon a change has to be published.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Urgency {
    /// Nothing has changed.
    None,
    /// The change may wait for others: a server was added, a weight or the delegates of an object changed.
    Soon,
    /// The change must be published at once: a drain, a removal, a purge.
    Now,
}

/// The times of the first and the last change that wait to be published.
#[derive(Clone, Copy, Debug)]
struct Pending {
    first: Instant,
    last: Instant,
}

/// Collects changes until they are to be published. A pure state machine that gets the time as an argument.
#[derive(Debug)]
pub struct Debounce {
    quiet: Duration,
    max_delay: Duration,
    pending: Option<Pending>,
}

impl Debounce {
    /// Creates a debounce without pending changes. Changes that may wait are published when no change has come for
    /// `quiet`, and at the latest `max_delay` after the first one.
    pub fn new(quiet: Duration, max_delay: Duration) -> Self {
        Debounce { quiet, max_delay, pending: None }
    }

    /// Records a change. Returns whether all pending changes are to be published now.
    pub fn changed(&mut self, now: Instant, urgency: Urgency) -> bool {
        match urgency {
            Urgency::None => false,
            Urgency::Now => {
                self.pending = None;
                true
            }
            Urgency::Soon => {
                let first = self.pending.map_or(now, |pending| pending.first);
                self.pending = Some(Pending { first, last: now });
                self.take_due(now)
            }
        }
    }

    /// Returns when the pending changes are to be published; `None` if there are none.
    pub fn due(&self) -> Option<Instant> {
        let pending = self.pending?;
        Some((pending.last + self.quiet).min(pending.first + self.max_delay))
    }

    /// Returns whether the pending changes are due at `now`. If so, they are no longer pending afterwards.
    pub fn take_due(&mut self, now: Instant) -> bool {
        let is_due = self.due().is_some_and(|due| due <= now);
        if is_due {
            self.pending = None;
        }
        is_due
    }
}

#[cfg(test)]
mod tests;

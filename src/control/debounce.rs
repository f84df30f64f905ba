//! When changes are published: urgent ones at once, the others together once no more of them come.

use std::time::{Duration, Instant};

/// How soon a change has to be published.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Urgency {
    /// Nothing has changed.
    None,
    /// It may wait for others: a server that was added, a weight, delegates.
    Soon,
    /// It may not wait: a drain, a removal, a purge.
    Now,
}

/// Changes that wait to be published.
#[derive(Clone, Copy, Debug)]
struct Pending {
    first: Instant,
    last: Instant,
}

/// Gathers changes. A pure state machine on passed-in time.
#[derive(Debug)]
pub struct Debounce {
    quiet: Duration,
    max_delay: Duration,
    pending: Option<Pending>,
}

impl Debounce {
    /// Publishes changes that may wait once no change came for `quiet`, and `limit` after the first one at the
    /// latest.
    pub fn new(quiet: Duration, max_delay: Duration) -> Self {
        Debounce { quiet, max_delay, pending: None }
    }

    /// Takes a change; returns whether all pending changes are to be published now.
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

    /// When the pending changes are to be published, if there are any.
    pub fn due(&self) -> Option<Instant> {
        let pending = self.pending?;
        Some((pending.last + self.quiet).min(pending.first + self.max_delay))
    }

    /// Whether the pending changes are to be published by now; they are then no longer pending.
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

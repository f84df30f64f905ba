//! The purges that are announced to clients.

use crate::control::clock::Moment;
use crate::interface::{Instant, Purge, Span, UnixTime};
use std::collections::BTreeMap;

/// A purge that is announced.
#[derive(Clone, Copy, Debug)]
struct AnnouncedPurge {
    /// When the purge was made. Copies must be newer.
    made_at: UnixTime,
    /// When the purge is no longer announced.
    expires_at: Instant,
}

/// The announced purges: the newest one of each object and group.
#[derive(Debug)]
pub(super) struct PurgeLog {
    /// How long a purge is announced, from the time when it was made.
    announced_for: Span,
    purges: BTreeMap<Purge, AnnouncedPurge>,
}

impl PurgeLog {
    pub(super) fn new(announced_for: Span) -> Self {
        PurgeLog { announced_for, purges: BTreeMap::new() }
    }

    /// Records a purge that was made at a Unix time.
    pub(super) fn record(&mut self, moment: Moment, purge: Purge, made_at: UnixTime) {
        let expires_at = moment.monotonic_of(made_at) + self.announced_for;
        let newest = self.purges.entry(purge).or_insert(AnnouncedPurge { made_at, expires_at });
        newest.made_at = newest.made_at.max(made_at);
        newest.expires_at = newest.expires_at.max(expires_at);
    }

    /// Returns when the next purge expires; [`Instant::MAX`] if there is none.
    pub(super) fn due(&self) -> Instant {
        let times = self.purges.values().map(|purge| purge.expires_at);
        times.min().unwrap_or(Instant::MAX)
    }

    /// Removes the expired purges. Returns whether there were any.
    pub(super) fn expire(&mut self, now: Instant) -> bool {
        let before = self.purges.len();
        self.purges.retain(|_, purge| purge.expires_at > now);
        self.purges.len() < before
    }

    /// Iterates over the purges, each with the Unix time in ms that copies must be newer than.
    pub(super) fn newer_than_ms(&self) -> impl Iterator<Item = (Purge, i64)> + '_ {
        // One more, since a copy made in the same millisecond may be older than the purge.
        self.purges.iter().map(|(purge, announced)| (*purge, announced.made_at.as_millis() + 1))
    }
}

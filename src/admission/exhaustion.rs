//! Exhaustion of descriptors (`EMFILE`, `ENFILE`, also `ENOBUFS` and `ENOMEM` at accept): the exponential backoff of
//! accepts, the episodes that are logged at their start and end, and the count of connections that were accepted with
//! the spare descriptor to be rejected. No I/O: the caller reports what happened.

use crate::interface::{Instant, Span};

/// The shortest backoff.
const MIN_BACKOFF: Span = Span::from_micros(1);
/// Doublings beyond which the backoff no longer grows.
const MAX_DOUBLINGS: u32 = 20;

/// An episode that has not ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Episode {
    since: Instant,
    /// Accepts that failed in it.
    failed_accepts: u32,
    /// Connections rejected with the spare descriptor in it.
    shed: u64,
}

/// The backoff after an accept failed for want of descriptors.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AcceptBackoff {
    /// When to accept again.
    pub until: Instant,
    /// Whether this began an episode, which is then logged.
    pub starts_episode: bool,
}

/// An episode that has ended, for the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EpisodeSummary {
    /// How long it lasted.
    pub duration: Span,
    /// Accepts that failed in it.
    pub failed_accepts: u32,
    /// Connections rejected with the spare descriptor in it.
    pub shed: u64,
}

/// The backoff of accepts while the process has no descriptor left.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DescriptorExhaustion {
    episode: Option<Episode>,
    first_backoff: Span,
    max_backoff: Span,
    /// Episodes so far.
    pub episodes: u64,
    /// Connections rejected with the spare descriptor so far.
    pub shed: u64,
}

impl DescriptorExhaustion {
    /// No episode yet; the backoff doubles from `first` to `max`.
    pub fn new(first: Span, max: Span) -> Self {
        DescriptorExhaustion {
            episode: None,
            first_backoff: first.max(MIN_BACKOFF),
            max_backoff: max.max(first),
            episodes: 0,
            shed: 0,
        }
    }

    /// Sets the bounds of the backoff, also for an episode that has begun.
    pub fn set_bounds(&mut self, first: Span, max: Span) {
        self.first_backoff = first.max(MIN_BACKOFF);
        self.max_backoff = max.max(first);
    }

    /// Whether an episode has not ended.
    pub fn is_ongoing(&self) -> bool {
        self.episode.is_some()
    }

    /// Handles an accept that failed for want of descriptors.
    pub fn accept_failed(&mut self, now: Instant) -> AcceptBackoff {
        let starts_episode = self.episode.is_none();
        if starts_episode {
            self.episodes += 1;
        }
        let episode = self.episode.get_or_insert(Episode { since: now, failed_accepts: 0, shed: 0 });
        let doublings = episode.failed_accepts.min(MAX_DOUBLINGS);
        let backoff = self.first_backoff.saturating_mul(1 << doublings).min(self.max_backoff);
        episode.failed_accepts = episode.failed_accepts.saturating_add(1);
        AcceptBackoff { until: now + backoff, starts_episode }
    }

    /// Counts a connection that was accepted with the spare descriptor to be rejected.
    pub fn connection_shed(&mut self) {
        self.shed += 1;
        if let Some(episode) = &mut self.episode {
            episode.shed += 1;
        }
    }

    /// Handles an accept that succeeded or found nobody waiting: an episode has ended.
    pub fn accept_succeeded(&mut self, now: Instant) -> Option<EpisodeSummary> {
        let episode = self.episode.take()?;
        Some(EpisodeSummary {
            duration: now - episode.since,
            failed_accepts: episode.failed_accepts,
            shed: episode.shed,
        })
    }
}

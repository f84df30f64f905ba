//! Exhaustion of descriptors, which shows in accepts that fail with `EMFILE`, `ENFILE`, `ENOBUFS` or
//! `ENOMEM`. Keeps the exponential backoff of accepts, the episodes of exhaustion, which are logged at their
//! start and end, and the count of connections that were accepted with the spare descriptor to be rejected.
//! It does no I/O: the caller reports the results of accepts.

use crate::interface::{Instant, Span};

/// Lower bound of the first backoff.
const MIN_BACKOFF: Span = Span::from_micros(1);
/// Number of doublings after which the backoff no longer grows.
const MAX_DOUBLINGS: u32 = 20;

/// An episode of exhaustion that has not ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Episode {
    since: Instant,
    /// Number of accepts that failed in it.
    failed_accepts: u32,
    /// Number of connections rejected with the spare descriptor in it.
    shed: u64,
}

/// The backoff after an accept that failed because no descriptor was left.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AcceptBackoff {
    /// When to try the next accept.
    pub until: Instant,
    /// Whether the failed accept starts an episode, which is then logged.
    pub starts_episode: bool,
}

/// The summary of an episode that has ended, for the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EpisodeSummary {
    /// Duration of the episode.
    pub duration: Span,
    /// Number of accepts that failed in it.
    pub failed_accepts: u32,
    /// Number of connections rejected with the spare descriptor in it.
    pub shed: u64,
}

/// The backoff of accepts while the process has no descriptor left.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DescriptorExhaustion {
    episode: Option<Episode>,
    first_backoff: Span,
    max_backoff: Span,
    /// Number of episodes since the start, including the current one.
    pub episodes: u64,
    /// Number of connections rejected with the spare descriptor since the start.
    pub shed: u64,
}

impl DescriptorExhaustion {
    /// Returns a state without an episode. The backoff will double from `first` to `max`.
    pub fn new(first: Span, max: Span) -> Self {
        DescriptorExhaustion {
            episode: None,
            first_backoff: first.max(MIN_BACKOFF),
            max_backoff: max.max(first),
            episodes: 0,
            shed: 0,
        }
    }

    /// Sets the bounds of the backoff, which also apply to the current episode.
    pub fn set_bounds(&mut self, first: Span, max: Span) {
        self.first_backoff = first.max(MIN_BACKOFF);
        self.max_backoff = max.max(first);
    }

    /// Whether an episode has started and not yet ended.
    pub fn is_ongoing(&self) -> bool {
        self.episode.is_some()
    }

    /// Handles an accept that failed because no descriptor was left. Returns when to try again.
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

    /// Counts a connection that was accepted with the spare descriptor and rejected.
    pub fn connection_shed(&mut self) {
        self.shed += 1;
        if let Some(episode) = &mut self.episode {
            episode.shed += 1;
        }
    }

    /// Handles an accept that succeeded or found no waiting connection. Returns the summary of the episode if
    /// that ends one.
    pub fn accept_succeeded(&mut self, now: Instant) -> Option<EpisodeSummary> {
        let episode = self.episode.take()?;
        Some(EpisodeSummary {
            duration: now - episode.since,
            failed_accepts: episode.failed_accepts,
            shed: episode.shed,
        })
    }
}

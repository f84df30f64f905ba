//! Out of descriptors (`EMFILE`, `ENFILE`, also `ENOBUFS`/`ENOMEM` at accept): episodes with a bounded, doubling
//! pause of accepts, one log line at each episode's start and end, and the count of connections taken with the spare
//! descriptor and refused. No I/O: the caller says what happened, at what time.

use crate::interface::{Instant, Span};

/// The shortest first pause.
const LEAST: Span = Span::from_micros(1);

/// An episode that lasts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Episode {
    since: Instant,
    /// Accepts that failed in it.
    tries: u32,
    /// Connections taken with the spare descriptor and refused in it.
    shed: u64,
}

/// What to do after an accept failed for want of descriptors.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Backoff {
    /// When to try accepting again.
    pub until: Instant,
    /// Whether this began an episode: the one moment to log.
    pub began: bool,
}

/// An episode that is over, for its one closing log line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ended {
    /// How long it lasted.
    pub lasted: Span,
    /// Accepts that failed in it.
    pub tries: u32,
    /// Connections refused with the spare descriptor in it.
    pub shed: u64,
}

/// The state of descriptors running out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Exhaustion {
    episode: Option<Episode>,
    first: Span,
    most: Span,
    /// Episodes so far.
    pub episodes: u64,
    /// Connections refused with the spare so far.
    pub shed: u64,
}

impl Exhaustion {
    /// No episode yet; pauses from `first` doubling to `most`.
    pub fn new(first: Span, most: Span) -> Self {
        Exhaustion { episode: None, first: first.max(LEAST), most: most.max(first), episodes: 0, shed: 0 }
    }

    /// Takes new bounds; an episode under way goes on with them.
    pub fn set_bounds(&mut self, first: Span, most: Span) {
        (self.first, self.most) = (first.max(LEAST), most.max(first));
    }

    /// Whether an episode lasts.
    pub fn is_on(&self) -> bool {
        self.episode.is_some()
    }

    /// An accept failed for want of descriptors at `now`.
    pub fn failed(&mut self, now: Instant) -> Backoff {
        let began = self.episode.is_none();
        if began {
            self.episodes += 1;
        }
        let episode = self.episode.get_or_insert(Episode { since: now, tries: 0, shed: 0 });
        let pause = self.first.saturating_mul(1 << episode.tries.min(20)).min(self.most);
        episode.tries = episode.tries.saturating_add(1);
        Backoff { until: now + pause, began }
    }

    /// A connection was taken with the spare descriptor, to be refused.
    pub fn shed(&mut self) {
        self.shed += 1;
        if let Some(episode) = &mut self.episode {
            episode.shed += 1;
        }
    }

    /// An accept went through, or found nobody waiting: an episode is over.
    pub fn accepted(&mut self, now: Instant) -> Option<Ended> {
        let episode = self.episode.take()?;
        Some(Ended { lasted: now - episode.since, tries: episode.tries, shed: episode.shed })
    }
}

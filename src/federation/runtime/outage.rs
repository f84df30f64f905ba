//! Why a member is halted, and when it is retried: an outage begins with a failure and ends once the member has
//! run for a while without another, so that a disk that takes the first write and fails the second one is one outage.

use crate::federation::backoff::Backoff;
use crate::federation::node::NodeError;
use crate::federation::store::StoreError;
use crate::interface::{Instant, Span};
use rand::Rng;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

/// The first and the longest pause before another attempt.
const RETRY_PAUSES: [Span; 2] = [Span::from_millis(50), Span::from_secs(2)];
/// An outage is over when the member has run for so long.
const RECOVERED_AFTER: Span = Span::from_secs(5);

/// Why a member is halted.
#[derive(Debug, thiserror::Error)]
pub(super) enum HaltReason {
    #[error("{}: {source}", path.display())]
    Store { path: PathBuf, source: StoreError },
    #[error("{address}: {source}")]
    Listen { address: SocketAddr, source: io::Error },
    #[error("{0}")]
    Node(#[from] NodeError),
    #[error("poll: {0}")]
    Poll(io::Error),
    /// A check of the library's, or of this program's own.
    #[error("a check failed: {0}")]
    Panic(String),
    #[error("another store came for this member before: this one may have forgotten its votes")]
    OtherStore,
}

/// Kinds of failure: each is reported once in an outage.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum FailureKind {
    /// The disk takes no writes or gives no reads.
    Disk,
    /// The store is damaged, absent, another's or in use.
    Store,
    Network,
    Consensus,
    Panic,
}

impl HaltReason {
    fn kind(&self) -> FailureKind {
        match self {
            HaltReason::Store { source: StoreError::Database(_) | StoreError::File(_), .. }
            | HaltReason::Node(NodeError::Storage(_)) => FailureKind::Disk,
            HaltReason::Store { .. } | HaltReason::OtherStore => FailureKind::Store,
            HaltReason::Listen { .. } | HaltReason::Poll(_) => FailureKind::Network,
            HaltReason::Node(_) => FailureKind::Consensus,
            HaltReason::Panic(_) => FailureKind::Panic,
        }
    }
}

/// The current outage, if any, and the backoff of the attempts to end it.
#[derive(Debug)]
pub(super) struct Outage {
    backoff: Backoff,
    ongoing: Option<OngoingOutage>,
}

#[derive(Debug)]
struct OngoingOutage {
    since: Instant,
    failures: u32,
    /// The kinds of failure that were reported.
    reported: Vec<FailureKind>,
    /// Since when the member runs again.
    running_since: Option<Instant>,
}

/// What follows from a failure.
#[derive(Debug, PartialEq, Eq)]
pub(super) struct Failure {
    pub retry_at: Instant,
    /// Whether it is the first of its kind in this outage, and is logged.
    pub report: bool,
}

/// An outage that is over.
#[derive(Debug, PartialEq, Eq)]
pub(super) struct Recovery {
    /// From the first failure until the member ran again.
    pub lasted: Span,
    pub failures: u32,
}

impl Outage {
    pub fn none() -> Self {
        Outage { backoff: Backoff::new(RETRY_PAUSES[0], RETRY_PAUSES[1]), ongoing: None }
    }

    /// Records that the member failed, or could not be started.
    pub fn failed(&mut self, now: Instant, reason: &HaltReason, random: &mut impl Rng) -> Failure {
        let new = || OngoingOutage { since: now, failures: 0, reported: Vec::new(), running_since: None };
        let ongoing = self.ongoing.get_or_insert_with(new);
        ongoing.failures += 1;
        ongoing.running_since = None;
        let kind = reason.kind();
        let report = !ongoing.reported.contains(&kind);
        if report {
            ongoing.reported.push(kind);
        }
        Failure { retry_at: now + self.backoff.pause(random), report }
    }

    /// Records that the member runs.
    pub fn started(&mut self, now: Instant) {
        if let Some(ongoing) = &mut self.ongoing {
            ongoing.running_since = Some(now);
        }
    }

    /// Whether an outage lasts; the member may be running again already.
    pub fn is_ongoing(&self) -> bool {
        self.ongoing.is_some()
    }

    /// The outage, if it is over now.
    pub fn recovered(&mut self, now: Instant) -> Option<Recovery> {
        let ongoing = self.ongoing.as_ref()?;
        let running_since = ongoing.running_since.filter(|since| now - *since >= RECOVERED_AFTER)?;
        let recovery = Recovery { lasted: running_since - ongoing.since, failures: ongoing.failures };
        self.ongoing = None;
        self.backoff.reset();
        Some(recovery)
    }
}

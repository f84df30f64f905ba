//! Why a member is halted, and when it is retried. An outage begins with a failure and ends once the member
//! has run for [`RECOVERED_AFTER`] without another failure. Otherwise a disk that accepts the first write
//! after each start and fails the second one would cause a new outage at every attempt.

use crate::federation::backoff::Backoff;
use crate::federation::node::NodeError;
use crate::federation::store::StoreError;
use crate::interface::{Instant, Span};
use rand::Rng;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Minimum and maximum backoff before another attempt.
const RETRY_PAUSES: [Span; 2] = [Span::from_millis(50), Span::from_secs(2)];
/// How long the member must run without a failure until the outage is over.
const RECOVERED_AFTER: Span = Span::from_secs(5);

/// Why a member is halted.
#[derive(Debug, thiserror::Error)]
pub(super) enum HaltReason {
    #[error("{}: {source}", path.display())]
    Store { path: PathBuf, source: StoreError },
    #[error("cannot listen on {address}: {source}")]
    Listen { address: SocketAddr, source: io::Error },
    #[error("{0}")]
    Node(#[from] NodeError),
    #[error("polling for events failed: {0}")]
    Poll(io::Error),
    /// An assertion of the consensus library or of this program failed.
    #[error("panic: {0}")]
    Panic(String),
    #[error("another store is enrolled for this member: this one may lack votes that the member has cast")]
    OtherStore,
}

/// The kind of a failure; each kind is reported once in an outage.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum FailureKind {
    /// The disk fails reads or writes.
    Disk,
    /// The store is damaged, absent, in use, or belongs to another member.
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
    /// The kinds of failure that were reported already.
    reported: Vec<FailureKind>,
    /// When the member was last started, `None` after a failure.
    running_since: Option<Instant>,
}

/// How to respond to a failure.
#[derive(Debug, PartialEq, Eq)]
pub(super) struct Failure {
    pub retry_at: Instant,
    /// Whether to log it, as the first failure of its kind in this outage.
    pub report: bool,
}

/// An outage that is over.
#[derive(Debug, PartialEq, Eq)]
pub(super) struct Recovery {
    /// Time from the first failure until the start that succeeded.
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
        Failure { retry_at: now + self.backoff.next_pause(random), report }
    }

    /// Records that the member was started.
    pub fn started(&mut self, now: Instant) {
        if let Some(ongoing) = &mut self.ongoing {
            ongoing.running_since = Some(now);
        }
    }

    /// Whether an outage is ongoing; the member may be running again already.
    pub fn is_ongoing(&self) -> bool {
        self.ongoing.is_some()
    }

    /// Ends the outage and returns its figures if the member has run for long enough, otherwise `None`.
    pub fn recovered(&mut self, now: Instant) -> Option<Recovery> {
        let ongoing = self.ongoing.as_ref()?;
        let running_since = ongoing.running_since.filter(|since| now - *since >= RECOVERED_AFTER)?;
        let recovery = Recovery { lasted: running_since - ongoing.since, failures: ongoing.failures };
        self.ongoing = None;
        self.backoff.reset();
        Some(recovery)
    }
}

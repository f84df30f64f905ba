//! Decisions of admission control: their inputs, results and counts.

use crate::interface::Span;

/// Identifies a connection. The caller chooses the id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ConnectionId(pub u64);

/// The capacity of the process when a new connection is accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Capacity {
    /// Number of client connections that are open, without the new one.
    pub clients: usize,
    /// Maximum number of client connections.
    pub max_clients: usize,
    /// Number of descriptors that the process may still open; `None` if it is not known.
    pub free_descriptors: Option<usize>,
}

/// The decision on a new connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The connection is accepted. It is counted as open until
    /// [`Admission::remove`](super::Admission::remove).
    Admit,
    /// The connection is rejected: it is closed, or each request on it is rejected.
    Reject {
        /// Cause of the rejection.
        cause: RejectionCause,
        /// Time that the client should wait before it connects again.
        retry_after: Span,
    },
}

/// Why a connection is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum RejectionCause {
    /// Its address has reached the cap on open connections.
    Address,
    /// Its prefix has reached the cap on open connections.
    Prefix,
    /// Its address or prefix opens connections faster than its rate allows.
    Rate,
    /// The remaining client connections are reserved for known addresses.
    Reserve,
    /// The remaining descriptors are reserved for connections to table caches, parents and the origin.
    Descriptors,
}

impl RejectionCause {
    /// All causes, in the order of declaration.
    pub const ALL: [RejectionCause; 5] = [
        RejectionCause::Address,
        RejectionCause::Prefix,
        RejectionCause::Rate,
        RejectionCause::Reserve,
        RejectionCause::Descriptors,
    ];

    /// Returns the code of the cause in log lines and metrics.
    pub fn code(self) -> &'static str {
        match self {
            RejectionCause::Address => "address",
            RejectionCause::Prefix => "prefix",
            RejectionCause::Rate => "rate",
            RejectionCause::Reserve => "reserve",
            RejectionCause::Descriptors => "descriptors",
        }
    }
}

/// A rejection, before its Retry-After is computed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Rejection {
    pub cause: RejectionCause,
    /// Time until the client gets a token of its rate; zero for other causes.
    pub wait: Span,
}

impl Rejection {
    /// Returns a rejection for a cause for which no waiting time is known.
    pub(super) fn without_wait(cause: RejectionCause) -> Self {
        Rejection { cause, wait: Span::ZERO }
    }
}

/// Counts of the decisions of admission control since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AdmissionCounts {
    /// Number of connections that were accepted.
    pub admitted: u64,
    /// Number of connections that came into good standing.
    pub good: u64,
    rejected: [u64; RejectionCause::ALL.len()],
}

impl AdmissionCounts {
    /// Returns the number of connections that were rejected for a cause.
    pub fn rejected(&self, cause: RejectionCause) -> u64 {
        self.rejected[cause as usize]
    }

    /// Counts a connection that was rejected for a cause.
    pub(super) fn add_rejected(&mut self, cause: RejectionCause) {
        self.rejected[cause as usize] += 1;
    }
}

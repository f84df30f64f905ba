//! What admission control decides, and what it needs to know for that.

use crate::interface::Span;

/// Names a connection to admission control. The caller chooses it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ConnectionId(pub u64);

/// The descriptors that are left as a connection comes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Capacity {
    /// Clients' connections open now, without the new one.
    pub clients: usize,
    /// Clients' connections that the limits allow.
    pub max_clients: usize,
    /// Descriptors that the process may still open, if known.
    pub free_descriptors: Option<usize>,
}

/// What becomes of a new connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// It is accepted, and counted until [`Admission::remove`](super::Admission::remove).
    Admit,
    /// Its requests are rejected.
    Reject {
        /// Why.
        cause: RejectionCause,
        /// How long the client should stay away.
        retry_after: Span,
    },
}

/// Why a connection is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum RejectionCause {
    /// Its address has as many open as it may.
    Address,
    /// Its prefix has as many open as it may.
    Prefix,
    /// Its address, or prefix, opens them faster than its rate.
    Rate,
    /// The remaining capacity is reserved for known clients.
    Reserve,
    /// The remaining descriptors are reserved for connections to table caches.
    Descriptors,
}

impl RejectionCause {
    /// All of them, in their order.
    pub const ALL: [RejectionCause; 5] = [
        RejectionCause::Address,
        RejectionCause::Prefix,
        RejectionCause::Rate,
        RejectionCause::Reserve,
        RejectionCause::Descriptors,
    ];

    /// The code for logs and figures.
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

/// A rejection, before its Retry-After is bounded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Rejection {
    pub cause: RejectionCause,
    /// How long the client has to wait for a token of its rate; zero for other causes.
    pub wait: Span,
}

impl Rejection {
    /// A rejection whose end is not known.
    pub(super) fn without_wait(cause: RejectionCause) -> Self {
        Rejection { cause, wait: Span::ZERO }
    }
}

/// What admission control has decided so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AdmissionCounts {
    /// Connections accepted.
    pub admitted: u64,
    /// Connections that came into good standing.
    pub good: u64,
    rejected: [u64; RejectionCause::ALL.len()],
}

impl AdmissionCounts {
    /// Connections rejected for a cause.
    pub fn rejected(&self, cause: RejectionCause) -> u64 {
        self.rejected[cause as usize]
    }

    /// Counts a rejected connection.
    pub(super) fn add_rejected(&mut self, cause: RejectionCause) {
        self.rejected[cause as usize] += 1;
    }
}

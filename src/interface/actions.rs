//! What a router wants done.

use super::{FillAttempt, RequestId, ServerId, Span};

/// Something that a router wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// An attempt that the server answers only from its cache.
    SendCacheOnly {
        /// The request.
        request: RequestId,
        /// The server.
        server: ServerId,
        /// The attempt's time-out; zero: until the client stops waiting.
        timeout: Span,
    },
    /// An attempt whose server may fetch what it does not hold.
    SendWithFill(FillAttempt),
    /// Final answer: rejected; a retry does no harm.
    Reject {
        /// The request.
        request: RequestId,
        /// How long the client should wait; zero: no advice.
        retry_after: Span,
        /// Why it is rejected.
        reason: RejectionReason,
    },
    /// Final answer: failed; it may have run.
    Fail(RequestId),
    /// Cancel one attempt.
    Cancel {
        /// The request.
        request: RequestId,
        /// The attempt's number.
        attempt: u8,
    },
    /// Set a timer for [`Event::Timer`](super::Event::Timer).
    Timer {
        /// Comes back with the event.
        token: u32,
        /// From now.
        after: Span,
    },
    /// Send a server a health check.
    HealthCheck(ServerId),
    /// Close idle connections to a server.
    CloseIdleConnections(ServerId),
    /// Send a message to one router, or to all (`None`).
    SendToPeer {
        /// The receiver's number.
        to: Option<u16>,
        /// The message, 256 bytes at most.
        bytes: Vec<u8>,
    },
    /// A line for the operators.
    Log(String),
    /// Subscribe to watch events of the endpoint list, or end the subscription.
    WatchEndpoints(bool),
    /// Poll once for the whole endpoint list.
    PollEndpoints,
}

/// Why a request is rejected. [`RejectionReason::ALL`] has the reasons in the order of their numbers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RejectionReason {
    /// No server that may be sent the request is ready, or none that is left keeps the rules.
    NoServer,
    /// Its home cache is overloaded: it would be late there.
    Overloaded,
    /// The servers that could serve it are in slow start, and their budget is spent.
    SlowStart,
    /// Too many fetches are in flight already.
    FetchLimit,
    /// The retry budget is spent.
    RetryBudget,
    /// It has had its attempts, or failed at too many servers.
    AttemptsExhausted,
    /// Its deadline has passed.
    DeadlineExceeded,
    /// The edge proxy itself is full, or shuts down: the router was not asked.
    ProxyFull,
}

impl RejectionReason {
    /// How many reasons there are.
    pub const COUNT: usize = 8;

    /// All of them.
    pub const ALL: [RejectionReason; Self::COUNT] = [
        RejectionReason::NoServer,
        RejectionReason::Overloaded,
        RejectionReason::SlowStart,
        RejectionReason::FetchLimit,
        RejectionReason::RetryBudget,
        RejectionReason::AttemptsExhausted,
        RejectionReason::DeadlineExceeded,
        RejectionReason::ProxyFull,
    ];

    /// Its name in the operators' figures (`refused.NAME` of `/stats`).
    pub fn metric_name(self) -> &'static str {
        match self {
            RejectionReason::NoServer => "no_server",
            RejectionReason::Overloaded => "crowd",
            RejectionReason::SlowStart => "cold",
            RejectionReason::FetchLimit => "fetches",
            RejectionReason::RetryBudget => "retries",
            RejectionReason::AttemptsExhausted => "attempts",
            RejectionReason::DeadlineExceeded => "late",
            RejectionReason::ProxyFull => "full",
        }
    }
}

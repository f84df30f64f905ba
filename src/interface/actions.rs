//! The outputs of a router, which the program carries out.

use super::{FillAttempt, RequestId, ServerId, Span};

/// An instruction of the router to the program.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt that the server answers only from its cache.
    SendCacheOnly {
        /// The request that the attempt belongs to.
        request: RequestId,
        /// The server to send it to.
        server: ServerId,
        /// The attempt timeout; zero means until the client stops waiting.
        timeout: Span,
    },
    /// Send an attempt whose server may fetch an object that it has not cached.
    SendWithFill(FillAttempt),
    /// Give the final answer "rejected": the request has not run, or may be repeated, so a retry does no harm.
    Reject {
        /// The request that is answered.
        request: RequestId,
        /// How long the client should wait before a retry; zero means no advice.
        retry_after: Span,
        /// Why the request is rejected.
        reason: RejectionReason,
    },
    /// Give the final answer "failed": the request may have run.
    Fail(RequestId),
    /// Cancel one attempt of a request.
    Cancel {
        /// The request that the attempt belongs to.
        request: RequestId,
        /// The attempt's number, from 0 in the order of sending.
        attempt: u8,
    },
    /// Set a timer for [`Event::Timer`](super::Event::Timer).
    Timer {
        /// Returned with the event; identifies the timer.
        token: u32,
        /// Time from now until the timer expires.
        after: Span,
    },
    /// Send a server a health check.
    HealthCheck(ServerId),
    /// Close idle connections to a server.
    CloseIdleConnections(ServerId),
    /// Send a message to other routers.
    SendToPeer {
        /// Number of the receiving router; `None` means all routers.
        to: Option<u16>,
        /// The message, at most 256 bytes.
        bytes: Vec<u8>,
    },
    /// Write a line to the log.
    Log(String),
    /// Subscribe to watch events of the endpoint list (`true`), or end the subscription (`false`).
    WatchEndpoints(bool),
    /// Poll the discovery service once for the whole endpoint list.
    PollEndpoints,
}

/// Why a request is rejected. [`RejectionReason::ALL`] lists the reasons in the order of their discriminants.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RejectionReason {
    /// No server that may be sent the request is ready, or the rules forbid every server that is left.
    NoServer,
    /// The object's home cache is overloaded: the request is predicted to miss its latency objective there.
    Overloaded,
    /// The servers that could serve the request are in slow start, and their warm-up budget is spent.
    SlowStart,
    /// The origin fetch limit is reached.
    FetchLimit,
    /// The request would need a retry, and the retry budget is spent.
    RetryBudget,
    /// The request has used all its attempts, or failed at too many servers.
    AttemptsExhausted,
    /// The request's deadline has passed.
    DeadlineExceeded,
    /// The edge proxy is full or shutting down; the request was rejected without a decision of the router.
    ProxyFull,
}

impl RejectionReason {
    /// Number of reasons.
    pub const COUNT: usize = 8;

    /// All reasons, in the order of their discriminants.
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

    /// Returns the reason's name in the metrics (`refused.NAME` of `/stats`).
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

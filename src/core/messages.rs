//! The types that the core and the program around it exchange: requests, answers, ends of attempts, and commands.

use super::{AttemptKey, RequestKey};
use crate::interface::{
    AttemptResult, CacheStatus, ClassId, GroupId, Instant, ObjectId, RejectionReason, ServerId, Span,
};
use bytes::Bytes;

/// A client's request, as the program submits it.
#[derive(Clone, Debug, PartialEq)]
pub struct ClientRequest {
    /// The class of the request.
    pub class: ClassId,
    /// The requested object.
    pub object: ObjectId,
    /// Number of the requested part of the object.
    pub part: u32,
    /// The object's group, for purges of the whole group.
    pub group: GroupId,
    /// How long the client waits, from the submission of the request.
    pub timeout: Span,
    /// When the client's credential expires; `None` means never. From then on the request is denied, unless its answer
    /// has begun.
    pub authorized_until: Option<Instant>,
}

/// A copy of an object, as a server sent it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CachedCopy {
    /// The bytes of the copy; empty if the client's own copy is current.
    pub body: Bytes,
    /// The copy's entity tag.
    pub etag: String,
    /// When the origin generated the copy, in Unix milliseconds; 0 if unknown.
    pub generated_at_ms: u64,
    /// Whether the client's own copy is current, so that no body is sent.
    pub not_modified: bool,
}

/// The final answer to a request; each request gets exactly one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FinalAnswer {
    /// Served with a copy.
    Served(CachedCopy),
    /// Rejected: a retry does no harm, after the advised wait.
    Rejected {
        /// How long the client should wait before a retry; zero means no advice.
        retry_after: Span,
        /// Whether the request's deadline had passed.
        timed_out: bool,
        /// Why the request was rejected.
        reason: RejectionReason,
    },
    /// Failed: the request may have run.
    Failed {
        /// Whether the request's deadline had passed.
        timed_out: bool,
    },
    /// Denied: the client's credential expired before the answer began.
    Denied,
}

impl FinalAnswer {
    /// Returns the name of the answer's kind in log lines.
    pub(super) fn name(&self) -> &'static str {
        match self {
            FinalAnswer::Served(_) => "served",
            FinalAnswer::Rejected { .. } => "rejected",
            FinalAnswer::Failed { .. } => "failed",
            FinalAnswer::Denied => "denied",
        }
    }
}

/// How an attempt ended, as seen on its connection.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptEnd {
    /// What the end proves about the request.
    pub result: AttemptResult,
    /// How the answer was produced; `None` if the server did not state it.
    pub cache_status: Option<CacheStatus>,
    /// How long the fill waited for its first byte; zero if unknown.
    pub fill_wait: Span,
    /// How long the transfer of the answer takes at top speed; zero if unknown.
    pub transfer_time: Span,
    /// The values of the server's load report; empty if none came.
    pub load_report: Vec<f32>,
    /// The copy that was received; empty unless the result is [`AttemptResult::Ok`].
    pub copy: CachedCopy,
}

impl AttemptEnd {
    /// Creates an end of which only the result is known.
    pub fn without_details(result: AttemptResult) -> Self {
        AttemptEnd {
            result,
            cache_status: None,
            fill_wait: Span::ZERO,
            transfer_time: Span::ZERO,
            load_report: Vec::new(),
            copy: CachedCopy::default(),
        }
    }
}

/// The request that an attempt sends to its server; determined when the attempt is written.
#[derive(Clone, Debug, PartialEq)]
pub struct OutgoingAttempt {
    /// The request that the attempt belongs to.
    pub request: RequestKey,
    /// Number of the requested part of the object.
    pub part: u32,
    /// The fill source on a miss; `None` if the server has none.
    pub fill_source: Option<ServerId>,
    /// The rank at which the server caches the copy, 1 to 3; 0 means that it does not cache the copy.
    pub cache_rank: u8,
    /// The greatest age of an acceptable copy; zero means the class's freshness.
    pub max_age: Span,
    /// Whether the attempt may join a fill that is already in flight.
    pub join_fill: bool,
    /// Whether the fill source answers only from its cache.
    pub only_if_cached: bool,
    /// Whether the parent passes the object through without caching a copy.
    pub bypass_parent_cache: bool,
    /// Whether the server may serve an ageing copy and refresh it in the background.
    pub stale_while_revalidate: bool,
    /// Time left until the attempt times out.
    pub timeout: Span,
}

/// An instruction of the core to the program.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Write an attempt as soon as a connection can take it. [`Core::write_attempt`](super::Core::write_attempt)
    /// returns what to write.
    SendAttempt {
        /// The attempt to write.
        attempt: AttemptKey,
        /// The request that the attempt belongs to.
        request: RequestKey,
        /// The server to send it to.
        server: ServerId,
    },
    /// Abandon an attempt; its end need not be reported to the core.
    AbandonAttempt(AttemptKey),
    /// Answer a request whose final answer is known. [`Core::current_answer`](super::Core::current_answer) returns the
    /// answer, and [`Core::answer_begun`](super::Core::answer_begun) ends the request.
    AnswerRequest(RequestKey),
    /// Send a server a health check and report its result by [`Core::health_checked`](super::Core::health_checked).
    HealthCheck(ServerId),
    /// Close idle connections to a server.
    CloseIdleConnections(ServerId),
    /// Write a line to the log.
    Log(String),
}

//! What passes between the core and the program around it: requests, answers, ends of attempts, and commands.

use super::{AttemptKey, RequestKey};
use crate::interface::{
    AttemptResult, CacheStatus, ClassId, GroupId, Instant, ObjectId, RejectionReason, ServerId, Span,
};
use bytes::Bytes;

/// A client's request, as a front submits it.
#[derive(Clone, Debug, PartialEq)]
pub struct ClientRequest {
    /// Its class.
    pub class: ClassId,
    /// The object.
    pub object: ObjectId,
    /// Which part of it.
    pub part: u32,
    /// The object's group.
    pub group: GroupId,
    /// How long the client still waits.
    pub timeout: Span,
    /// When its credential expires: afterwards it is denied, unless an answer has begun; `None`: never.
    pub authorized_until: Option<Instant>,
}

/// A copy of an object, as a server sent it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CachedCopy {
    /// The bytes; empty where the client's own copy is current.
    pub body: Bytes,
    /// Its entity tag.
    pub etag: String,
    /// When the origin generated it, in Unix milliseconds; 0: unknown.
    pub generated_at_ms: u64,
    /// Whether the client's own copy is current.
    pub not_modified: bool,
}

/// A request's one final answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FinalAnswer {
    /// Served with a copy.
    Served(CachedCopy),
    /// Rejected: a retry is harmless, after the advised wait.
    Rejected {
        /// How long the client should wait; zero: no advice.
        retry_after: Span,
        /// Whether its deadline had passed.
        timed_out: bool,
        /// Why it was rejected.
        reason: RejectionReason,
    },
    /// Failed; it may have run.
    Failed {
        /// Whether its deadline had passed.
        timed_out: bool,
    },
    /// The client's credential expired before the answer began.
    Denied,
}

impl FinalAnswer {
    /// Its name in the log.
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
    /// The result.
    pub result: AttemptResult,
    /// How the answer came about.
    pub cache_status: Option<CacheStatus>,
    /// How long the fill waited for its first byte.
    pub fill_wait: Span,
    /// How long the answer's bytes take at top speed; zero: unknown.
    pub transfer_time: Span,
    /// The load report.
    pub load_report: Vec<f32>,
    /// The copy, with [`AttemptResult::Ok`].
    pub copy: CachedCopy,
}

impl AttemptEnd {
    /// An end of which only the result is known.
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

/// What an attempt asks its server for, at the moment of its writing.
#[derive(Clone, Debug, PartialEq)]
pub struct OutgoingAttempt {
    /// The request.
    pub request: RequestKey,
    /// The part of its object.
    pub part: u32,
    /// Who fills a miss; `None`: nobody.
    pub fill_source: Option<ServerId>,
    /// The rank at which the copy is cached.
    pub cache_rank: u8,
    /// The oldest copy that will do; zero: the class's fresh time.
    pub max_age: Span,
    /// Join a fill that is in flight.
    pub join_fill: bool,
    /// The fill source answers only from its cache.
    pub only_if_cached: bool,
    /// The parent caches no copy.
    pub bypass_parent_cache: bool,
    /// Serve an ageing copy and refresh it in the background.
    pub stale_while_revalidate: bool,
    /// How long the client waits for the answer.
    pub timeout: Span,
}

/// What the core wants the program to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Write this attempt as soon as a connection takes it; [`Core::write_attempt`](super::Core::write_attempt)
    /// returns what to write.
    SendAttempt {
        /// The attempt.
        attempt: AttemptKey,
        /// The request.
        request: RequestKey,
        /// The server.
        server: ServerId,
    },
    /// Abandon this attempt: its end is not reported any more.
    AbandonAttempt(AttemptKey),
    /// The request's final answer is known: [`Core::current_answer`](super::Core::current_answer) returns it,
    /// [`Core::answer_begun`](super::Core::answer_begun) ends the request.
    AnswerRequest(RequestKey),
    /// Send a server a health check; its result goes to [`Core::health_checked`](super::Core::health_checked).
    HealthCheck(ServerId),
    /// Close idle connections to a server.
    CloseIdleConnections(ServerId),
    /// A line for the operators.
    Log(String),
}

//! What passes between the core and those around it: requests, answers, ends of attempts, and what is to be done.

use super::{AttemptKey, RequestKey};
use crate::interface::{
    AttemptResult, CacheStatus, ClassId, GroupId, Instant, ObjectId, RejectionReason, ServerId, Span,
};
use bytes::Bytes;

/// A request as a front hands it in.
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
    /// How long the client waits from now.
    pub timeout: Span,
    /// From when on it may get no answer but 'denied', unless one has begun.
    pub authorized_until: Option<Instant>,
}

/// A copy of an object as a server gave it out.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CachedCopy {
    /// The bytes; none where the client's copy is the one.
    pub body: Bytes,
    /// Its tag.
    pub etag: String,
    /// When the origin gave it out, in Unix milliseconds; 0: not told.
    pub generated_at_ms: u64,
    /// Whether the client's own copy is the one.
    pub not_modified: bool,
}

/// A request's one final answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FinalAnswer {
    /// A copy is served.
    Served(CachedCopy),
    /// Refused: trying again is harmless, after the pause.
    Rejected {
        /// How long the client should stay away.
        retry_after: Span,
        /// Whether its time was over.
        timed_out: bool,
        /// What stood in its way.
        reason: RejectionReason,
    },
    /// Failed; promises nothing.
    Failed {
        /// Whether its time was over.
        late: bool,
    },
    /// The client's right to an answer ended before the answer began.
    Denied,
}

impl FinalAnswer {
    /// Its name in the log.
    pub(super) fn name(&self) -> &'static str {
        match self {
            FinalAnswer::Served(_) => "served",
            FinalAnswer::Rejected { .. } => "refused",
            FinalAnswer::Failed { .. } => "failed",
            FinalAnswer::Denied => "denied",
        }
    }
}

/// The final answers that a class's requests got.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AnswerCounts {
    /// Served.
    pub success: u64,
    /// Refused.
    pub overload: u64,
    /// Failed or denied.
    pub error: u64,
}

impl AnswerCounts {
    pub(super) fn count(&mut self, answer: &FinalAnswer) {
        match answer {
            FinalAnswer::Served(_) => self.success += 1,
            FinalAnswer::Rejected { .. } => self.overload += 1,
            FinalAnswer::Failed { .. } | FinalAnswer::Denied => self.error += 1,
        }
    }
}

/// How many requests were rejected for one reason.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RejectionCount {
    /// The reason's name for operators.
    pub reason: &'static str,
    /// The requests.
    pub count: u64,
}

/// How many caches there are.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CacheCounts {
    /// Caches of the list.
    pub listed: usize,
    /// Those of them that the decision module avoids now.
    pub avoided: usize,
}

/// How an attempt ended, as the upstream side saw it.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptEnd {
    /// The ending.
    pub result: AttemptResult,
    /// How the answer came about.
    pub cache_status: Option<CacheStatus>,
    /// How long the fill waited for its first byte.
    pub fill_wait: Span,
    /// How long the answer's bytes take at full pace; 0: not known.
    pub transfer_time: Span,
    /// The load report.
    pub load_report: Vec<f32>,
    /// The copy, with [`AttemptResult::Ok`].
    pub copy: CachedCopy,
}

impl AttemptEnd {
    /// An ending about which nothing more is known.
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

/// An attempt as it is to be written now.
#[derive(Clone, Debug, PartialEq)]
pub struct OutgoingAttempt {
    /// The request.
    pub request: RequestKey,
    /// The part of its object.
    pub part: u32,
    /// Who fills a miss; `None`: nobody.
    pub fill_source: Option<ServerId>,
    /// The rank of the copy.
    pub cache_rank: u8,
    /// The oldest copy that will do; 0: the class's fresh time.
    pub max_age: Span,
    /// Join a fill that is under way.
    pub join_fill: bool,
    /// The source gives only what it holds.
    pub only_if_cached: bool,
    /// The parent keeps no copy.
    pub bypass_parent_cache: bool,
    /// Serve an ageing copy and fetch it anew behind.
    pub stale_while_revalidate: bool,
    /// How long the answer is waited for.
    pub timeout: Span,
}

/// What the core wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Write this attempt as soon as a connection takes it; [`Core::write_attempt`](super::Core::write_attempt) says then what to write.
    SendAttempt {
        /// The attempt.
        attempt: AttemptKey,
        /// The request.
        request: RequestKey,
        /// The server.
        server: ServerId,
    },
    /// Give this attempt up; nothing more is heard of it.
    AbandonAttempt(AttemptKey),
    /// The request's final answer is there: [`Core::answer_now`](super::Core::answer_now) tells it, [`Core::answer_begun`](super::Core::answer_begun) ends it.
    AnswerRequest(RequestKey),
    /// Ask a server for its health; [`Core::health_checked`](super::Core::health_checked) takes the result.
    HealthCheck(ServerId),
    /// Close idle connections to a server.
    CloseIdleConnections(ServerId),
    /// A line for the operators.
    Log(String),
}

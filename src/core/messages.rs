//! What passes between the core and those around it: requests, answers, ends of attempts, and what is to be done.

use super::{AttemptKey, RequestKey};
use crate::interface::{AttemptResult, ClassId, GroupId, Micros, CacheStatus, ObjectId, ServerId, RejectionReason};
use bytes::Bytes;

/// A request as a front hands it in.
#[derive(Clone, Debug, PartialEq)]
pub struct Ask {
    /// Its class.
    pub class: ClassId,
    /// The object.
    pub object: ObjectId,
    /// Which part of it.
    pub part: u32,
    /// The object's group.
    pub group: GroupId,
    /// How long the client waits from now.
    pub patience: Micros,
    /// From when on it may get no answer but 'denied', unless one has begun.
    pub expires: Option<Micros>,
}

/// A copy of an object as a server gave it out.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Copy {
    /// The bytes; none where the client's copy is the one.
    pub bytes: Bytes,
    /// Its tag.
    pub tag: String,
    /// When the origin gave it out, in Unix milliseconds; 0: not told.
    pub born: u64,
    /// Whether the client's own copy is the one.
    pub same: bool,
}

/// A request's one final answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Final {
    /// A copy is served.
    Served(Copy),
    /// Refused: trying again is harmless, after the pause.
    Refused {
        /// How long the client should stay away.
        pause: Micros,
        /// Whether its time was over.
        late: bool,
        /// What stood in its way.
        why: RejectionReason,
    },
    /// Failed; promises nothing.
    Failed {
        /// Whether its time was over.
        late: bool,
    },
    /// The client's right to an answer ended before the answer began.
    Denied,
}

impl Final {
    /// Its name in the log.
    pub(super) fn name(&self) -> &'static str {
        match self {
            Final::Served(_) => "served",
            Final::Refused { .. } => "refused",
            Final::Failed { .. } => "failed",
            Final::Denied => "denied",
        }
    }
}

/// The final answers that a class's requests got.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Answered {
    /// Served.
    pub success: u64,
    /// Refused.
    pub overload: u64,
    /// Failed or denied.
    pub error: u64,
}

impl Answered {
    pub(super) fn count(&mut self, answer: &Final) {
        match answer {
            Final::Served(_) => self.success += 1,
            Final::Refused { .. } => self.overload += 1,
            Final::Failed { .. } | Final::Denied => self.error += 1,
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
pub struct End {
    /// The ending.
    pub result: AttemptResult,
    /// How the answer came about.
    pub note: Option<CacheStatus>,
    /// How long the fill waited for its first byte.
    pub waited: Micros,
    /// How long the answer's bytes take at full pace; 0: not known.
    pub sending: Micros,
    /// The load report.
    pub load: Vec<f32>,
    /// The copy, with [`AttemptResult::Ok`].
    pub copy: Copy,
}

impl End {
    /// An ending about which nothing more is known.
    pub fn bare(result: AttemptResult) -> Self {
        End { result, note: None, waited: 0, sending: 0, load: Vec::new(), copy: Copy::default() }
    }
}

/// An attempt as it is to be written now.
#[derive(Clone, Debug, PartialEq)]
pub struct Order {
    /// The request.
    pub request: RequestKey,
    /// The part of its object.
    pub part: u32,
    /// Who fills a miss; `None`: nobody.
    pub source: Option<ServerId>,
    /// The rank of the copy.
    pub rank: u8,
    /// The oldest copy that will do; 0: the class's fresh time.
    pub max_age: Micros,
    /// Join a fill that is under way.
    pub join: bool,
    /// The source gives only what it holds.
    pub only_held: bool,
    /// The parent keeps no copy.
    pub no_parent_copy: bool,
    /// Serve an ageing copy and fetch it anew behind.
    pub renew: bool,
    /// How long the answer is waited for.
    pub limit: Micros,
}

/// What the core wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Write this attempt as soon as a connection takes it; [`Core::launch`] says then what to write.
    Send {
        /// The attempt.
        attempt: AttemptKey,
        /// The request.
        request: RequestKey,
        /// The server.
        server: ServerId,
    },
    /// Give this attempt up; nothing more is heard of it.
    Drop(AttemptKey),
    /// The request's final answer is there: [`Core::answer_now`] tells it, [`Core::answer_begun`] ends it.
    Answer(RequestKey),
    /// Ask a server for its health; [`Core::probed`] takes the result.
    Probe(ServerId),
    /// Close idle connections to a server.
    CloseIdle(ServerId),
    /// A line for the operators.
    Log(String),
}

//! Clients' requests and their classes.

use super::{ClassId, GroupId, ObjectId, RequestId, Span};

/// A client's request for one part of an object.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// Names the request in the actions and events that concern it.
    pub id: RequestId,
    /// The class, which sets the objective, the deadline and the caching rules.
    pub class: ClassId,
    /// Number of the tenant that sends the request; 0 where the program has no tenants.
    pub tenant: u16,
    /// The requested object.
    pub object: ObjectId,
    /// Number of the requested part of the object; parts are cached separately.
    pub part: u32,
    /// The object's group, for purges of the whole group.
    pub group: GroupId,
    /// How long the client waits for an answer to this request.
    pub client_timeout: Span,
    /// Size of the answer in KB; 0 if it is unknown.
    pub size_kb: f64,
    /// Whether the client marked the request as a retry.
    pub is_retry: bool,
    /// Whether the request writes.
    pub is_write: bool,
}

/// The rules for a class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// The latency objective: an answer within this time earns the full priority weight.
    pub latency_objective: Span,
    /// Multiple of the request's own transfer time that is added to the latency objective.
    pub objective_stretch: f64,
    /// Longest time that a client waits, including its own retries.
    pub client_deadline: Span,
    /// The value of one request that is answered within its objective.
    pub priority_weight: f64,
    /// Whether a request may run more than once.
    pub idempotency: Idempotency,
    /// With [`Idempotency::WithKey`]: the servers that recognise and drop repeats.
    pub dedup_scope: DedupScope,
    /// With [`Idempotency::WithKey`]: how long the servers drop repeats.
    pub dedup_window: Span,
    /// How long a cached copy is fresh; zero means until it is purged.
    pub fresh_for: Span,
    /// How long after its freshness ends a copy may still be served stale.
    pub stale_for: Span,
    /// Whether the class is never cached: all its requests run at the origin.
    pub uncached: bool,
    /// Whether newer settings have dropped the class or changed its rules. A retired class is kept for the requests
    /// that were open at that time and gets no new ones.
    pub retired: bool,
}

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// A request may be repeated freely.
    Always,
    /// A request may be repeated with its idempotency key, among the servers of [`Class::dedup_scope`] and within
    /// [`Class::dedup_window`].
    WithKey,
    /// A request must not be repeated, since a repeat would have its effect a second time.
    Never,
}

/// The servers that drop repeats of a request with an idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DedupScope {
    /// All servers drop each other's repeats.
    All,
    /// Servers of the same zone drop each other's repeats.
    Zone,
    /// Servers of the same cell drop each other's repeats.
    Cell,
}

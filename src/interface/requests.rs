//! Clients' requests and their classes.

use super::{ClassId, GroupId, ObjectId, RequestId, Span};

/// A client's request.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// Its id.
    pub id: RequestId,
    /// Its class.
    pub class: ClassId,
    /// Its tenant.
    pub tenant: u16,
    /// The object.
    pub object: ObjectId,
    /// Which part of it.
    pub part: u32,
    /// The object's group.
    pub group: GroupId,
    /// How long the client waits for an answer to this request.
    pub client_timeout: Span,
    /// Size in KB; 0 where it is unknown.
    pub size_kb: f64,
    /// Whether the client marked it as a retry.
    pub is_retry: bool,
    /// Whether it writes.
    pub is_write: bool,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// An answer within this time earns the full priority weight.
    pub latency_objective: Span,
    /// The objective grows by this multiple of the request's own transfer time.
    pub objective_stretch: f64,
    /// The longest that a client waits, its own retries included.
    pub client_deadline: Span,
    /// The value of one request in time.
    pub priority_weight: f64,
    /// Whether a request may run more than once.
    pub idempotency: Idempotency,
    /// For [`Idempotency::WithKey`]: the servers that drop repeats.
    pub dedup_scope: DedupScope,
    /// For [`Idempotency::WithKey`]: how long repeats are dropped.
    pub dedup_window: Span,
    /// How long a cached copy is fresh; zero: until it is purged.
    pub fresh_for: Span,
    /// How long past its fresh time a copy may still be served stale.
    pub stale_for: Span,
    /// Whether the class is never cached and always runs at the origin.
    pub uncached: bool,
    /// New settings have dropped the class or changed its rules: its only requests are those that were open then.
    pub retired: bool,
}

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// It may be repeated freely.
    Always,
    /// It may be repeated with its idempotency key, within the servers and the time that drop repeats.
    WithKey,
    /// A repeat has the effect a second time.
    Never,
}

/// The servers that drop repeats of a request with an idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DedupScope {
    /// All of them.
    All,
    /// Those of one zone.
    Zone,
    /// Those of one cell.
    Cell,
}

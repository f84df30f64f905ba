//! The types that pass between a router program and the decision module: settings, events, actions.
//!
//! Times are integer microseconds on one clock that only goes forward; its zero has no meaning.

/// A time or a span, in microseconds.
pub type Micros = i64;

/// A client's request; never used twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);
/// A cache, a parent or the origin.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServerId(pub u32);
/// An object; all its parts share the id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ObjectId(pub u64);
/// A group of objects that may be purged together.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct GroupId(pub u32);
/// A class of requests, by its place in [`Settings::classes`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClassId(pub u16);
/// A zone (a location or a hub), by its place in the settings' lists.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ZoneId(pub u16);

/// Everything that a router is told at its start.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Routers in the deployment, this one included.
    pub routers: u32,
    /// This router's number among them.
    pub ordinal: u32,
    /// This router's zone.
    pub zone: ZoneId,
    /// Routers by zone.
    pub routers_by_zone: Vec<u32>,
    /// The hub of each zone.
    pub hub_by_zone: Vec<ZoneId>,
    /// What each zone's link for fills carries, KB a second; 0 where it is not told.
    pub zone_link_kb_per_s: Vec<f64>,
    /// Top pace of one answer, KB a second; the unit of the servers' weights.
    pub transfer_kb_per_s: f64,
    /// Whether a server's weight tells its link; else it says nothing, and what a link bears is learned.
    pub weights_state_links: bool,
    /// The classes of requests.
    pub classes: Vec<Class>,
    /// Which kind of machine is a parent, if there are parents.
    pub parent_kind: Option<u16>,
    /// Which kind of machine is the origin.
    pub origin_kind: u16,
    /// Whether requests may go straight to a parent or the origin.
    pub direct_to_source: bool,
    /// Whether a request may join a fill that is under way.
    pub join_fills: bool,
    /// Which caches may be the source of a fill.
    pub sibling_sources: SiblingSources,
    /// What answers tell of how they came about.
    pub cache_status_detail: CacheStatusDetail,
    /// Whether list changes come only after [`Action::Watch`] or [`Action::Fetch`].
    pub polls_discovery: bool,
    /// What the site permits.
    pub limits: SiteLimits,
    /// The figures of the rules.
    pub protection: ProtectionRules,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// An answer within this time earns the full worth.
    pub latency_objective: Micros,
    /// The target grows by this multiple of the request's own sending time.
    pub objective_stretch: f64,
    /// The longest that a client waits over all tries.
    pub client_deadline: Micros,
    /// The worth of one request.
    pub priority_weight: f64,
    /// What a repeat does.
    pub idempotency: Idempotency,
    /// For [`Effect::Keyed`]: the servers that drop repeats.
    pub dedup_scope: DedupScope,
    /// For [`Effect::Keyed`]: how long repeats are dropped.
    pub dedup_window: Micros,
    /// How long a copy is fresh; 0: until it is purged.
    pub fresh_for: Micros,
    /// How long past its fresh time a copy may still be served.
    pub stale_for: Micros,
    /// Whether the class is never kept and always runs at the origin.
    pub uncached: bool,
    /// New settings have dropped it or changed its rules: it has no requests but those that were open then.
    pub retired: bool,
}

/// What a repeat of a request does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// Nothing: it may be repeated freely.
    Always,
    /// Nothing within the servers and the time that drop repeats.
    WithKey,
    /// The effect a second time.
    Never,
}

/// The servers that drop repeats of a keyed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DedupScope {
    /// All of them.
    All,
    /// Those of one zone.
    Zone,
    /// Those of one cell.
    Cell,
}

/// Which caches may be the source of a fill.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SiblingSources {
    /// No cache.
    None,
    /// Caches of the same location.
    SameLocation,
    /// Any cache.
    Any,
}

/// What answers tell of how they came about.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CacheStatusDetail {
    /// All that [`Note`] has.
    All,
    /// Hits, fills, joins and old copies.
    Hit,
    /// Nothing.
    None,
}

/// What a site permits.
#[derive(Clone, Debug, PartialEq)]
pub struct SiteLimits {
    /// Attempts for one request.
    pub max_attempts: u32,
    /// Whether a request may have two attempts out at a time.
    pub parallel_attempts: bool,
    /// Whether attempts may be cancelled.
    pub cancellation: bool,
    /// Whether servers may be probed.
    pub health_checks: bool,
    /// Whether routers may send each other messages.
    pub peer_messages: bool,
    /// Whether clients are told when to come back.
    pub retry_after: bool,
    /// The longest such wait that a client obeys.
    pub max_retry_after: Micros,
}

/// The figures of the rules.
#[derive(Clone, Debug, PartialEq)]
pub struct ProtectionRules {
    /// The part of its capacity with which a cache starts, at least.
    pub initial_share: f64,
    /// When a cache is warm at the latest.
    pub full_after: Micros,
    /// A cold cache falls over at this multiple of its present capacity...
    pub overload_multiple: f64,
    /// ...kept up for this long; the span holds for parents too.
    pub overload_window: Micros,
    /// The part of its link with which a parent starts, at least.
    pub parent_initial_share: f64,
    /// When a parent is warm at the latest.
    pub parent_full_after: Micros,
    /// The multiple at which a cold parent falls over.
    pub parent_overload_multiple: f64,
    /// From this long after a purge was told, no older copy may be served.
    pub purge_grace: Micros,
    /// By this long after a purge, all servers have dropped older copies.
    pub purge_settled_after: Micros,
    /// Where discovery must be asked: the longest a list may stand without asking.
    pub max_list_age: Micros,
}

/// Something that a router is told.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// News of the list of servers.
    EndpointList {
        /// How the entries are to be read.
        update: ListUpdate,
        /// The entries.
        endpoints: Vec<Endpoint>,
    },
    /// A client's request; the router owes it one final answer.
    Request(Request),
    /// A streamed answer has started; its attempt can no longer be replaced.
    FirstByte {
        /// The request.
        request: RequestId,
        /// The attempt's number.
        attempt: u8,
        /// The server.
        server: ServerId,
        /// Time since the send.
        elapsed: Micros,
    },
    /// How an attempt ended.
    AttemptEnded(AttemptOutcome),
    /// The client has left; nothing more is owed.
    RequestCancelled(RequestId),
    /// A timer is due.
    Timer(u32),
    /// What a probe found.
    HealthChecked {
        /// The server.
        server: ServerId,
        /// How it went.
        result: AttemptResult,
        /// Time since the probe was sent.
        elapsed: Micros,
        /// The load report, if one came.
        load: Vec<f32>,
    },
    /// A message of another router.
    PeerMessage {
        /// The sender's number.
        from: u16,
        /// The message.
        bytes: Vec<u8>,
    },
    /// A purge was made.
    Purged {
        /// What was purged.
        purge: Purge,
        /// How long ago.
        age: Micros,
    },
}

/// What a purge names.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Purge {
    /// One object with all its parts.
    Object(ObjectId),
    /// All objects of a group.
    Group(GroupId),
}

/// How a list of servers is to be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListUpdate {
    /// The whole list as it was had last; it may be old.
    Cached,
    /// The whole list.
    Rejected,
    /// Changed entries only.
    Delta,
    /// A call for the list failed; the old one stays.
    Failed,
}

/// One server of the list.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Endpoint {
    /// The server.
    pub server: ServerId,
    /// Its last start; `None`: long ago.
    pub started_at: Option<Micros>,
    /// Its size; for caches and parents the link in full-pace answers.
    pub weight: f64,
    /// Kind of machine.
    pub kind: u16,
    /// The cell that it belongs to.
    pub cell: u16,
    /// The zone that it stands in.
    pub zone: ZoneId,
    /// What it may be used for.
    pub state: ServerState,
}

/// What a listed server may be used for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ServerState {
    /// Takes work.
    #[default]
    Ready,
    /// Finishes what it has.
    Draining,
    /// Removed.
    Removed,
}

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
    /// Time until the client gives this try up.
    pub client_timeout: Micros,
    /// Size in KB; 0 where it is not told.
    pub size_kb: f64,
    /// Whether the client marked it as a repeat.
    pub is_retry: bool,
    /// Whether it writes.
    pub is_write: bool,
}

/// How an attempt ended.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptOutcome {
    /// The request.
    pub request: RequestId,
    /// The attempt's number, from 0 in the order of sending.
    pub attempt: u8,
    /// The server.
    pub server: ServerId,
    /// The ending.
    pub result: AttemptResult,
    /// How the answer came about, where that is told.
    pub cache_status: Option<CacheStatus>,
    /// Time since the send.
    pub elapsed: Micros,
    /// How long the fill waited for its first byte, where that is told.
    pub fill_wait: Micros,
    /// How long the answer's bytes take at full pace; 0 where that is not known.
    pub transfer_time: Micros,
    /// Whether the request is over.
    pub finished: bool,
    /// The load report, if one came.
    pub load_report: Vec<f32>,
}

/// The ending of an attempt or a probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptResult {
    /// Served.
    Ok,
    /// The server failed; it may have run.
    Error,
    /// Not taken, by the server or its source; it never ran.
    Full,
    /// No answer in time; it may have run.
    Timeout,
    /// No connection; it never ran.
    ConnectFailed,
    /// The connection broke; it may have run.
    Reset,
    /// Called off; it may have run.
    Cancelled,
    /// Never sent.
    NotSent,
    /// Nothing suitable held; it never ran.
    Miss,
}

impl AttemptResult {
    /// Whether the ending proves that the attempt never ran.
    pub fn never_ran(self) -> bool {
        matches!(self, Self::Full | Self::ConnectFailed | Self::NotSent | Self::Miss)
    }
}

/// How an answer came about, or why a fill failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CacheStatus {
    /// From a fresh copy.
    Hit,
    /// Filled.
    Filled,
    /// Filled by way of the origin.
    FilledByOrigin,
    /// Joined a fill; with a miss: one is under way.
    Collapsed,
    /// From a copy past its fresh time.
    Stale,
    /// The source refused.
    SourceRejected,
    /// The source was not reached, broke off or ran out of time.
    SourceUnreachable,
    /// The source lacks the object.
    SourceMiss,
    /// No place for a fill at the cache.
    NoFillSlot,
    /// The origin failed behind the parent.
    OriginFailed,
}

/// An attempt that may be filled.
#[derive(Clone, Debug, PartialEq)]
pub struct FillAttempt {
    /// The request.
    pub request: RequestId,
    /// The server.
    pub server: ServerId,
    /// The attempt's time-out; 0: until the client stops waiting.
    pub timeout: Micros,
    /// Who supplies a miss; the server itself: nobody.
    pub source: ServerId,
    /// The rank at which the copy is kept, 1 to 3; 0: pass through.
    pub cache_rank: u8,
    /// The oldest copy that will do; 0: the class's fresh time, or any age.
    pub max_age: Micros,
    /// Wait for a fill that runs already.
    pub join_fill: bool,
    /// The source gives only what it holds.
    pub only_if_cached: bool,
    /// The parent keeps no copy.
    pub bypass_parent_cache: bool,
    /// Serve an ageing copy and fetch it anew behind.
    pub stale_while_revalidate: bool,
}

/// What stands in the way of a request that is refused. [`Why::ALL`] has them in the order of their numbers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RejectionReason {
    /// No server that may be asked is ready, or none that is left keeps the rules.
    NoServer,
    /// Its home is crowded: it is predicted to be late there.
    Overloaded,
    /// What could serve it is cold, and its budget is spent.
    SlowStart,
    /// Too many fetches are out already.
    FetchLimit,
    /// The budget of further attempts is spent.
    RetryBudget,
    /// It has had its attempts, or failed at too many servers.
    AttemptsExhausted,
    /// Its time is over.
    DeadlineExceeded,
    /// The edge proxy itself is full, or stops: the module was not asked.
    Full,
}

impl RejectionReason {
    /// All of them, with their names for operators.
    pub const ALL: [(RejectionReason, &'static str); 8] = [
        (RejectionReason::NoServer, "no_server"),
        (RejectionReason::Overloaded, "crowd"),
        (RejectionReason::SlowStart, "cold"),
        (RejectionReason::FetchLimit, "fetches"),
        (RejectionReason::RetryBudget, "retries"),
        (RejectionReason::AttemptsExhausted, "attempts"),
        (RejectionReason::DeadlineExceeded, "late"),
        (RejectionReason::Full, "full"),
    ];
}

/// Something that a router is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// An attempt that is answered only from what the server holds.
    SendCacheOnly {
        /// The request.
        request: RequestId,
        /// The server.
        server: ServerId,
        /// The attempt's time-out; 0: until the client stops waiting.
        timeout: Micros,
    },
    /// An attempt that may be filled.
    SendWithFill(FillAttempt),
    /// Final answer: refused; trying again does no harm.
    Reject {
        /// The request.
        request: RequestId,
        /// How long the client should wait; 0: no advice.
        retry_after: Micros,
        /// What stood in its way.
        reason: RejectionReason,
    },
    /// Final answer: failed; promises nothing.
    Fail(RequestId),
    /// Call one attempt off.
    Cancel {
        /// The request.
        request: RequestId,
        /// The attempt's number.
        attempt: u8,
    },
    /// Ask for [`Event::Timer`].
    Timer {
        /// Comes back with the event.
        token: u32,
        /// From now.
        after: Micros,
    },
    /// Probe a server.
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
    /// Subscribe to list changes, or end the subscription.
    WatchEndpoints(bool),
    /// Ask once for the whole list.
    PollEndpoints,
}

//! The settings of a router: where it stands, which classes of requests there are, what the site permits, and by which
//! figures servers are protected.

use super::{Class, Span, ZoneId};

/// Everything that a router is configured with.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Where this router and the servers stand.
    pub topology: Topology,
    /// The classes of requests.
    pub classes: Vec<Class>,
    /// What the site permits and offers.
    pub limits: SiteLimits,
    /// The figures by which servers are protected from overload and clients from old copies.
    pub protection: ProtectionRules,
}

/// The routers, zones and links of a deployment.
#[derive(Clone, Debug, PartialEq)]
pub struct Topology {
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
    /// The capacity of each zone's link for fills, KB a second; 0 where it is unknown.
    pub zone_link_kb_per_s: Vec<f64>,
    /// Top speed of one answer's transfer, KB a second; the unit of the servers' weights.
    pub transfer_kb_per_s: f64,
    /// Whether a server's weight states its link's capacity; else the weight says nothing, and capacity is measured.
    pub weights_state_links: bool,
    /// Which kind of machine is a parent, if there are parents.
    pub parent_kind: Option<u16>,
    /// Which kind of machine is the origin.
    pub origin_kind: u16,
}

/// What a site permits, and what its caches and its discovery service offer.
#[derive(Clone, Debug, PartialEq)]
pub struct SiteLimits {
    /// Attempts for one request.
    pub max_attempts: u32,
    /// Whether a request may have two attempts in flight (a hedged request).
    pub parallel_attempts: bool,
    /// Whether attempts may be cancelled.
    pub cancellation: bool,
    /// Whether servers may be sent health checks.
    pub health_checks: bool,
    /// Whether routers may send each other messages.
    pub peer_messages: bool,
    /// Whether rejected clients are told when to come back.
    pub retry_after: bool,
    /// The longest such wait that a client obeys.
    pub max_retry_after: Span,
    /// Whether requests may go straight to a parent or the origin.
    pub direct_to_source: bool,
    /// Whether a request may join a fill that is in flight.
    pub join_fills: bool,
    /// Which caches may be the source of a fill.
    pub sibling_sources: SiblingSources,
    /// What answers state of how they came about.
    pub cache_status_detail: CacheStatusDetail,
    /// Whether the endpoint list comes only after [`Action::WatchEndpoints`](super::Action::WatchEndpoints) or
    /// [`Action::PollEndpoints`](super::Action::PollEndpoints).
    pub polls_discovery: bool,
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

/// What answers state of how they came about.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CacheStatusDetail {
    /// Every [`CacheStatus`](super::CacheStatus).
    Full,
    /// Only hits, fills, collapsed requests and stale copies.
    Served,
    /// Nothing.
    None,
}

/// The figures by which servers are protected from overload and clients from old copies.
#[derive(Clone, Debug, PartialEq)]
pub struct ProtectionRules {
    /// How caches warm up.
    pub cache_slow_start: SlowStartRules,
    /// How parents warm up.
    pub parent_slow_start: SlowStartRules,
    /// Load beyond a warming server's overload multiple makes it fail if it lasts for this long.
    pub overload_window: Span,
    /// From this long after a purge was announced, no older copy may be served.
    pub purge_grace: Span,
    /// By this long after a purge, all servers have dropped older copies.
    pub purge_settled_after: Span,
    /// Where discovery must be polled: the longest that a list may be used without a poll.
    pub max_list_age: Span,
}

/// How a server's capacity grows after its start.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlowStartRules {
    /// The share of its capacity that it has at its start, at least.
    pub initial_share: f64,
    /// When it has its full capacity at the latest.
    pub full_after: Span,
    /// A warming server fails under this multiple of its present capacity, kept up for
    /// [`ProtectionRules::overload_window`].
    pub overload_multiple: f64,
}

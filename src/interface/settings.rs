//! The settings of a router: its zone, the classes of requests, what the site permits, and the rules that protect
//! servers.

use super::{Class, Span, ZoneId};

/// Everything that a router is configured with.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The routers, the zones and their links.
    pub topology: Topology,
    /// The classes of requests; a [`ClassId`](super::ClassId) is an index into this list.
    pub classes: Vec<Class>,
    /// What the site permits a router, and what its caches and its discovery service support.
    pub limits: SiteLimits,
    /// The rules that protect servers from overload and clients from outdated copies.
    pub protection: ProtectionRules,
}

/// The routers, zones and links of a deployment.
#[derive(Clone, Debug, PartialEq)]
pub struct Topology {
    /// Number of routers in the deployment, this one included.
    pub routers: u32,
    /// This router's number among the routers, from 0.
    pub ordinal: u32,
    /// The zone that this router is in.
    pub zone: ZoneId,
    /// Number of routers in each zone; its length is the number of zones.
    pub routers_by_zone: Vec<u32>,
    /// The hub of each zone.
    pub hub_by_zone: Vec<ZoneId>,
    /// Capacity of each zone's link for fills, in KB per second; 0 if it is unknown.
    pub zone_link_kb_per_s: Vec<f64>,
    /// Top speed of the transfer of one answer, in KB per second; the unit of the servers' weights.
    pub transfer_kb_per_s: f64,
    /// Whether the weight of a server is the capacity of its link. Otherwise the weight has no unit, and the capacity
    /// is measured.
    pub weights_state_links: bool,
    /// The kind of machine that is a parent; `None` if there are no parents.
    pub parent_kind: Option<u16>,
    /// The kind of machine that is the origin.
    pub origin_kind: u16,
}

/// What a site permits a router, and what its caches and its discovery service support.
#[derive(Clone, Debug, PartialEq)]
pub struct SiteLimits {
    /// Maximum number of attempts for one request.
    pub max_attempts: u32,
    /// Whether a request may have two attempts in flight (a hedged request).
    pub parallel_attempts: bool,
    /// Whether attempts may be cancelled.
    pub cancellation: bool,
    /// Whether servers may be sent health checks.
    pub health_checks: bool,
    /// Whether routers may send each other messages.
    pub peer_messages: bool,
    /// Whether rejected clients get a Retry-After.
    pub retry_after: bool,
    /// Longest Retry-After that clients obey.
    pub max_retry_after: Span,
    /// Whether requests may be sent directly to a parent or the origin.
    pub direct_to_source: bool,
    /// Whether a request may join a fill that is in flight.
    pub join_fills: bool,
    /// Which caches may be the source of a fill.
    pub sibling_sources: SiblingSources,
    /// How much of their [`CacheStatus`](super::CacheStatus) servers state with an answer.
    pub cache_status_detail: CacheStatusDetail,
    /// Whether the router must request the endpoint list, by [`Action::WatchEndpoints`](super::Action::WatchEndpoints)
    /// or [`Action::PollEndpoints`](super::Action::PollEndpoints); otherwise the list arrives unrequested.
    pub polls_discovery: bool,
}

/// Which caches may be the source of a fill.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SiblingSources {
    /// No cache: fills come only from a parent or the origin.
    None,
    /// Caches of the same location.
    SameLocation,
    /// Any cache.
    Any,
}

/// How much of their [`CacheStatus`](super::CacheStatus) servers state with an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CacheStatusDetail {
    /// Every status.
    Full,
    /// Only hits, fills, collapsed requests and stale copies.
    Served,
    /// No status.
    None,
}

/// The rules that protect servers from overload and clients from outdated copies.
#[derive(Clone, Debug, PartialEq)]
pub struct ProtectionRules {
    /// How the capacity of caches grows after their start.
    pub cache_slow_start: SlowStartRules,
    /// How the capacity of parents grows after their start.
    pub parent_slow_start: SlowStartRules,
    /// A warming server fails if its load exceeds [`SlowStartRules::overload_multiple`] for this long.
    pub overload_window: Span,
    /// How long after the announcement of a purge older copies may still be served.
    pub purge_grace: Span,
    /// How long after a purge all servers have dropped older copies.
    pub purge_settled_after: Span,
    /// Where discovery must be polled: how long an endpoint list may be used without a new poll.
    pub max_list_age: Span,
}

/// How a server's capacity grows after its start.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlowStartRules {
    /// Least share of its capacity that a server has at its start.
    pub initial_share: f64,
    /// Time after its start by which a server has its full capacity.
    pub full_after: Span,
    /// A warming server fails under a load of this multiple of its present capacity that lasts for
    /// [`ProtectionRules::overload_window`].
    pub overload_multiple: f64,
}

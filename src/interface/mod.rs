//! The types that the program and the decision module, [`Router`](crate::Router), exchange: settings, events and
//! actions.
//!
//! - `time`: points in time and spans;
//! - `ids`: identifiers of requests, servers, objects, classes and zones;
//! - `settings`: the topology, the limits of the site, and the rules that protect servers;
//! - `requests`: clients' requests and their classes;
//! - `endpoints`: the endpoint list;
//! - `attempts`: attempts and their outcomes;
//! - `purges`: the objects that a purge concerns;
//! - `events`: the inputs of a router;
//! - `actions`: the outputs of a router, which the program carries out.

mod actions;
mod attempts;
mod endpoints;
mod events;
mod ids;
mod purges;
mod requests;
mod settings;
mod time;

pub use actions::{Action, RejectionReason};
pub use attempts::{AttemptOutcome, AttemptResult, CacheStatus, FillAttempt};
pub use endpoints::{Endpoint, ListUpdate, ServerState};
pub use events::Event;
pub use ids::{ClassId, GroupId, ObjectId, RequestId, ServerId, ZoneId};
pub use purges::Purge;
pub use requests::{Class, DedupScope, Idempotency, Request};
pub use settings::{
    CacheStatusDetail, ProtectionRules, Settings, SiblingSources, SiteLimits, SlowStartRules, Topology,
};
pub use time::{Instant, Span, UnixTime};

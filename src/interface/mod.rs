//! The types that pass between a router program and the decision module, [`Router`](crate::Router): settings, events
//! and actions.
//!
//! - `time`: instants, spans and Unix times;
//! - `ids`: identifiers of requests, servers, objects, classes and zones;
//! - `settings`: topology, limits of the site, and rules that protect servers;
//! - `requests`: clients' requests and their classes;
//! - `endpoints`: the endpoint list;
//! - `attempts`: attempts and their outcomes;
//! - `purges`: what a purge names;
//! - `events`: what a router is notified of;
//! - `actions`: what a router wants done.

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

//! An edge proxy for a two-tier cache: an event loop with sockets around a decision module.
//!
//! [`Router`], the decision module, is a pure state machine: it does no I/O, reads no clock and has no global
//! state. The calling program passes it the time and one [`Event`] after another, and carries out the
//! [`Action`]s that it returns. Two routers with equal settings, seeds and events return equal actions.
//!
//! Its types are in [`interface`], its decisions in [`policy`].

/// Compiles and runs the example of the README as a documentation test.
#[cfg(doctest)]
#[doc = include_str!("../README.md")]
struct Readme;

pub mod admission;
pub mod config;
pub mod control;
pub mod core;
pub mod deadlines;
pub mod expect;
#[cfg(feature = "federation")]
pub mod federation;
pub mod feed;
pub mod front;
pub mod interface;
pub mod lab;

pub mod net;
pub mod panics;
pub mod policy;
pub mod server;
pub mod server_names;
pub mod sim;
pub mod slots;
pub mod splitmix64;
pub mod standin;
pub mod trace;
pub mod upstream;
mod validate;

pub use interface::{
    Action, AttemptOutcome, AttemptResult, CacheStatus, CacheStatusDetail, Class, ClassId, DedupScope,
    Endpoint, Event, FillAttempt, GroupId, Idempotency, Instant, ListUpdate, ObjectId, ProtectionRules,
    Purge, RejectionReason, Request, RequestId, ServerId, ServerState, Settings, SiblingSources, SiteLimits,
    SlowStartRules, Span, Topology, UnixTime, ZoneId,
};
pub use policy::Router;
pub use validate::SettingsError;

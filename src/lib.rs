//! An edge proxy for a two-tier cache: real sockets around a decision module.
//!
//! [`Router`], the module, is a pure state machine: it does no I/O, reads no clock and keeps no globals. The program
//! that loads it passes in the time and one [`Event`] after another, and carries out the [`Action`]s that
//! come back. Two routers with equal settings, seed and events decide alike.
//!
//! All types are in [`interface`]; every decision is in [`policy`].

/// The README's example, compiled and run by the tests.
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

//! The faults that are injected into a run, and their times. A run is identified by its seed and the numbers
//! of the faults that are kept.
//!
//! - [`plan`]: the size of a run and the weight of each kind of fault; reads a faults file.
//! - [`host_faults`] and [`system_faults`]: the two tables of kinds, with their default weights and how each
//!   is drawn.
//! - [`script`]: draws the faults of a seed.
//! - [`system_error`]: the errors of system calls that are injected.

pub mod host_faults;
pub mod plan;
pub mod script;
pub mod system_error;
pub mod system_faults;

pub use plan::RunPlan;

use super::ids::{ClientId, HostId};
use serde::Serialize;
use system_error::SystemError;

/// An injected fault.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Fault {
    /// When the fault begins, in ms from the start of the run.
    pub at_ms: i64,
    /// Kind of the fault, with its parameters.
    #[serde(rename = "what")]
    pub kind: FaultKind,
}

/// A kind of fault, with its parameters. `ms` is how long the fault lasts, unless its comment says otherwise.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "kind")]
pub enum FaultKind {
    /// A host is unreachable: its connections stay open without traffic, and new ones are not established.
    Silent {
        /// The affected host.
        host: HostId,
        /// How long, in ms.
        ms: i64,
    },
    /// A host's process is killed. Connections are refused until it has restarted; it is then warming up and
    /// has no cached copies.
    Killed {
        /// The affected host.
        host: HostId,
        /// How long, in ms.
        ms: i64,
    },
    /// All connections of a host are reset, while its process keeps running.
    Reset {
        /// The affected host.
        host: HostId,
    },
    /// Every request to a host takes longer.
    Slow {
        /// The affected host.
        host: HostId,
        /// Factor by which service times are multiplied.
        times: i64,
        /// How long, in ms.
        ms: i64,
    },
    /// A host answers every request with an error.
    Errors {
        /// The affected host.
        host: HostId,
        /// How long, in ms.
        ms: i64,
    },
    /// The next answer of a host can't be parsed.
    Garbled {
        /// The affected host.
        host: HostId,
    },
    /// The feed states that a cache or parent is draining.
    Drained {
        /// The affected host.
        host: HostId,
    },
    /// The feed states that a host is removed; the host's process ends a second later.
    Removed {
        /// The affected host.
        host: HostId,
    },
    /// The feed states that a host is up.
    Ready {
        /// The affected host.
        host: HostId,
    },
    /// The feed states a purge of one object.
    PurgeObject {
        /// Number of the object, counted from 0.
        object: usize,
    },
    /// The feed states a purge of the group of all objects.
    PurgeGroup,
    /// The feed is unreachable; its connections stay open without traffic.
    FeedSilent {
        /// How long, in ms.
        ms: i64,
    },
    /// The feed's connections are reset.
    FeedReset,
    /// A client resets its connection while requests are open.
    ClientGone {
        /// The affected client.
        client: ClientId,
    },
    /// A client closes its connection while requests are open.
    ClientCloses {
        /// The affected client.
        client: ClientId,
    },
    /// Connections to a host are established with a delay.
    SlowDials {
        /// The affected host.
        host: HostId,
        /// Delay of each connection, in ms.
        late_ms: i64,
        /// How long, in ms.
        ms: i64,
    },
    /// A host closes its idle connections.
    ClosesIdle {
        /// The affected host.
        host: HostId,
    },
    /// The next answer of a host is sent a second time, some milliseconds later.
    AnswersTwice {
        /// The affected host.
        host: HostId,
    },
    /// The feed never answers the polls that are open now; their connections stay open.
    PollsLost,
    /// The feed publishes the whole endpoint list.
    WholeList,
    /// The process gets SIGTERM while no newer one is running, and is restarted once it has ended.
    Stop,
    /// A newer process starts while this one is running, which then gets SIGTERM.
    Upgrade,
    /// A newer process starts as in an upgrade, and is killed.
    UpgradeDies {
        /// Time from the start of the newer process until it is killed, in ms.
        ms: i64,
    },
    /// The process is killed and restarted.
    Crash,
    /// The wall clock of the machine on which the edge proxy runs is stepped.
    ClockStep {
        /// Size of the step, in ms; negative for a step back.
        ms: i64,
    },
    /// Connections fail before they are accepted, so that accepting them fails.
    AcceptFails {
        /// Error of the accept call.
        error: SystemError,
        /// Number of connections that fail.
        times: usize,
    },
    /// No descriptors are left, so that accepting and connecting fail.
    Exhausted {
        /// Error of both calls.
        error: SystemError,
        /// How long, in ms.
        ms: i64,
    },
    /// Connecting to a host fails.
    ConnectFails {
        /// The affected host.
        host: HostId,
        /// The error that is reported.
        error: SystemError,
        /// Whether the connect call itself fails; otherwise the connection that it began fails.
        at_once: bool,
        /// How long, in ms.
        ms: i64,
    },
    /// All connections of a host fail with an error other than a reset.
    LinksFail {
        /// The affected host.
        host: HostId,
        /// The error that is reported.
        error: SystemError,
    },
    /// Reads and writes transfer few bytes at a time.
    ShortIo {
        /// Maximum number of bytes of a call.
        bytes: usize,
        /// How long, in ms.
        ms: i64,
    },
    /// Every other system call is interrupted by a signal.
    Interrupted {
        /// How long, in ms.
        ms: i64,
    },
}

#[cfg(test)]
mod tests;

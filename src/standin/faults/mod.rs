//! What goes wrong in a run, and when. A run is named by its seed and the numbers of the faults that are kept.
//!
//! - [`plan`]: the size of a run and how often each kind of fault is drawn; reads a faults file.
//! - [`host_faults`] and [`system_faults`]: the two tables of kinds, with weights and how each is drawn.
//! - [`script`]: draws the faults of a seed.
//! - [`system_error`]: the errors of system calls that are played.

pub mod host_faults;
pub mod plan;
pub mod script;
pub mod system_error;
pub mod system_faults;

pub use plan::RunPlan;

use super::ids::{ClientId, HostId};
use serde::Serialize;
use system_error::SystemError;

/// One fault.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Fault {
    /// When it begins, ms from the start of the run.
    pub at_ms: i64,
    /// What goes wrong.
    #[serde(rename = "what")]
    pub kind: FaultKind,
}

/// What goes wrong. Every `ms` without further words is how long the fault lasts.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "kind")]
pub enum FaultKind {
    /// A host is unreachable: its connections stay open and silent, new ones are not established.
    Silent {
        /// The host.
        host: HostId,
        /// How long.
        ms: i64,
    },
    /// A host's process is killed; connections are refused until it is back, warming up and without copies.
    Killed {
        /// The host.
        host: HostId,
        /// How long.
        ms: i64,
    },
    /// All connections of a host are reset; its process runs on.
    Reset {
        /// The host.
        host: HostId,
    },
    /// Every request takes a host longer.
    Slow {
        /// The host.
        host: HostId,
        /// How many times as long.
        times: i64,
        /// How long.
        ms: i64,
    },
    /// A host answers everything with an error.
    Errors {
        /// The host.
        host: HostId,
        /// How long.
        ms: i64,
    },
    /// The next answer of a host can't be parsed.
    Garbled {
        /// The host.
        host: HostId,
    },
    /// The feed states that a cache or parent is draining.
    Drained {
        /// The host.
        host: HostId,
    },
    /// The feed states that a host is removed; its process ends a second later.
    Removed {
        /// The host.
        host: HostId,
    },
    /// The feed states that a host is up (again).
    Ready {
        /// The host.
        host: HostId,
    },
    /// The feed states a purge of one object.
    PurgeObject {
        /// The object's number.
        object: usize,
    },
    /// The feed states a purge of the group of all objects.
    PurgeGroup,
    /// The feed is unreachable; its connections stay open and silent.
    FeedSilent {
        /// How long.
        ms: i64,
    },
    /// The feed's connections are reset.
    FeedReset,
    /// A client resets its connection with requests open.
    ClientGone {
        /// The client.
        client: ClientId,
    },
    /// A client closes its connection with requests open.
    ClientCloses {
        /// The client.
        client: ClientId,
    },
    /// Connections to a host are established late.
    SlowDials {
        /// The host.
        host: HostId,
        /// How late, ms.
        late_ms: i64,
        /// How long.
        ms: i64,
    },
    /// A host closes its idle connections.
    ClosesIdle {
        /// The host.
        host: HostId,
    },
    /// The next answer of a host is sent a second time, some milliseconds later.
    AnswersTwice {
        /// The host.
        host: HostId,
    },
    /// The feed never answers the open polls; their connections stay open.
    PollsLost,
    /// The feed states the whole endpoint list.
    WholeList,
    /// The process gets SIGTERM without a newer one beside it, and is started anew once it has ended.
    Stop,
    /// A newer process starts beside this one, which then gets SIGTERM.
    Upgrade,
    /// An upgrade whose newer process is killed.
    UpgradeDies {
        /// How long after the newer process started, ms.
        ms: i64,
    },
    /// The process is killed and started anew.
    Crash,
    /// The wall clock of the processes' machine is stepped.
    ClockStep {
        /// By how much; negative: back.
        ms: i64,
    },
    /// Connections are gone before they are accepted, and accepting them fails.
    AcceptFails {
        /// The error of accept.
        error: SystemError,
        /// The number of connections.
        times: usize,
    },
    /// No descriptors are left: accepting and connecting fail.
    Exhausted {
        /// The error of both calls.
        error: SystemError,
        /// How long.
        ms: i64,
    },
    /// Connecting to a host fails.
    ConnectFails {
        /// The host.
        host: HostId,
        /// The error.
        error: SystemError,
        /// Whether the call fails, or the connection that it began.
        at_once: bool,
        /// How long.
        ms: i64,
    },
    /// All connections of a host fail with an error that is no reset.
    LinksFail {
        /// The host.
        host: HostId,
        /// The error.
        error: SystemError,
    },
    /// Reads and writes transfer few bytes at a time.
    ShortIo {
        /// The most bytes of a call.
        bytes: usize,
        /// How long.
        ms: i64,
    },
    /// Every other system call is interrupted by a signal.
    Interrupted {
        /// How long.
        ms: i64,
    },
}

#[cfg(test)]
mod tests;

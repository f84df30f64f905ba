//! Pooled connections to table caches, parents and the origin, with many requests on each.
//!
//! A request is a numbered job here. It is encoded only when a connection takes its bytes, and a job that was written
//! never moves to another connection.
//!
//! - `jobs`: queueing, cancelling and ending jobs;
//! - `servers`: servers, their addresses and their two queues (`queue_kind`);
//! - `dispatch`: the first jobs of all queues, in turn; `selection`: which connection takes a job; `writing`: encoding
//!   and writing it;
//! - `connection`: the record of one connection; `connections`: opening and closing them;
//! - `reading`: what servers send, and the deadlines of connections;
//! - `line_protocol`: the line protocol; `answers`: the reader of its answers.

pub mod answers;
mod connection;
mod connections;
mod dispatch;
mod jobs;
pub mod line_protocol;
mod queue_kind;
mod reading;
mod selection;
mod servers;
mod writing;

pub use connections::ConnectionDeadline;
pub use dispatch::RequestEncoder;
pub use jobs::{JobEnd, JobId, QueuedRequest, UpstreamEvent};
pub use queue_kind::QueueKind;

use crate::interface::{Instant, ServerId, Span};
use crate::net::ConnectionKey;
use connection::Connection;
use jobs::{Job, JobRecord};
use servers::Server;
use std::collections::{BTreeMap, VecDeque};

/// The limits of the pool, from the settings.
#[derive(Clone, Copy, Debug)]
pub struct PoolLimits {
    /// How long a connection may take to come up.
    pub connect_timeout: Span,
    /// How long servers keep idle connections open.
    pub idle_timeout: Span,
    /// The most jobs that are open on one connection.
    pub max_jobs_per_connection: usize,
    /// The most connections to all servers.
    pub max_connections: usize,
    /// The most bytes that all buffers may hold.
    pub max_buffered_bytes: usize,
}

/// The pool of connections, and the jobs that wait for one or are open there.
pub struct Upstream {
    limits: PoolLimits,
    servers: BTreeMap<ServerId, Server>,
    connections: BTreeMap<ConnectionKey, Connection>,
    jobs: BTreeMap<Job, JobRecord>,
    /// Health checks asked for so far; the last one's number.
    last_health_check: u64,
    /// When each open health check was asked for.
    health_check_starts: BTreeMap<u64, Instant>,
    events: Vec<UpstreamEvent>,
    bytes_held_elsewhere: usize,
    /// Requests that were written completely, by the number of their class.
    written_by_class: Vec<u64>,
    /// Connections that have more to read than their last turn allowed.
    read_turns: VecDeque<ConnectionKey>,
}

impl Upstream {
    /// An empty pool.
    pub fn new(limits: PoolLimits) -> Self {
        Upstream {
            limits,
            servers: BTreeMap::new(),
            connections: BTreeMap::new(),
            jobs: BTreeMap::new(),
            last_health_check: 0,
            health_check_starts: BTreeMap::new(),
            events: Vec::new(),
            bytes_held_elsewhere: 0,
            written_by_class: Vec::new(),
            read_turns: VecDeque::new(),
        }
    }

    /// Replaces the limits. An idle time-out that was learned from a server and is shorter than the new one stays.
    pub fn set_limits(&mut self, limits: PoolLimits) {
        let idle_timeout = limits.idle_timeout.min(self.limits.idle_timeout);
        self.limits = PoolLimits { idle_timeout, ..limits };
    }

    /// Sets how many bytes of the buffer budget are held outside of connections.
    pub fn set_bytes_held_elsewhere(&mut self, bytes: usize) {
        self.bytes_held_elsewhere = bytes;
    }

    /// Takes the events since the last call.
    pub fn take_events(&mut self) -> Vec<UpstreamEvent> {
        std::mem::take(&mut self.events)
    }
}

#[cfg(test)]
mod tests;

//! The pool of connections to table caches, parents and the origin. Each connection carries many requests at
//! once.
//!
//! A job is a request or a health check. A request is encoded only when its bytes can be written to a
//! connection. Once its line has been sent, it never moves to another connection.
//!
//! - `jobs`: queueing, cancelling and ending jobs;
//! - `servers`: servers, their addresses and their two queues (`queue_kind`);
//! - `dispatch`: the dispatch loop over all queues; `selection`: the choice of a connection for a job;
//!   `writing`: the encoding and writing of jobs;
//! - `connection`: the state of one connection; `connections`: opening and closing connections;
//! - `reading`: reading from connections, and their deadlines;
//! - `line_protocol`: the encoding of requests, and the answer type; `answers`: the parser of answers.

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
use crate::net::{ConnectionKey, ReadQueue};
use connection::Connection;
use jobs::{Job, JobRecord};
use servers::Server;
use std::collections::BTreeMap;

/// Limits of the pool, computed from the settings.
#[derive(Clone, Copy, Debug)]
pub struct PoolLimits {
    /// Longest time that a connection may take to come up.
    pub connect_timeout: Span,
    /// Time for which servers keep idle connections open. Connections are closed here after a fraction of it.
    pub idle_timeout: Span,
    /// Maximum number of open jobs on one connection.
    pub max_jobs_per_connection: usize,
    /// Maximum number of connections to all servers together.
    pub max_connections: usize,
    /// Maximum number of bytes in all buffers of the process. The body of an answer that exceeds it is
    /// discarded.
    pub max_buffered_bytes: usize,
}

/// The pool of connections, with the jobs that wait for a connection or are open on one.
pub struct Upstream {
    limits: PoolLimits,
    servers: BTreeMap<ServerId, Server>,
    connections: BTreeMap<ConnectionKey, Connection>,
    jobs: BTreeMap<Job, JobRecord>,
    /// Number of the last health check; they are numbered from 1.
    last_health_check: u64,
    /// When each unfinished health check was queued, by its number.
    health_check_starts: BTreeMap<u64, Instant>,
    events: Vec<UpstreamEvent>,
    /// Bytes that count against `max_buffered_bytes` and are not held by connections.
    bytes_held_elsewhere: usize,
    /// Number of requests that were written completely, by the number of their class.
    written_by_class: Vec<u64>,
    /// Connections that had more to read than `MAX_READS_PER_TURN` reads could take.
    unread: ReadQueue,
}

impl Upstream {
    /// Returns a pool without servers.
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
            unread: ReadQueue::default(),
        }
    }

    /// Replaces the limits. The idle timeout in use stays if it is shorter than the new one, since it may
    /// have been learned from a server.
    pub fn set_limits(&mut self, limits: PoolLimits) {
        let idle_timeout = limits.idle_timeout.min(self.limits.idle_timeout);
        self.limits = PoolLimits { idle_timeout, ..limits };
    }

    /// Sets the number of bytes that are held outside of connections and count against the limit for buffers.
    pub fn set_bytes_held_elsewhere(&mut self, bytes: usize) {
        self.bytes_held_elsewhere = bytes;
    }

    /// Returns the events since the last call, and removes them.
    pub fn take_events(&mut self) -> Vec<UpstreamEvent> {
        std::mem::take(&mut self.events)
    }
}

#[cfg(test)]
mod tests;

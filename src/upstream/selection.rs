//! The selection of a connection for the first job of a queue.

use super::connection::{Connection, MIN_WRITE_CONNECTION_AGE};
use super::jobs::Job;
use super::queue_kind::QueueKind;
use super::servers::ServerQueue;
use super::Upstream;
use crate::interface::{Instant, ServerId};
use crate::net::{ConnectionKey, Net};

/// Number of open reads on a connection from which another connection is opened, so that reads are spread. A
/// malformed answer closes its connection and ends all jobs that are open there.
const READS_BEFORE_NEXT_CONNECTION: usize = 2;

/// The next step for the first job of a queue.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum DispatchStep {
    /// Write the job on a connection. `connect_another`: also open another connection.
    Write { key: ConnectionKey, connect_another: bool },
    /// Open a connection. `connect_another`: one more is needed after that.
    Connect { connect_another: bool },
    /// End the job, since no connection can take it.
    EndUnsent,
    /// Wait until a connection can take the job.
    Wait,
}

/// The connections of a queue, as candidates for its first job.
struct Candidates<'a> {
    now: Instant,
    upstream: &'a Upstream,
    net: &'a Net,
    kind: QueueKind,
    queue: &'a ServerQueue,
    /// Id of the job on the wire.
    wire_id: &'a str,
    /// Whether the queue has its maximum number of connections.
    is_full: bool,
}

impl Candidates<'_> {
    fn connections(&self) -> impl Iterator<Item = (ConnectionKey, &Connection)> {
        let keys = self.queue.connections.iter();
        keys.filter_map(|key| Some((*key, self.upstream.connections.get(key)?)))
    }

    /// Whether a connection can take the job, now or once its buffered bytes have been written. If no
    /// connection may be added, writes share connections, and silent connections are used too.
    fn can_take(&self, connection: &Connection) -> bool {
        connection.is_up
            && !connection.is_blocked
            && connection.open_jobs.len() < self.upstream.limits.max_jobs_per_connection
            && connection.accepts_id(self.now, self.wire_id)
            && (self.kind == QueueKind::Reads || self.is_full || connection.is_fit_for_write(self.now))
            && (self.is_full || !connection.is_silent(self.now))
    }

    /// Returns the connection that takes the job now. It must have no buffered bytes left to write, since a
    /// drain or a purge could overtake a job that waits in the buffer.
    fn best_connection(&self) -> Option<(ConnectionKey, &Connection)> {
        self.connections()
            .filter(|(key, connection)| self.can_take(connection) && self.net.unwritten_bytes(*key) == 0)
            .min_by_key(|(_, connection)| (connection.is_silent(self.now), connection.open_jobs.len()))
    }

    /// Returns the number of connections that are being opened.
    fn connecting(&self) -> usize {
        self.connections().filter(|(_, connection)| !connection.is_up).count()
    }

    /// Whether another connection is opened when `connection` takes the job.
    fn needs_another_connection(&self, connection: &Connection) -> bool {
        self.kind == QueueKind::Reads
            && connection.open_jobs.len() >= READS_BEFORE_NEXT_CONNECTION
            && self.connecting() == 0
            && !self.is_full
            && self.queue.backoff_until <= self.now
    }

    /// Whether no connection accepts the job's id, because it is or was in use there, and no connection may
    /// be added. Such a job must not block its queue.
    fn is_id_taken_everywhere(&self) -> bool {
        self.is_full
            && self.kind == QueueKind::Reads
            && self.connections().all(|(_, connection)| !connection.accepts_id(self.now, self.wire_id))
    }

    /// Whether a connection that is up will be able to take the job soon.
    fn will_take_soon(&self) -> bool {
        let will_be_fit = |connection: &Connection| {
            self.kind == QueueKind::Writes
                && connection.is_up
                && self.now < connection.up_since + MIN_WRITE_CONNECTION_AGE
        };
        self.connections().any(|(_, connection)| self.can_take(connection) || will_be_fit(connection))
    }

    /// Returns the number of connections that the jobs of the queue need.
    fn needed_connections(&self) -> usize {
        let needed = self.queue.jobs.len().div_ceil(self.upstream.limits.max_jobs_per_connection);
        needed.min(self.kind.max_connections())
    }

    fn next_step(&self) -> DispatchStep {
        if let Some((key, connection)) = self.best_connection() {
            return DispatchStep::Write { key, connect_another: self.needs_another_connection(connection) };
        }
        if self.is_id_taken_everywhere() {
            return DispatchStep::EndUnsent;
        }
        let (connecting, needed) = (self.connecting(), self.needed_connections());
        match !self.will_take_soon() && connecting < needed && !self.is_full {
            true => DispatchStep::Connect { connect_another: connecting + 1 < needed },
            false => DispatchStep::Wait,
        }
    }
}

impl Upstream {
    /// Chooses the next step for the first job of a queue.
    pub(super) fn next_step(
        &self,
        now: Instant,
        server: ServerId,
        kind: QueueKind,
        job: Job,
        net: &Net,
    ) -> DispatchStep {
        let queue = self.servers.get(&server).map(|server| server.queue(kind));
        let (Some(queue), Some(record)) = (queue, self.jobs.get(&job)) else { return DispatchStep::Wait };
        let is_full = queue.connections.len() >= kind.max_connections();
        let wire_id = &record.wire_id;
        Candidates { now, upstream: self, net, kind, queue, wire_id, is_full }.next_step()
    }
}

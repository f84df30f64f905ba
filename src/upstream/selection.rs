//! The selection of a connection for the first job of a queue.

use super::connection::{Connection, MIN_WRITE_CONNECTION_AGE};
use super::jobs::Job;
use super::queue_kind::QueueKind;
use super::servers::ServerQueue;
use super::Upstream;
use crate::interface::{Instant, ServerId};
use crate::net::{ConnectionKey, Net};

/// A further connection is opened beside one that has this many reads. An answer that can't be read ends its
/// connection and all that is open there.
const READS_BEFORE_NEXT_CONNECTION: usize = 2;

/// What to do next for the first job of a queue.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum DispatchStep {
    /// Write it on a connection; whether another one is opened beside that.
    Write { key: ConnectionKey, connect_another: bool },
    /// Open a connection; whether yet another one is needed.
    Connect { connect_another: bool },
    /// End it: no connection can take it.
    EndUnsent,
    /// Wait for a connection.
    Wait,
}

/// A queue's connections, as seen by its first job.
struct Candidates<'a> {
    now: Instant,
    upstream: &'a Upstream,
    net: &'a Net,
    kind: QueueKind,
    queue: &'a ServerQueue,
    /// The job's id on the wire.
    wire_id: &'a str,
    /// The queue has as many connections as it may have.
    is_full: bool,
}

impl Candidates<'_> {
    fn connections(&self) -> impl Iterator<Item = (ConnectionKey, &Connection)> {
        let keys = self.queue.connections.iter();
        keys.filter_map(|key| Some((*key, self.upstream.connections.get(key)?)))
    }

    /// Whether a connection can take the job, now or once its written bytes have left. Where no connection may be
    /// added, writes share them, and silent ones are used.
    fn can_take(&self, connection: &Connection) -> bool {
        connection.is_up
            && !connection.is_blocked
            && connection.open_jobs.len() < self.upstream.limits.max_jobs_per_connection
            && connection.accepts_id(self.now, self.wire_id)
            && (self.kind == QueueKind::Reads || self.is_full || connection.is_fit_for_write(self.now))
            && (self.is_full || !connection.is_silent(self.now))
    }

    /// The connection that takes the job now: one with nothing left to write, since queued bytes could be overtaken by
    /// a drain or a purge.
    fn best_connection(&self) -> Option<(ConnectionKey, &Connection)> {
        self.connections()
            .filter(|(key, connection)| self.can_take(connection) && self.net.unwritten(*key) == 0)
            .min_by_key(|(_, connection)| (connection.is_silent(self.now), connection.open_jobs.len()))
    }

    /// Connections that are being opened.
    fn connecting(&self) -> usize {
        self.connections().filter(|(_, connection)| !connection.is_up).count()
    }

    /// Whether a further connection is opened beside one that takes the job.
    fn needs_another_connection(&self, connection: &Connection) -> bool {
        self.kind == QueueKind::Reads
            && connection.open_jobs.len() >= READS_BEFORE_NEXT_CONNECTION
            && self.connecting() == 0
            && !self.is_full
            && self.queue.backoff_until <= self.now
    }

    /// Whether no connection takes the job's id. Such a job must not block its queue.
    fn is_id_taken_everywhere(&self) -> bool {
        self.is_full
            && self.kind == QueueKind::Reads
            && self.connections().all(|(_, connection)| !connection.accepts_id(self.now, self.wire_id))
    }

    /// Whether a connection that is up will take the job soon.
    fn will_take_soon(&self) -> bool {
        let will_be_fit = |connection: &Connection| {
            self.kind == QueueKind::Writes
                && connection.is_up
                && self.now < connection.up_since + MIN_WRITE_CONNECTION_AGE
        };
        self.connections().any(|(_, connection)| self.can_take(connection) || will_be_fit(connection))
    }

    /// How many connections the queue's jobs need.
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

//! Opening and closing connections.

use super::connection::Connection;
use super::jobs::{Job, JobEnd};
use super::queue_kind::QueueKind;
use super::servers::Server;
use super::Upstream;
use crate::deadlines::Schedule;
use crate::interface::{Instant, ServerId, Span};
use crate::net::{is_local_error, ConnectionKey, Net, Reason, Role};
use std::collections::BTreeMap;

/// Time after a failed connect in which no additional connection is opened to spread reads, since the server
/// may not accept more connections.
const CONNECT_BACKOFF: Span = Span::from_secs(1);
/// How often in a row a connection that was reset before it came up is opened again. Such a reset does not
/// prove that the server is down.
pub(super) const MAX_CONNECT_RETRIES: u32 = 2;
/// Time after which an unused connection for writes is closed.
const UNUSED_WRITE_TIMEOUT: Span = Span::from_millis(250);
/// Lower bound of the idle timeout that is learned from servers that close connections sooner than the
/// settings state.
const MIN_IDLE_TIMEOUT: Span = Span::from_millis(300);
/// Fraction of the servers' idle timeout after which an idle connection is closed here, so that it is closed
/// before the server closes it.
const IDLE_FRACTION: f64 = 0.6;

/// A deadline of a connection in the pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionDeadline {
    /// The connection has not come up in time.
    Connect(ConnectionKey),
    /// The connection has been idle for too long.
    Idle(ConnectionKey),
    /// An answer was not continued or not completed in time.
    AnswerStalled(ConnectionKey),
    /// A connection is old enough for a write, so that queued writes can be dispatched.
    OldEnoughForWrites,
}

/// Why a connection could not be opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
enum ConnectError {
    #[error("the server cannot be reached")]
    Unreachable,
    /// This process has no resources left for the connection, or it is at the limit of connections. Nothing
    /// follows from that about the server.
    #[error("no descriptor, port or other local resource is left for the connection")]
    Exhausted,
}

impl ConnectError {
    /// Returns how the jobs that waited for the connection end.
    fn job_end(self) -> JobEnd {
        match self {
            ConnectError::Unreachable => JobEnd::NotConnected,
            ConnectError::Exhausted => JobEnd::NotSent,
        }
    }
}

impl Upstream {
    /// Closes idle connections, those idle longest first, while there are more connections than the limits
    /// allow.
    pub fn close_excess_idle(
        &mut self,
        now: Instant,
        net: &mut Net,
        deadlines: &mut dyn Schedule<ConnectionDeadline>,
    ) {
        let excess = net.count(Role::Upstream).saturating_sub(self.limits.max_connections);
        for _ in 0..excess {
            self.drop_longest_idle(now, net, deadlines);
        }
    }

    /// Closes the idle connections to a server.
    pub fn close_idle(
        &mut self,
        now: Instant,
        server: ServerId,
        net: &mut Net,
        deadlines: &mut dyn Schedule<ConnectionDeadline>,
    ) {
        for key in self.connections_of(server) {
            if self.connections.get(&key).is_some_and(Connection::is_idle) {
                self.drop_connection(now, key, Reason::Idle, net, deadlines);
            }
        }
    }

    /// Closes all connections, for the shutdown.
    pub fn close_all(
        &mut self,
        now: Instant,
        net: &mut Net,
        deadlines: &mut dyn Schedule<ConnectionDeadline>,
    ) {
        for key in self.connections.keys().copied().collect::<Vec<_>>() {
            self.drop_connection(now, key, Reason::Stopping, net, deadlines);
        }
    }

    /// Opens a connection for a queue. If that fails at once, the jobs of the queue end unless another
    /// connection may take them. Returns whether the connection is being opened.
    pub(super) fn connect(
        &mut self,
        now: Instant,
        server: ServerId,
        queue: QueueKind,
        net: &mut Net,
        deadlines: &mut dyn Schedule<ConnectionDeadline>,
    ) -> bool {
        if net.count(Role::Upstream) >= self.limits.max_connections {
            self.drop_longest_idle(now, net, deadlines);
        }
        let Some(addr) = self.servers.get(&server).map(|known| known.addr) else { return false };
        let key = match self.begin_connect(now, addr, net) {
            Ok(key) => key,
            Err(error) => {
                self.connect_failed(now, server, queue, &error.job_end());
                return false;
            }
        };
        if let Some(queue) = self.queue_mut(server, queue) {
            queue.connections.push(key);
        }
        let connect_deadline =
            deadlines.add(now + self.limits.connect_timeout, ConnectionDeadline::Connect(key));
        self.connections.insert(key, Connection::connecting(now, server, queue, connect_deadline));
        true
    }

    fn begin_connect(
        &self,
        now: Instant,
        addr: std::net::SocketAddr,
        net: &mut Net,
    ) -> Result<ConnectionKey, ConnectError> {
        if net.count(Role::Upstream) >= self.limits.max_connections {
            return Err(ConnectError::Exhausted);
        }
        net.connect(now, addr, Role::Upstream).map_err(|error| match is_local_error(&error) {
            true => ConnectError::Exhausted,
            false => ConnectError::Unreachable,
        })
    }

    /// Handles a connection that failed to come up. The jobs of its queue end unless another connection may
    /// still take them.
    fn connect_failed(&mut self, now: Instant, server: ServerId, queue: QueueKind, end: &JobEnd) {
        let Some(known) = self.servers.get_mut(&server).map(|server| server.queue_mut(queue)) else { return };
        known.backoff_until = now + CONNECT_BACKOFF;
        let may_take_jobs = |key: &ConnectionKey| {
            self.connections
                .get(key)
                .is_some_and(|connection| !connection.is_up || !connection.is_silent(now))
        };
        if known.connections.iter().any(may_take_jobs) {
            return;
        }
        let jobs = std::mem::take(&mut known.jobs);
        self.end_jobs(now, jobs, end);
    }

    /// Closes a connection or sets its idle deadline if it is idle. Called when its last open job may have
    /// ended.
    pub(super) fn handle_idle(
        &mut self,
        now: Instant,
        key: ConnectionKey,
        net: &mut Net,
        deadlines: &mut dyn Schedule<ConnectionDeadline>,
    ) {
        let Some(connection) = self.connections.get(&key).filter(|connection| connection.is_idle()) else {
            return;
        };
        match self.reason_to_close(now, connection) {
            Some(reason) => self.drop_connection(now, key, reason, net, deadlines),
            None => self.set_idle_deadline(now, key, deadlines),
        }
    }

    /// Returns why an idle connection must be closed at once; `None` if it stays open.
    fn reason_to_close(&self, now: Instant, connection: &Connection) -> Option<Reason> {
        if self.servers.get(&connection.server).is_none_or(|server| server.is_removed) {
            return Some(Reason::Replaced);
        }
        if connection.is_silent(now) {
            return Some(Reason::Silent);
        }
        let is_used_up = connection.queue == QueueKind::Writes && connection.was_used;
        is_used_up.then_some(Reason::Done)
    }

    fn set_idle_deadline(
        &mut self,
        now: Instant,
        key: ConnectionKey,
        deadlines: &mut dyn Schedule<ConnectionDeadline>,
    ) {
        let Some(connection) = self.connections.get_mut(&key) else { return };
        connection.silent_since = None;
        if connection.idle_deadline.is_some() {
            return;
        }
        connection.idle_since = now;
        let timeout = match connection.queue {
            QueueKind::Reads => {
                Span::from_micros_f64(self.limits.idle_timeout.as_micros_f64() * IDLE_FRACTION)
            }
            QueueKind::Writes => UNUSED_WRITE_TIMEOUT,
        };
        connection.idle_deadline = Some(deadlines.add(now + timeout, ConnectionDeadline::Idle(key)));
    }

    /// Closes the connection that has been idle longest, if any connection is idle.
    fn drop_longest_idle(
        &mut self,
        now: Instant,
        net: &mut Net,
        deadlines: &mut dyn Schedule<ConnectionDeadline>,
    ) {
        let idle = self.connections.iter().filter(|(_, connection)| connection.is_idle());
        let longest = idle.min_by_key(|(key, connection)| (connection.idle_since, **key));
        if let Some(key) = longest.map(|(key, _)| *key) {
            self.drop_connection(now, key, Reason::Evicted, net, deadlines);
        }
    }

    /// Closes all connections to a server.
    pub(super) fn close_connections(
        &mut self,
        now: Instant,
        server: ServerId,
        reason: Reason,
        net: &mut Net,
        deadlines: &mut dyn Schedule<ConnectionDeadline>,
    ) {
        for key in self.connections_of(server) {
            self.drop_connection(now, key, reason, net, deadlines);
        }
    }

    fn connections_of(&self, server: ServerId) -> Vec<ConnectionKey> {
        self.servers.get(&server).map(Server::connections).unwrap_or_default()
    }

    /// Closes a connection. Its open jobs end with [`JobEnd::Reset`], since each of them may have run. A
    /// connection that was reset before it came up is opened again.
    pub(super) fn drop_connection(
        &mut self,
        now: Instant,
        key: ConnectionKey,
        reason: Reason,
        net: &mut Net,
        deadlines: &mut dyn Schedule<ConnectionDeadline>,
    ) {
        let Some(connection) = self.connections.remove(&key) else { return };
        connection.deadlines().for_each(|handle| deadlines.remove(handle));
        net.close(now, key, reason);
        if reason == Reason::PeerClosed && connection.is_idle() {
            self.learn_idle_timeout(now - connection.idle_since);
        }
        let will_retry = self.remove_from_queue(key, &connection, reason);
        let Connection { server, queue, is_up, open_jobs, .. } = connection;
        self.end_open_jobs(now, open_jobs);
        if will_retry {
            self.connect(now, server, queue, net, deadlines);
        } else if !is_up {
            self.connect_failed(now, server, queue, &JobEnd::NotConnected);
        }
    }

    /// Shortens the idle timeout after a server closed a connection that had been idle for `idle`.
    fn learn_idle_timeout(&mut self, idle: Span) {
        self.limits.idle_timeout = self.limits.idle_timeout.min(idle.max(MIN_IDLE_TIMEOUT));
    }

    /// Removes a connection from its queue. The record of a removed server is deleted with its last
    /// connection. Returns whether another connection is to be opened in place of this one.
    fn remove_from_queue(&mut self, key: ConnectionKey, connection: &Connection, reason: Reason) -> bool {
        let Some(server) = self.servers.get_mut(&connection.server) else { return false };
        let is_removed = server.is_removed;
        let queue = server.queue_mut(connection.queue);
        queue.connections.retain(|known| *known != key);
        let was_reset_early = !connection.is_up && reason == Reason::PeerReset;
        let will_retry = was_reset_early && queue.connect_retries < MAX_CONNECT_RETRIES && !is_removed;
        queue.connect_retries += u32::from(will_retry);
        if is_removed && server.connections().is_empty() {
            self.servers.remove(&connection.server);
        }
        will_retry
    }

    /// Ends the jobs that were open on a closed connection, in the order of their numbers.
    fn end_open_jobs(&mut self, now: Instant, open_jobs: BTreeMap<String, Job>) {
        let mut jobs: Vec<Job> = open_jobs.into_values().collect();
        jobs.sort_by_key(|job| job.number());
        self.end_jobs(now, jobs, &JobEnd::Reset);
    }
}

#[cfg(test)]
mod tests;

//! Servers: their addresses and their queues for reads and writes.

use super::jobs::{Job, JobEnd};
use super::queue_kind::QueueKind;
use super::{ConnectionDeadline, Upstream};
use crate::deadlines::Schedule;
use crate::interface::{Instant, ServerId};
use crate::net::{ConnectionKey, Net, Reason};
use std::collections::VecDeque;
use std::net::SocketAddr;

/// A server of the endpoint list.
pub(super) struct Server {
    pub addr: SocketAddr,
    /// When the server was started; `None` if the endpoint list does not state it.
    pub started_at: Option<Instant>,
    /// Whether it was removed from the endpoint list. Its record is deleted with its last connection.
    pub is_removed: bool,
    reads: ServerQueue,
    writes: ServerQueue,
}

/// A queue of jobs for a server, and the connections that take jobs from it.
#[derive(Default)]
pub(super) struct ServerQueue {
    pub connections: Vec<ConnectionKey>,
    pub jobs: VecDeque<Job>,
    /// Until then no additional connection is opened to spread reads, since a connect failed.
    pub backoff_until: Instant,
    /// How often in a row a connection that was reset before it came up was opened again.
    pub connect_retries: u32,
}

impl Server {
    fn new(addr: SocketAddr, started_at: Option<Instant>) -> Self {
        let (reads, writes) = (ServerQueue::default(), ServerQueue::default());
        Server { addr, started_at, is_removed: false, reads, writes }
    }

    pub fn queue(&self, kind: QueueKind) -> &ServerQueue {
        match kind {
            QueueKind::Reads => &self.reads,
            QueueKind::Writes => &self.writes,
        }
    }

    pub fn queue_mut(&mut self, kind: QueueKind) -> &mut ServerQueue {
        match kind {
            QueueKind::Reads => &mut self.reads,
            QueueKind::Writes => &mut self.writes,
        }
    }

    /// Returns the connections of both queues.
    pub fn connections(&self) -> Vec<ConnectionKey> {
        self.reads.connections.iter().chain(&self.writes.connections).copied().collect()
    }

    /// Removes and returns the jobs of both queues.
    fn take_jobs(&mut self) -> Vec<Job> {
        let mut jobs = Vec::from(std::mem::take(&mut self.reads.jobs));
        jobs.extend(std::mem::take(&mut self.writes.jobs));
        jobs
    }
}

impl Upstream {
    /// Adds a server, or updates its address and start time. If the address belonged to another server, or
    /// this server was restarted or has moved, the old connections lead to a process that has ended, so they
    /// are closed.
    pub fn set_server(
        &mut self,
        now: Instant,
        server: ServerId,
        addr: SocketAddr,
        started_at: Option<Instant>,
        net: &mut Net,
        deadlines: &mut dyn Schedule<ConnectionDeadline>,
    ) {
        self.remove_other_servers_at(now, addr, server, net, deadlines);
        let known = self.servers.get(&server);
        if known.is_some_and(|known| known.addr != addr || known.started_at != started_at) {
            self.close_connections(now, server, Reason::Replaced, net, deadlines);
        }
        let known = self.servers.entry(server).or_insert_with(|| Server::new(addr, started_at));
        (known.addr, known.started_at, known.is_removed) = (addr, started_at, false);
    }

    /// Deletes the servers other than `owner` that had the address which now belongs to `owner`.
    fn remove_other_servers_at(
        &mut self,
        now: Instant,
        addr: SocketAddr,
        owner: ServerId,
        net: &mut Net,
        deadlines: &mut dyn Schedule<ConnectionDeadline>,
    ) {
        let others = self.servers.iter().filter(|(id, server)| **id != owner && server.addr == addr);
        for other in others.map(|(id, _)| *id).collect::<Vec<_>>() {
            self.close_connections(now, other, Reason::Replaced, net, deadlines);
            if let Some(mut server) = self.servers.remove(&other) {
                self.end_jobs(now, server.take_jobs(), &JobEnd::NotConnected);
            }
        }
    }

    /// Removes a server. Its queued jobs end with [`JobEnd::NotConnected`], and its connections are closed
    /// once they are idle.
    pub fn remove_server(
        &mut self,
        now: Instant,
        server: ServerId,
        net: &mut Net,
        deadlines: &mut dyn Schedule<ConnectionDeadline>,
    ) {
        let Some(known) = self.servers.get_mut(&server) else { return };
        known.is_removed = true;
        let (jobs, connections) = (known.take_jobs(), known.connections());
        if connections.is_empty() {
            self.servers.remove(&server);
        }
        self.end_jobs(now, jobs, &JobEnd::NotConnected);
        for key in connections {
            if self.connections.get(&key).is_some_and(|connection| connection.open_jobs.is_empty()) {
                self.drop_connection(now, key, Reason::Replaced, net, deadlines);
            }
        }
    }

    pub(super) fn queue_mut(&mut self, server: ServerId, queue: QueueKind) -> Option<&mut ServerQueue> {
        self.servers.get_mut(&server).map(|server| server.queue_mut(queue))
    }
}

//! Connections to table caches, parents and the origin: pooled, with many requests on each. A request is a
//! numbered job here, which is worded only when its bytes can leave; a job once written never moves.

pub mod answers;
mod connections;
mod dispatch;
pub mod lines;
mod pool;
mod reading;

use crate::deadlines::Schedule;
use crate::interface::{Instant, Span};
use crate::net::{ConnectionKey, Net, Reason};
pub use dispatch::RequestEncoder;
use lines::WireAnswer;
use pool::{Connection, Host, Job, JobRecord};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

/// Bytes that are taken in at a time, besides those of the answer under way.
const INPUT: usize = 64 * 1024;
/// A whole line must fit, or its connection would be read for ever without coming further.
const _: () = assert!(INPUT > 2 * lines::LONGEST_LINE);
/// A connection on which this many jobs in a row were given up unanswered is not to be trusted, if each had waited
/// this long: clients that leave at once by the hundred say nothing of a server.
const MOST_UNANSWERED: u32 = 3;
const UNANSWERED_AFTER: Span = Span::from_millis(300);
/// A connection on which jobs wait and nothing was heard for this long is silent.
const SILENT: Span = Span::from_millis(1_200);
/// An answer that has begun and of which nothing more comes for this long has stopped short: its connection is
/// of no use, and what else is open there would wait for nothing.
const STOPPED: Span = Span::from_millis(600);
/// An answer that is not whole this long after it began never will be: no client waits for longer, and what else is
/// open on its connection would wait behind it.
const LONGEST_ANSWER: Span = Span::from_secs(3);
/// Reads of one connection at a turn: a server that sends without end takes its turns like all others.
const READS_IN_A_TURN: usize = 4;
/// Connections to one server by lane, silent ones included.
const MOST_CONNECTIONS: [usize; 2] = [6, 8];
/// A further connection is opened beside one that has this many reads: an answer that can't be read ends its
/// connection and all that is open there, so not everything rides on one, and no write beside a read.
const SPREAD: usize = 2;
/// Ids given up that a connection remembers.
const MOST_CANCELLED: usize = 4096;
/// A second answer comes within this long of the first, if one does: a repeat takes another connection until then,
/// and not for longer, since connections are scarce.
const SECOND_ANSWER: Span = Span::from_millis(50);
/// Ids answered that a connection remembers at most.
const ANSWERED: usize = 64;
/// A write goes by a connection of its own that has stood this long: on one that is reset while new, or that its
/// server gives up at the moment of its next use, it may have run and has failed.
const PROVEN: Span = Span::from_millis(3);

/// What falls due for a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionDeadline {
    /// It has not come up in time.
    Connect(ConnectionKey),
    /// It has been idle for too long.
    Idle(ConnectionKey),
    /// Nothing more of an answer came.
    Stopped(ConnectionKey),
    /// It has stood for a while.
    Proven,
}

/// How a job ended.
#[derive(Clone, Debug, PartialEq)]
pub enum JobEnd {
    /// It was answered.
    Answer(WireAnswer),
    /// No connection came up; it never left.
    NotConnected,
    /// It can't be sent beside what is open, which says nothing of its server.
    NotSent,
    /// The connection broke after it may have left.
    Reset,
}

/// What the connections have to tell.
#[derive(Clone, Debug, PartialEq)]
pub enum UpstreamEvent {
    /// A job has ended.
    JobEnded {
        /// The job.
        job: u64,
        /// How.
        end: JobEnd,
    },
    /// A probe has ended.
    HealthChecked {
        /// The server.
        host: u32,
        /// How.
        ending: JobEnd,
        /// Time since it was asked for.
        elapsed: Span,
    },
}

/// The figures that the settings give.
#[derive(Clone, Copy, Debug)]
pub struct PoolLimits {
    /// A connection that is not up by then has failed.
    pub connect_timeout: Span,
    /// The servers close idle connections after this.
    pub idle_timeout: Span,
    /// Jobs that one connection carries.
    pub max_jobs_per_connection: usize,
    /// Connections in all.
    pub max_connections: usize,
    /// Bytes that all buffers may hold.
    pub max_buffered_bytes: usize,
}

/// The pool.
pub struct Upstream {
    limits: PoolLimits,
    hosts: BTreeMap<u32, Host>,
    connections: BTreeMap<ConnectionKey, Connection>,
    /// Where a job is.
    jobs: BTreeMap<Job, JobRecord>,
    probes: u64,
    probed: BTreeMap<u64, Instant>,
    events: Vec<UpstreamEvent>,
    elsewhere: usize,
    /// Jobs written whole, by tally.
    written: Vec<u64>,
    /// Connections that have more to read.
    turns: VecDeque<ConnectionKey>,
}

impl Upstream {
    /// Tells how many bytes of the budget are held by others than connections.
    pub fn set_bytes_held_elsewhere(&mut self, bytes: usize) {
        self.elsewhere = bytes;
    }

    /// An empty pool.
    pub fn new(figures: PoolLimits) -> Self {
        Upstream {
            limits: figures,
            hosts: BTreeMap::new(),
            connections: BTreeMap::new(),
            jobs: BTreeMap::new(),
            probes: 0,
            probed: BTreeMap::new(),
            events: Vec::new(),
            elsewhere: 0,
            written: Vec::new(),
            turns: VecDeque::new(),
        }
    }

    /// Sets the figures that hold from now on. A shorter idle time that a server was seen to keep stays.
    pub fn set_limits(&mut self, figures: PoolLimits) {
        let idle = figures.idle_timeout.min(self.limits.idle_timeout);
        self.limits = PoolLimits { idle_timeout: idle, ..figures };
    }

    /// What has happened since the last call.
    pub fn take_events(&mut self) -> Vec<UpstreamEvent> {
        std::mem::take(&mut self.events)
    }

    /// Names a server's address. Where the address was another server's, or the server started anew, the
    /// old connections lead to a process that is no more and are closed.
    pub fn set_host(
        &mut self,
        now: Instant,
        host: u32,
        addr: SocketAddr,
        since: Option<Instant>,
        net: &mut Net,
        due: &mut dyn Schedule<ConnectionDeadline>,
    ) {
        let others: Vec<u32> =
            self.hosts.iter().filter(|(id, h)| **id != host && h.addr == addr).map(|(id, _)| *id).collect();
        for other in others {
            self.close_connections(now, other, Reason::Replaced, net, due);
            if let Some(mut old) = self.hosts.remove(&other) {
                old.take_queue().into_iter().for_each(|job| self.end(now, job, JobEnd::NotConnected));
            }
        }
        let moved = self.hosts.get(&host).is_some_and(|known| known.addr != addr || known.since != since);
        if moved {
            self.close_connections(now, host, Reason::Replaced, net, due);
        }
        let new = Host { addr, since, lanes: Default::default(), gone: false };
        let known = self.hosts.entry(host).or_insert(new);
        (known.addr, known.since, known.gone) = (addr, since, false);
    }

    /// A server is gone: nothing is queued for it any more, and its connections are closed once they are idle.
    pub fn remove_host(
        &mut self,
        now: Instant,
        host: u32,
        net: &mut Net,
        due: &mut dyn Schedule<ConnectionDeadline>,
    ) {
        let Some(known) = self.hosts.get_mut(&host) else { return };
        known.gone = true;
        let (queue, connections) = (known.take_queue(), known.connections());
        if connections.is_empty() {
            self.hosts.remove(&host);
        }
        queue.into_iter().for_each(|job| self.end(now, job, JobEnd::NotConnected));
        for connection in connections {
            if self.connections.get(&connection).is_some_and(|l| l.open.is_empty()) {
                self.drop_connection(now, connection, Reason::Replaced, net, due);
            }
        }
    }

    /// Gives a job up: it is not written, or its server is told to stop; nothing is heard of it any more.
    pub fn abandon(
        &mut self,
        now: Instant,
        job: u64,
        net: &mut Net,
        due: &mut dyn Schedule<ConnectionDeadline>,
    ) {
        let id = Job::Fetch(job);
        let Some(JobRecord { host, lane, id: name, connection, written, .. }) = self.jobs.remove(&id) else {
            return;
        };
        let Some(key) = connection else {
            if let Some(host) = self.hosts.get_mut(&host) {
                host.lanes[lane].queue.retain(|queued| *queued != id);
            }
            return;
        };
        let Some(connection) = self.connections.get_mut(&key) else { return };
        connection.open.remove(&name);
        connection.unanswered += u32::from(written + UNANSWERED_AFTER <= now);
        let abort = lines::abort(&name);
        if connection.cancelled.len() >= MOST_CANCELLED {
            connection.cancelled.clear(); // whose answers would be late by more than any deadline
        }
        connection.cancelled.insert(name);
        match net.write(key, [abort]) {
            Ok(()) => self.settle(now, key, net, due),
            Err(reason) => self.drop_connection(now, key, reason, net, due),
        }
    }

    /// Closes everything.
    pub fn stop(&mut self, now: Instant, net: &mut Net, due: &mut dyn Schedule<ConnectionDeadline>) {
        for key in self.connections.keys().copied().collect::<Vec<_>>() {
            self.drop_connection(now, key, Reason::Stopping, net, due);
        }
    }

    fn end(&mut self, now: Instant, job: Job, ending: JobEnd) {
        let Some(JobRecord { host, .. }) = self.jobs.remove(&job) else { return };
        self.events.push(match job {
            Job::Fetch(job) => UpstreamEvent::JobEnded { job, end: ending },
            Job::Probe(number) => {
                let asked = self.probed.remove(&number).unwrap_or(now);
                UpstreamEvent::HealthChecked { host, ending, elapsed: now - asked }
            }
        });
    }
}

#[cfg(test)]
mod tests;

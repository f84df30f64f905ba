//! Jobs: requests and health checks that wait in a queue or are open on a connection, until they end.

use super::line_protocol::{self, WireAnswer};
use super::queue_kind::QueueKind;
use super::{ConnectionDeadline, Upstream};
use crate::deadlines::Schedule;
use crate::interface::{ClassId, Instant, ServerId, Span};
use crate::net::{ConnectionKey, Net};

/// A cancelled job counts as unanswered only if it had waited this long: many clients that leave at once say nothing
/// about a server.
pub(super) const MIN_UNANSWERED_WAIT: Span = Span::from_millis(300);

/// Identifies a request's job. The caller chooses it, and never uses one twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct JobId(pub u64);

/// A request to be queued for a server.
#[derive(Clone, Debug)]
pub struct QueuedRequest {
    /// Its job.
    pub job: JobId,
    /// The server that it is for.
    pub server: ServerId,
    /// Its id on the wire.
    pub wire_id: String,
    /// The queue that it waits in.
    pub queue: QueueKind,
    /// The class under which it counts once it is written completely; `None`: it does not count.
    pub counted_class: Option<ClassId>,
}

/// How a job ended.
#[derive(Clone, Debug, PartialEq)]
pub enum JobEnd {
    /// It was answered.
    Answer(WireAnswer),
    /// No connection came up; it was never sent.
    NotConnected,
    /// It was never sent, for a reason that says nothing about its server.
    NotSent,
    /// The connection broke after it may have been sent.
    Reset,
}

/// What happened in the pool.
#[derive(Clone, Debug, PartialEq)]
pub enum UpstreamEvent {
    /// A request's job has ended.
    JobEnded {
        /// The job.
        job: JobId,
        /// How it ended.
        end: JobEnd,
    },
    /// A health check has ended.
    HealthChecked {
        /// The server.
        server: ServerId,
        /// How it ended.
        end: JobEnd,
        /// Time since it was asked for.
        elapsed: Span,
    },
}

/// What a connection can carry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(super) enum Job {
    /// A request.
    Request(JobId),
    /// A health check, by its number.
    HealthCheck(u64),
}

impl Job {
    /// Its number among those of its kind.
    pub fn number(self) -> u64 {
        match self {
            Job::Request(JobId(number)) | Job::HealthCheck(number) => number,
        }
    }
}

/// Where a job is: in the queue of its server or, once it is written, on a connection.
pub(super) struct JobRecord {
    pub server: ServerId,
    pub queue: QueueKind,
    pub wire_id: String,
    pub connection: Option<ConnectionKey>,
    /// When it was written; until then, when it was queued.
    pub written_at: Instant,
    pub counted_class: Option<ClassId>,
}

impl Upstream {
    /// Queues a request; [`Upstream::dispatch`] writes it.
    pub fn queue_request(&mut self, now: Instant, request: QueuedRequest) {
        let QueuedRequest { job, server, wire_id, queue, counted_class } = request;
        let record = JobRecord { server, queue, wire_id, connection: None, written_at: now, counted_class };
        self.enqueue(now, Job::Request(job), record);
    }

    /// Queues a health check.
    pub fn queue_health_check(&mut self, now: Instant, server: ServerId) {
        self.last_health_check += 1;
        self.health_check_starts.insert(self.last_health_check, now);
        let record = JobRecord {
            server,
            queue: QueueKind::Reads,
            wire_id: format!("p{}", self.last_health_check),
            connection: None,
            written_at: now,
            counted_class: None,
        };
        self.enqueue(now, Job::HealthCheck(self.last_health_check), record);
    }

    fn enqueue(&mut self, now: Instant, job: Job, record: JobRecord) {
        let (server, queue) = (record.server, record.queue);
        self.jobs.insert(job, record);
        match self.servers.get_mut(&server).filter(|server| !server.is_removed) {
            Some(server) => server.queue_mut(queue).jobs.push_back(job),
            None => self.end_job(now, job, JobEnd::NotConnected),
        }
    }

    /// Cancels a request: it is not written any more or, if it was, its server is asked to stop. No event follows.
    pub fn cancel(
        &mut self,
        now: Instant,
        job: JobId,
        net: &mut Net,
        deadlines: &mut dyn Schedule<ConnectionDeadline>,
    ) {
        let job = Job::Request(job);
        let Some(record) = self.jobs.remove(&job) else { return };
        let Some(key) = record.connection else {
            if let Some(server) = self.servers.get_mut(&record.server) {
                server.queue_mut(record.queue).jobs.retain(|queued| *queued != job);
            }
            return;
        };
        let Some(connection) = self.connections.get_mut(&key) else { return };
        let waited_long = record.written_at + MIN_UNANSWERED_WAIT <= now;
        let abort = line_protocol::encode_abort_line(&record.wire_id);
        connection.cancel(record.wire_id, waited_long);
        match net.write(key, [abort]) {
            Ok(()) => self.handle_idle(now, key, net, deadlines),
            Err(reason) => self.drop_connection(now, key, reason, net, deadlines),
        }
    }

    /// How many requests of a class were written completely.
    pub fn written_requests(&self, class: ClassId) -> u64 {
        self.written_by_class.get(usize::from(class.0)).copied().unwrap_or(0)
    }

    /// Ends a job, with an event, unless it has ended already.
    pub(super) fn end_job(&mut self, now: Instant, job: Job, end: JobEnd) {
        let Some(JobRecord { server, .. }) = self.jobs.remove(&job) else { return };
        self.events.push(match job {
            Job::Request(job) => UpstreamEvent::JobEnded { job, end },
            Job::HealthCheck(number) => {
                let started_at = self.health_check_starts.remove(&number).unwrap_or(now);
                UpstreamEvent::HealthChecked { server, end, elapsed: now - started_at }
            }
        });
    }

    /// Ends jobs one after another in the same way.
    pub(super) fn end_jobs(&mut self, now: Instant, jobs: impl IntoIterator<Item = Job>, end: &JobEnd) {
        for job in jobs {
            self.end_job(now, job, end.clone());
        }
    }
}

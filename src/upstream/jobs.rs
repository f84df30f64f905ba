//! Jobs: requests and health checks, from queueing until they end.

use super::line_protocol::{self, WireAnswer};
use super::queue_kind::QueueKind;
use super::{ConnectionDeadline, Upstream};
use crate::deadlines::Schedule;
use crate::interface::{ClassId, Instant, ServerId, Span};
use crate::net::{ConnectionKey, Net};

/// Time that a cancelled job must have been open to count as unanswered. Jobs that are cancelled sooner, for
/// example because many clients leave at once, do not show that the server is silent.
pub(super) const MIN_UNANSWERED_WAIT: Span = Span::from_millis(300);

/// Identifies the job of a request. The caller chooses it, and must not use one twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct JobId(pub u64);

/// A request that is to be queued for a server.
#[derive(Clone, Debug)]
pub struct QueuedRequest {
    /// Id of the job of the request.
    pub job: JobId,
    /// Server that the request is for.
    pub server: ServerId,
    /// Id of the request on the wire.
    pub wire_id: String,
    /// Queue of the server in which the request waits.
    pub queue: QueueKind,
    /// Class under which the request is counted once it is written completely; `None` if it is not counted.
    pub counted_class: Option<ClassId>,
}

/// How a job ended.
#[derive(Clone, Debug, PartialEq)]
pub enum JobEnd {
    /// The server answered it.
    Answer(WireAnswer),
    /// No connection to the server came up, so the job was never sent.
    NotConnected,
    /// The job was never sent, for a reason that has nothing to do with the server.
    NotSent,
    /// The connection was closed after the job was written, so the job may have run.
    Reset,
}

/// An event of the pool, returned by [`Upstream::take_events`].
#[derive(Clone, Debug, PartialEq)]
pub enum UpstreamEvent {
    /// The job of a request has ended.
    JobEnded {
        /// Id of the job.
        job: JobId,
        /// How the job ended.
        end: JobEnd,
    },
    /// A health check has ended.
    HealthChecked {
        /// Server that was checked.
        server: ServerId,
        /// How the health check ended.
        end: JobEnd,
        /// Time since it was queued.
        elapsed: Span,
    },
}

/// A job, by its kind and id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(super) enum Job {
    Request(JobId),
    /// A health check, by its number.
    HealthCheck(u64),
}

impl Job {
    /// Returns the number, which is unique among the jobs of this kind.
    pub fn number(self) -> u64 {
        match self {
            Job::Request(JobId(number)) | Job::HealthCheck(number) => number,
        }
    }
}

/// The state of a job. It is in a queue of its server and, once it is written, on a connection.
pub(super) struct JobRecord {
    pub server: ServerId,
    pub queue: QueueKind,
    pub wire_id: String,
    /// Connection on which it was written; `None` while it is queued.
    pub connection: Option<ConnectionKey>,
    /// When it was written, or when it was queued if it has not been written yet.
    pub written_at: Instant,
    pub counted_class: Option<ClassId>,
}

impl Upstream {
    /// Queues a request. [`Upstream::dispatch`] writes it later. If the server is not known or was removed,
    /// the job ends with [`JobEnd::NotConnected`].
    pub fn queue_request(&mut self, now: Instant, request: QueuedRequest) {
        let QueuedRequest { job, server, wire_id, queue, counted_class } = request;
        let record = JobRecord { server, queue, wire_id, connection: None, written_at: now, counted_class };
        self.enqueue(now, Job::Request(job), record);
    }

    /// Queues a health check of a server.
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

    /// Cancels a request. A queued request is removed from its queue; for one that was written, an abort line
    /// is sent to the server. No event follows for the request.
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

    /// Returns the number of requests of a class that were written completely.
    pub fn written_requests(&self, class: ClassId) -> u64 {
        self.written_by_class.get(usize::from(class.0)).copied().unwrap_or(0)
    }

    /// Ends a job and adds the event for it, unless the job has ended already.
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

    /// Ends several jobs in the given order with the same result.
    pub(super) fn end_jobs(&mut self, now: Instant, jobs: impl IntoIterator<Item = Job>, end: &JobEnd) {
        for job in jobs {
            self.end_job(now, job, end.clone());
        }
    }
}

//! Encodes jobs and writes them on connections.

use super::jobs::{Job, JobRecord};
use super::{line_protocol, ConnectionDeadline, RequestEncoder, Upstream};
use crate::deadlines::Schedule;
use crate::interface::Instant;
use crate::net::{ConnectionKey, Net, Reason};
use bytes::Bytes;

/// Bytes that end a request after its body.
const REQUEST_END: &[u8] = b"\r\n";

/// The result of the first write of a job.
enum FirstWrite {
    /// At least the whole line was sent, so the job may run.
    LineSent,
    /// Nothing was sent and nothing was buffered, since the socket takes no byte now.
    Blocked,
    /// The line was not sent completely. The job never runs, and the connection cannot be used any more.
    LineIncomplete(Reason),
    /// The whole line was sent, and then the connection broke. The job may have run.
    Broken(Reason),
}

impl Upstream {
    /// Encodes a job and writes it. If its line is not sent completely, the job goes back to the head of its
    /// queue.
    pub(super) fn write_job<S: Schedule<ConnectionDeadline>>(
        &mut self,
        now: Instant,
        key: ConnectionKey,
        job: Job,
        net: &mut Net,
        deadlines: &mut S,
        encoder: &mut impl RequestEncoder<S>,
    ) {
        let Some(record) = self.jobs.get(&job) else { return };
        let Some(parts) = encode(job, &record.wire_id, deadlines, encoder) else {
            self.jobs.remove(&job);
            return;
        };
        match write_first(key, parts, net) {
            FirstWrite::LineSent => {
                self.mark_open(now, key, job, deadlines);
                self.count_written(key, net);
            }
            FirstWrite::Blocked => {
                self.return_to_queue(job, encoder);
                if let Some(connection) = self.connections.get_mut(&key) {
                    connection.is_blocked = true;
                }
            }
            FirstWrite::LineIncomplete(reason) => {
                self.return_to_queue(job, encoder);
                self.drop_connection(now, key, reason, net, deadlines);
            }
            FirstWrite::Broken(reason) => {
                self.mark_open(now, key, job, deadlines);
                self.drop_connection(now, key, reason, net, deadlines);
            }
        }
    }

    /// Records that a job was written on a connection.
    fn mark_open(
        &mut self,
        now: Instant,
        key: ConnectionKey,
        job: Job,
        deadlines: &mut dyn Schedule<ConnectionDeadline>,
    ) {
        let (Some(record), Some(connection)) = (self.jobs.get_mut(&job), self.connections.get_mut(&key))
        else {
            return;
        };
        (record.connection, record.written_at) = (Some(key), now);
        connection.was_used = true;
        connection.unsolicited.on_job_written();
        connection.uncounted_class = record.counted_class;
        connection.open_jobs.insert(record.wire_id.clone(), job);
        connection.silent_since.get_or_insert(now);
        if let Some(handle) = connection.idle_deadline.take() {
            deadlines.remove(handle);
        }
    }

    /// Puts a job that was not sent back to the head of its queue.
    fn return_to_queue<S>(&mut self, job: Job, encoder: &mut impl RequestEncoder<S>) {
        if let Job::Request(id) = job {
            encoder.not_written(id);
        }
        let Some(JobRecord { server, queue, .. }) = self.jobs.get(&job) else { return };
        let (server, queue) = (*server, *queue);
        if let Some(queue) = self.queue_mut(server, queue) {
            queue.jobs.push_front(job);
        }
    }

    /// Counts the request written last on a connection under its class, if all of its bytes have been
    /// written.
    pub(super) fn count_written(&mut self, key: ConnectionKey, net: &Net) {
        if net.unwritten_bytes(key) > 0 {
            return;
        }
        let Some(connection) = self.connections.get_mut(&key) else { return };
        let Some(class) = connection.uncounted_class.take().map(|class| usize::from(class.0)) else { return };
        if self.written_by_class.len() <= class {
            self.written_by_class.resize(class + 1, 0);
        }
        self.written_by_class[class] += 1;
    }
}

/// Returns the parts of an encoded job, its line first; `None` if the job must not be written any more.
fn encode<S>(
    job: Job,
    wire_id: &str,
    deadlines: &mut S,
    encoder: &mut impl RequestEncoder<S>,
) -> Option<Vec<Bytes>> {
    match job {
        Job::HealthCheck(_) => Some(vec![line_protocol::encode_stats_line(wire_id)]),
        Job::Request(id) => {
            let request = encoder.encode(id, deadlines)?;
            let line = line_protocol::encode_fetch_line(wire_id, &request);
            Some(vec![line, request.body, Bytes::from_static(REQUEST_END)])
        }
    }
}

/// Writes the parts of a job, of which the first is its line. The line states the attempt timeout, so it must
/// be sent now or not at all. If it were buffered and sent later, the timeout would exceed the time that is
/// left to the client.
fn write_first(key: ConnectionKey, parts: Vec<Bytes>, net: &mut Net) -> FirstWrite {
    let line_length = parts.first().map_or(0, Bytes::len) as u64;
    let written_before = net.written_bytes(key);
    let begun = net.try_write(key, parts);
    let is_line_sent = net.written_bytes(key) - written_before >= line_length;
    match begun {
        Ok(true) if is_line_sent => FirstWrite::LineSent,
        Ok(true) => FirstWrite::LineIncomplete(Reason::Stalled),
        Ok(false) => FirstWrite::Blocked,
        Err(reason) if is_line_sent => FirstWrite::Broken(reason),
        Err(reason) => FirstWrite::LineIncomplete(reason),
    }
}

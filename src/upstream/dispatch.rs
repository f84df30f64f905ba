//! The dispatch of queued jobs to connections, one queue after another.

use super::jobs::{Job, JobEnd, JobId};
use super::line_protocol::WireRequest;
use super::queue_kind::QueueKind;
use super::selection::DispatchStep;
use super::{ConnectionDeadline, Upstream};
use crate::deadlines::Schedule;
use crate::interface::{Instant, ServerId};
use crate::net::{ConnectionKey, Net};

/// Encodes requests for the wire. `S` is the schedule of deadlines.
pub trait RequestEncoder<S> {
    /// Encodes the request of a job just before it is written; `None` if it must not be written any more.
    fn encode(&mut self, job: JobId, deadlines: &mut S) -> Option<WireRequest>;

    /// Called if the job that was encoded last was not sent, so it has not run. It will be encoded again
    /// before the next attempt to write it.
    fn not_written(&mut self, job: JobId);
}

impl Upstream {
    /// Writes queued jobs until no connection takes the next one, and opens the connections that are needed.
    pub fn dispatch<S: Schedule<ConnectionDeadline>>(
        &mut self,
        now: Instant,
        net: &mut Net,
        deadlines: &mut S,
        encoder: &mut impl RequestEncoder<S>,
    ) {
        for (server, queue) in self.nonempty_queues() {
            while self.dispatch_first(now, server, queue, net, deadlines, encoder) {}
        }
    }

    fn nonempty_queues(&self) -> Vec<(ServerId, QueueKind)> {
        let queues = self.servers.iter().flat_map(|(id, server)| {
            let nonempty = QueueKind::ALL.into_iter().filter(|queue| !server.queue(*queue).jobs.is_empty());
            nonempty.map(|queue| (*id, queue))
        });
        queues.collect()
    }

    /// Takes the next step for the first job of a queue. Returns whether another step may be possible.
    fn dispatch_first<S: Schedule<ConnectionDeadline>>(
        &mut self,
        now: Instant,
        server: ServerId,
        queue: QueueKind,
        net: &mut Net,
        deadlines: &mut S,
        encoder: &mut impl RequestEncoder<S>,
    ) -> bool {
        let first = self.queue_mut(server, queue).and_then(|queue| queue.jobs.front().copied());
        let Some(job) = first else { return false };
        if !self.jobs.contains_key(&job) {
            self.pop_first(server, queue);
            return true;
        }
        match self.next_step(now, server, queue, job, net) {
            DispatchStep::Wait => false,
            DispatchStep::Connect { connect_another } => {
                self.connect(now, server, queue, net, deadlines) && connect_another
            }
            DispatchStep::EndUnsent => {
                self.pop_first(server, queue);
                self.end_job(now, job, JobEnd::NotSent);
                true
            }
            DispatchStep::Write { key, connect_another } => {
                if queue == QueueKind::Writes && !self.is_open_at_peer(now, key, net, deadlines) {
                    return true;
                }
                self.pop_first(server, queue);
                self.write_job(now, key, job, net, deadlines, encoder);
                if connect_another {
                    self.connect(now, server, queue, net, deadlines);
                }
                true
            }
        }
    }

    /// Reads from a connection to learn whether the server has closed it, and drops it in that case. Returns
    /// whether it is still open. A write on a connection that the server has closed would fail as one that
    /// may have run.
    fn is_open_at_peer(
        &mut self,
        now: Instant,
        key: ConnectionKey,
        net: &mut Net,
        deadlines: &mut dyn Schedule<ConnectionDeadline>,
    ) -> bool {
        match self.read(now, key, net) {
            Ok(()) => true,
            Err(reason) => {
                self.drop_connection(now, key, reason, net, deadlines);
                false
            }
        }
    }

    fn pop_first(&mut self, server: ServerId, queue: QueueKind) -> Option<Job> {
        self.queue_mut(server, queue)?.jobs.pop_front()
    }
}

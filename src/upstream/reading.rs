//! Reads from servers: connections that come up, received answers, and the deadlines of both.

use super::answers::MalformedAnswer;
use super::connection::MIN_WRITE_CONNECTION_AGE;
use super::line_protocol::{self, WireAnswer};
use super::{ConnectionDeadline, JobEnd, QueueKind, Upstream};
use crate::deadlines::Schedule;
use crate::interface::{Instant, Span};
use crate::net::{ConnectionKey, Net, Reason};

/// Maximum number of bytes read at a time, in addition to those of the answer that is being received.
pub(super) const READ_BUFFER_BYTES: usize = 64 * 1024;
/// A whole line must fit. Otherwise its connection would be read again and again without progress.
const _: () = assert!(READ_BUFFER_BYTES > 2 * line_protocol::MAX_LINE_BYTES);
/// Maximum number of consecutive reads from one connection, so that a server that sends endlessly does not
/// block the others.
pub(super) const MAX_READS_PER_TURN: usize = 4;
/// Time after which the connection is closed if no more bytes of a partial answer are received, since all
/// other open jobs of the connection wait behind that answer.
pub(super) const ANSWER_STALL_TIMEOUT: Span = Span::from_millis(600);
/// Time after the first bytes of an answer within which it must be complete; otherwise the connection is
/// closed. No client waits longer than this.
pub(super) const MAX_ANSWER_TIME: Span = Span::from_secs(3);

impl Upstream {
    /// Handles a connection that may be readable or writable. It is closed if an error occurs.
    pub fn on_ready(
        &mut self,
        now: Instant,
        key: ConnectionKey,
        read: bool,
        write: bool,
        net: &mut Net,
        deadlines: &mut dyn Schedule<ConnectionDeadline>,
    ) {
        if let Err(reason) = self.try_ready(now, key, read, write, net, deadlines) {
            self.drop_connection(now, key, reason, net, deadlines);
        }
    }

    fn try_ready(
        &mut self,
        now: Instant,
        key: ConnectionKey,
        read: bool,
        write: bool,
        net: &mut Net,
        deadlines: &mut dyn Schedule<ConnectionDeadline>,
    ) -> Result<(), Reason> {
        let Some(connection) = self.connections.get(&key) else { return Ok(()) };
        if !connection.is_up {
            if !net.connected(key)? {
                return Ok(());
            }
            self.on_connected(now, key, net, deadlines);
        }
        if write {
            self.on_writable(key, net)?;
        }
        if read {
            self.read(now, key, net)?;
            self.update_answer_deadline(now, key, net, deadlines);
            self.handle_idle(now, key, net, deadlines);
        }
        Ok(())
    }

    /// Handles a connection that has come up.
    fn on_connected(
        &mut self,
        now: Instant,
        key: ConnectionKey,
        net: &mut Net,
        deadlines: &mut dyn Schedule<ConnectionDeadline>,
    ) {
        let Some(connection) = self.connections.get_mut(&key) else { return };
        connection.is_up = true;
        (connection.up_since, connection.idle_since) = (now, now);
        if connection.queue == QueueKind::Writes {
            deadlines.add(now + MIN_WRITE_CONNECTION_AGE, ConnectionDeadline::OldEnoughForWrites);
        }
        if let Some(handle) = connection.connect_deadline.take() {
            deadlines.remove(handle);
        }
        let (server, queue) = (connection.server, connection.queue);
        if let Some(queue) = self.queue_mut(server, queue) {
            queue.connect_retries = 0;
        }
        self.handle_idle(now, key, net, deadlines);
    }

    fn on_writable(&mut self, key: ConnectionKey, net: &mut Net) -> Result<(), Reason> {
        if let Some(connection) = self.connections.get_mut(&key) {
            connection.is_blocked = false;
        }
        net.flush(key)?;
        self.count_written(key, net);
        Ok(())
    }

    /// Sets the deadline of an answer that was received in part: the earlier of those for its next bytes and
    /// for its end.
    fn update_answer_deadline(
        &mut self,
        now: Instant,
        key: ConnectionKey,
        net: &mut Net,
        deadlines: &mut dyn Schedule<ConnectionDeadline>,
    ) {
        let Some(connection) = self.connections.get_mut(&key) else { return };
        if let Some(handle) = connection.answer_deadline.take() {
            deadlines.remove(handle);
        }
        let is_partial =
            connection.reader.is_in_body() || net.input(key, |input| !input.is_empty()).unwrap_or(false);
        if !is_partial {
            connection.answer_started_at = None;
            return;
        }
        let started_at = *connection.answer_started_at.get_or_insert(now);
        let until = (now + ANSWER_STALL_TIMEOUT).min(started_at + MAX_ANSWER_TIME);
        connection.answer_deadline = Some(deadlines.add(until, ConnectionDeadline::AnswerStalled(key)));
    }

    /// Reads from a connection and ends the jobs that were answered. A connection that still has more to read
    /// after [`MAX_READS_PER_TURN`] reads is read again after all others.
    pub(super) fn read(&mut self, now: Instant, key: ConnectionKey, net: &mut Net) -> Result<(), Reason> {
        for _ in 0..MAX_READS_PER_TURN {
            let needed_bytes =
                self.connections.get(&key).map_or(0, |connection| connection.reader.needed_bytes());
            let progress = net.read(key, needed_bytes + READ_BUFFER_BYTES);
            if progress.is_ok_and(|progress| progress.bytes > 0) {
                self.on_bytes_received(now, key);
            }
            // Answers that were received before the connection broke are still used.
            self.take_answers(now, key, net)?;
            let progress = progress?;
            if progress.has_peer_ended {
                return Err(Reason::PeerClosed);
            }
            if !progress.is_buffer_full {
                return Ok(());
            }
        }
        self.unread.push(key);
        Ok(())
    }

    fn on_bytes_received(&mut self, now: Instant, key: ConnectionKey) {
        if let Some(connection) = self.connections.get_mut(&key) {
            (connection.unanswered_jobs, connection.silent_since) = (0, Some(now));
        }
    }

    /// Ends the jobs whose answers have been received completely.
    ///
    /// # Errors
    ///
    /// The input is malformed, or has too many answers that belong to no job.
    fn take_answers(&mut self, now: Instant, key: ConnectionKey, net: &mut Net) -> Result<(), Reason> {
        let held_bytes = net.held_bytes() + self.bytes_held_elsewhere;
        let capacity = self.limits.max_buffered_bytes.saturating_sub(held_bytes);
        let Some(connection) = self.connections.get_mut(&key) else { return Ok(()) };
        let mut answers = Vec::new();
        let result = net.input(key, |input| {
            while let Some(answer) = connection.reader.next(input, capacity)? {
                answers.push(answer);
            }
            Ok(())
        });
        if !answers.is_empty() {
            connection.answer_started_at = None;
        }
        answers.iter().for_each(|_| connection.unsolicited.on_answer(now));
        let is_excessive = connection.unsolicited.is_excessive(now);
        for answer in answers {
            self.on_answer(now, key, answer);
        }
        match result {
            Some(Err(MalformedAnswer)) => Err(Reason::BadMessage),
            _ if is_excessive => Err(Reason::BadMessage),
            _ => Ok(()),
        }
    }

    /// Ends the job that an answer belongs to. An answer with an id that is not open is ignored, since it
    /// came after its job was cancelled.
    fn on_answer(&mut self, now: Instant, key: ConnectionKey, answer: WireAnswer) {
        let Some(connection) = self.connections.get_mut(&key) else { return };
        if let Some(job) = connection.take_answered(now, &answer.id) {
            self.end_job(now, job, JobEnd::Answer(answer));
        }
    }

    /// Whether a connection belongs to the pool.
    pub fn owns(&self, key: ConnectionKey) -> bool {
        self.connections.contains_key(&key)
    }

    /// Queues a connection to be read later, although it is readable now.
    pub fn queue_read(&mut self, key: ConnectionKey) {
        self.unread.push(key);
    }

    /// Removes and returns the first of the connections that had more to read.
    pub fn next_readable_connection(&mut self) -> Option<ConnectionKey> {
        self.unread.pop()
    }

    /// Returns the number of connections that wait to be read again.
    pub fn connections_with_more_to_read(&self) -> usize {
        self.unread.len()
    }

    /// Handles a deadline of a connection that has passed.
    pub fn deadline_passed(
        &mut self,
        now: Instant,
        deadline: ConnectionDeadline,
        net: &mut Net,
        deadlines: &mut dyn Schedule<ConnectionDeadline>,
    ) {
        let (key, reason) = match deadline {
            ConnectionDeadline::OldEnoughForWrites => return, // the next dispatch writes the waiting jobs
            ConnectionDeadline::Connect(key) => (key, Reason::ConnectTimeout),
            ConnectionDeadline::AnswerStalled(key) => (key, Reason::Stalled),
            ConnectionDeadline::Idle(key) => (key, Reason::Idle),
        };
        let Some(connection) = self.connections.get_mut(&key) else { return };
        let applies = match deadline {
            ConnectionDeadline::Connect(_) => !connection.is_up,
            ConnectionDeadline::Idle(_) => connection.open_jobs.is_empty(),
            ConnectionDeadline::AnswerStalled(_) | ConnectionDeadline::OldEnoughForWrites => true,
        };
        if applies {
            self.drop_connection(now, key, reason, net, deadlines);
        }
    }
}

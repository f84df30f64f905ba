//! The state of one connection: its open jobs, and what was learned about its server.

use super::answers::AnswerReader;
use super::jobs::Job;
use super::queue_kind::QueueKind;
use crate::deadlines::DeadlineHandle;
use crate::interface::{ClassId, Instant, ServerId, Span};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Number of jobs in a row that must be cancelled unanswered for a connection to count as silent.
pub(super) const MAX_UNANSWERED_JOBS: u32 = 3;
/// A connection with open jobs is silent once nothing has been received on it for this long.
const SILENCE_TIMEOUT: Span = Span::from_millis(1_200);
/// Maximum number of cancelled ids that are remembered for a connection.
const MAX_CANCELLED_IDS: usize = 4096;
/// Time after an answer within which a duplicate of it may be received. Until it has passed, a retry with the
/// same id takes another connection, since the duplicate would be taken for the answer to the retry.
pub(super) const DUPLICATE_ANSWER_WINDOW: Span = Span::from_millis(50);
/// Maximum number of answered ids that are remembered for a connection.
const MAX_ANSWERED_IDS: usize = 64;
/// Time that a connection must have been up before it takes a write. If a connection were reset just after it
/// came up, the write on it would fail as one that may have run, so it could not be retried.
pub(super) const MIN_WRITE_CONNECTION_AGE: Span = Span::from_millis(3);

/// Number of answers that each job permits on its connection: its own, a duplicate, and one under an unknown
/// id.
const ANSWERS_PER_JOB: u32 = 3;
/// Maximum number of permitted answers that a connection can accumulate.
const MAX_PERMITTED_ANSWERS: u32 = 4096;
/// Number of answers beyond the permitted ones above which a connection is closed.
pub(super) const MAX_UNSOLICITED_ANSWERS: u32 = 64;
/// Time since the first answer beyond the permitted ones before which a connection is not closed for them.
pub(super) const UNSOLICITED_ANSWER_TIME: Span = Span::from_millis(300);

/// Counts the answers on a connection that belong to no job. A server that sends them without end takes the
/// time of all others.
#[derive(Debug, Default)]
pub(super) struct UnsolicitedAnswers {
    /// Number of answers that may still be received for the jobs that were written.
    permitted: u32,
    /// Number of answers that were received beyond these.
    count: u32,
    /// When the first of those was received.
    since: Option<Instant>,
}

impl UnsolicitedAnswers {
    /// Records that a job was written.
    pub fn on_job_written(&mut self) {
        self.permitted = (self.permitted + ANSWERS_PER_JOB).min(MAX_PERMITTED_ANSWERS);
    }

    /// Records an answer, whether a job is open for it or not.
    pub fn on_answer(&mut self, now: Instant) {
        if self.permitted > 0 {
            self.permitted -= 1;
            return;
        }
        self.count = self.count.saturating_add(1);
        self.since.get_or_insert(now);
    }

    /// Whether the server has sent too many, for too long.
    pub fn is_excessive(&self, now: Instant) -> bool {
        self.count > MAX_UNSOLICITED_ANSWERS
            && self.since.is_some_and(|since| since + UNSOLICITED_ANSWER_TIME <= now)
    }
}

/// An id under which a job was answered on a connection.
struct AnsweredId {
    answered_at: Instant,
    id: String,
}

impl AnsweredId {
    /// Whether a duplicate of the answer may still be received.
    fn may_repeat(&self, now: Instant) -> bool {
        now < self.answered_at + DUPLICATE_ANSWER_WINDOW
    }
}

/// A connection to a server, open or being opened.
pub(super) struct Connection {
    pub server: ServerId,
    pub queue: QueueKind,
    pub is_up: bool,
    /// Whether the socket took no byte of the last job. No job is written until the socket is writable again.
    pub is_blocked: bool,
    /// Open jobs, by their id on the wire.
    pub open_jobs: BTreeMap<String, Job>,
    /// Ids of cancelled jobs. A late answer may still be received, so they are not used again on this
    /// connection.
    cancelled: BTreeSet<String>,
    /// Ids that were answered within [`DUPLICATE_ANSWER_WINDOW`], oldest first.
    answered: VecDeque<AnsweredId>,
    pub unsolicited: UnsolicitedAnswers,
    pub reader: AnswerReader,
    /// Since when jobs have been open and nothing has been received; `None` while the connection is idle.
    pub silent_since: Option<Instant>,
    /// Number of jobs in a row that were cancelled after a long wait, without any bytes received in between.
    pub unanswered_jobs: u32,
    pub up_since: Instant,
    /// Whether a job was ever written on it.
    pub was_used: bool,
    /// Since when no job has been open; valid while the connection is idle.
    pub idle_since: Instant,
    pub connect_deadline: Option<DeadlineHandle>,
    pub idle_deadline: Option<DeadlineHandle>,
    /// Set while an answer has been received in part.
    pub answer_deadline: Option<DeadlineHandle>,
    /// When the first part of that answer was received; `None` if no answer has been received in part.
    pub answer_started_at: Option<Instant>,
    /// Class of the job written last, if it is counted and not all of its bytes have been written yet.
    pub uncounted_class: Option<ClassId>,
}

impl Connection {
    /// Returns the state of a connection that is being opened.
    pub fn connecting(
        now: Instant,
        server: ServerId,
        queue: QueueKind,
        connect_deadline: DeadlineHandle,
    ) -> Self {
        Connection {
            server,
            queue,
            is_up: false,
            is_blocked: false,
            open_jobs: BTreeMap::new(),
            cancelled: BTreeSet::new(),
            answered: VecDeque::new(),
            unsolicited: UnsolicitedAnswers::default(),
            reader: AnswerReader::default(),
            silent_since: None,
            unanswered_jobs: 0,
            up_since: now,
            was_used: false,
            idle_since: now,
            connect_deadline: Some(connect_deadline),
            idle_deadline: None,
            answer_deadline: None,
            answer_started_at: None,
            uncounted_class: None,
        }
    }

    /// Whether a job with this id may be written on the connection. It may not while an answer to an earlier
    /// job with the same id may still be received, since that would be taken for the answer to the new job.
    pub fn accepts_id(&self, now: Instant, id: &str) -> bool {
        let is_known = self.open_jobs.contains_key(id) || self.cancelled.contains(id);
        !is_known && !self.answered.iter().any(|answered| answered.id == id && answered.may_repeat(now))
    }

    /// Removes and returns the open job with an id that was answered; `None` if no such job is open.
    pub fn take_answered(&mut self, now: Instant, id: &str) -> Option<Job> {
        let job = self.open_jobs.remove(id)?;
        let is_expired = |oldest: &AnsweredId| !oldest.may_repeat(now);
        while self.answered.len() == MAX_ANSWERED_IDS || self.answered.front().is_some_and(is_expired) {
            self.answered.pop_front();
        }
        self.answered.push_back(AnsweredId { answered_at: now, id: id.to_owned() });
        Some(job)
    }

    /// Removes the open job with an id, which was cancelled. It counts as unanswered if it `waited_long`.
    pub fn cancel(&mut self, id: String, waited_long: bool) {
        self.open_jobs.remove(&id);
        self.unanswered_jobs += u32::from(waited_long);
        if self.cancelled.len() >= MAX_CANCELLED_IDS {
            self.cancelled.clear(); // their answers would come later than any deadline
        }
        self.cancelled.insert(id);
    }

    /// Whether the connection is up and has no open job.
    pub fn is_idle(&self) -> bool {
        self.is_up && self.open_jobs.is_empty()
    }

    /// Whether the connection may take a write without being shared: it is old enough and was never used.
    pub fn is_fit_for_write(&self, now: Instant) -> bool {
        self.up_since + MIN_WRITE_CONNECTION_AGE <= now && !self.was_used
    }

    /// Whether the server seems not to answer on the connection.
    pub fn is_silent(&self, now: Instant) -> bool {
        self.unanswered_jobs >= MAX_UNANSWERED_JOBS
            || self.silent_since.is_some_and(|since| now - since > SILENCE_TIMEOUT)
    }

    /// Whether any answered id is remembered.
    #[cfg(test)]
    pub fn has_answered_ids(&self) -> bool {
        !self.answered.is_empty()
    }

    /// Returns the deadlines that are set.
    pub fn deadlines(&self) -> impl Iterator<Item = DeadlineHandle> {
        [self.connect_deadline, self.idle_deadline, self.answer_deadline].into_iter().flatten()
    }
}

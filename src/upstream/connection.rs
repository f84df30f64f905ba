//! The record of one connection: what is open there, and what is known of its peer.

use super::answers::AnswerReader;
use super::jobs::Job;
use super::queue_kind::QueueKind;
use crate::deadlines::DeadlineHandle;
use crate::interface::{ClassId, Instant, ServerId, Span};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// A connection on which this many jobs in a row were cancelled unanswered counts as silent.
pub(super) const MAX_UNANSWERED_JOBS: u32 = 3;
/// A connection on which jobs are open and nothing was received for this long is silent.
const SILENCE_TIMEOUT: Span = Span::from_millis(1_200);
/// The most cancelled ids that a connection remembers.
const MAX_CANCELLED_IDS: usize = 4096;
/// A duplicate of an answer comes within this time of the first, if at all. Until then a retry under the same id takes
/// another connection.
pub(super) const DUPLICATE_ANSWER_WINDOW: Span = Span::from_millis(50);
/// The most answered ids that a connection remembers.
const MAX_ANSWERED_IDS: usize = 64;
/// A write takes only a connection that has been up for this long: on one that is reset just after it came up the
/// write would have failed as one that may have run.
pub(super) const MIN_WRITE_CONNECTION_AGE: Span = Span::from_millis(3);

/// An id that was answered on a connection.
struct AnsweredId {
    answered_at: Instant,
    id: String,
}

impl AnsweredId {
    /// Whether a duplicate of the answer may still come.
    fn may_repeat(&self, now: Instant) -> bool {
        now < self.answered_at + DUPLICATE_ANSWER_WINDOW
    }
}

/// A connection to a server.
pub(super) struct Connection {
    pub server: ServerId,
    pub queue: QueueKind,
    pub is_up: bool,
    /// The socket took no byte of the last job, which waits until the socket is writable again.
    pub is_blocked: bool,
    /// The open jobs, by their id on the wire.
    pub open_jobs: BTreeMap<String, Job>,
    /// Cancelled ids. A late answer may still come, so none of them is used there again.
    cancelled: BTreeSet<String>,
    /// Ids that were answered within [`DUPLICATE_ANSWER_WINDOW`], the oldest first.
    answered: VecDeque<AnsweredId>,
    pub reader: AnswerReader,
    /// Since when jobs have been open with nothing received.
    pub silent_since: Option<Instant>,
    /// Jobs in a row that were cancelled unanswered.
    pub unanswered_jobs: u32,
    pub up_since: Instant,
    /// Whether a job was written there.
    pub was_used: bool,
    /// Since when no job has been open.
    pub idle_since: Instant,
    pub connect_deadline: Option<DeadlineHandle>,
    pub idle_deadline: Option<DeadlineHandle>,
    /// Set while an answer was received in part.
    pub answer_deadline: Option<DeadlineHandle>,
    /// When the first part of that answer was received.
    pub answer_started_at: Option<Instant>,
    /// The class of the last job, if it counts and its bytes are not all written yet.
    pub uncounted_class: Option<ClassId>,
}

impl Connection {
    /// A connection that is being opened.
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

    /// Whether a job may be written there under this id: no answer to an earlier job can be taken for its own.
    pub fn accepts_id(&self, now: Instant, id: &str) -> bool {
        let is_known = self.open_jobs.contains_key(id) || self.cancelled.contains(id);
        !is_known && !self.answered.iter().any(|answered| answered.id == id && answered.may_repeat(now))
    }

    /// Removes the open job that was answered under an id.
    pub fn take_answered(&mut self, now: Instant, id: &str) -> Option<Job> {
        let job = self.open_jobs.remove(id)?;
        let is_expired = |oldest: &AnsweredId| !oldest.may_repeat(now);
        while self.answered.len() == MAX_ANSWERED_IDS || self.answered.front().is_some_and(is_expired) {
            self.answered.pop_front();
        }
        self.answered.push_back(AnsweredId { answered_at: now, id: id.to_owned() });
        Some(job)
    }

    /// Cancels the open job under an id, which counts as unanswered if it waited long.
    pub fn cancel(&mut self, id: String, waited_long: bool) {
        self.open_jobs.remove(&id);
        self.unanswered_jobs += u32::from(waited_long);
        if self.cancelled.len() >= MAX_CANCELLED_IDS {
            self.cancelled.clear(); // their answers would be late by more than any deadline
        }
        self.cancelled.insert(id);
    }

    /// Whether it is up and has no open job.
    pub fn is_idle(&self) -> bool {
        self.is_up && self.open_jobs.is_empty()
    }

    /// Whether it is fit for a write.
    pub fn is_fit_for_write(&self, now: Instant) -> bool {
        self.up_since + MIN_WRITE_CONNECTION_AGE <= now && !self.was_used
    }

    /// Whether its server does not answer.
    pub fn is_silent(&self, now: Instant) -> bool {
        self.unanswered_jobs >= MAX_UNANSWERED_JOBS
            || self.silent_since.is_some_and(|since| now - since > SILENCE_TIMEOUT)
    }

    /// Whether ids are remembered that were answered there.
    #[cfg(test)]
    pub fn has_answered_ids(&self) -> bool {
        !self.answered.is_empty()
    }

    /// The deadlines that are set.
    pub fn deadlines(&self) -> impl Iterator<Item = DeadlineHandle> {
        [self.connect_deadline, self.idle_deadline, self.answer_deadline].into_iter().flatten()
    }
}

//! The pool's records: servers, their connections, and the jobs that wait or are open there.

use super::answers::Reader;
use super::{ANSWERED, MOST_UNANSWERED, PROVEN, SECOND_ANSWER, SILENT};
use crate::deadlines::DeadlineHandle;
use crate::interface::Instant;
use crate::net::ConnectionKey;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(super) enum Job {
    Fetch(u64),
    Probe(u64),
}

/// Where a job is: its server, its id on the wire, and its connection once it is written.
pub(super) struct JobRecord {
    pub host: u32,
    pub lane: usize,
    pub id: String,
    pub connection: Option<ConnectionKey>,
    pub written: Instant,
    pub tally: Option<u16>,
}

pub(super) struct Host {
    pub addr: SocketAddr,
    /// Its last start, as the list tells it.
    pub since: Option<Instant>,
    pub lanes: [Lane; 2],
    pub gone: bool,
}

/// Reads and writes each have connections of their own.
#[derive(Default)]
pub(super) struct Lane {
    pub connections: Vec<ConnectionKey>,
    pub queue: VecDeque<Job>,
    pub backoff_until: Instant,
    pub dial_retries: u32,
}

impl Host {
    pub(super) fn connections(&self) -> Vec<ConnectionKey> {
        self.lanes.iter().flat_map(|lane| lane.connections.iter().copied()).collect()
    }

    pub(super) fn take_queue(&mut self) -> Vec<Job> {
        self.lanes.iter_mut().flat_map(|lane| std::mem::take(&mut lane.queue)).collect()
    }
}

/// An id that was answered on a connection, and when.
pub(super) struct Answered {
    pub at: Instant,
    pub id: String,
}

pub(super) struct Connection {
    pub host: u32,
    pub lane: usize,
    pub up: bool,
    /// Its socket took no byte of the last job; that job waits until the socket does.
    pub blocked: bool,
    /// What is open there, by the id on the wire.
    pub open: BTreeMap<String, Job>,
    /// Ids that were given up there: a late answer may still come, so none of them is used there again.
    pub cancelled: BTreeSet<String>,
    /// Ids that were answered there of late: a second answer must not be taken for one to a repeat.
    pub answered: VecDeque<Answered>,
    pub reader: Reader,
    /// Since when something waits there with nothing heard.
    pub waiting: Option<Instant>,
    pub unanswered: u32,
    /// When it came up, whether it has had a job, and since when nothing is open there.
    pub since: Instant,
    pub used: bool,
    pub idle_since: Instant,
    pub connect_deadline: Option<DeadlineHandle>,
    pub idle_deadline: Option<DeadlineHandle>,
    /// Hung while an answer has come in part.
    pub answer_deadline: Option<DeadlineHandle>,
    /// When that answer began.
    pub answer_since: Option<Instant>,
    /// The tally of the job whose bytes are not all written yet.
    pub tally: Option<u16>,
}

impl Connection {
    pub(super) fn takes(&self, now: Instant, id: &str) -> bool {
        let known = self.open.contains_key(id) || self.cancelled.contains(id);
        let may_repeat = |answered: &Answered| answered.id == id && now < answered.at + SECOND_ANSWER;
        !known && !self.answered.iter().any(may_repeat)
    }

    /// Takes the job that an id is open for, which was answered.
    pub(super) fn answered(&mut self, now: Instant, id: &str) -> Option<Job> {
        let job = self.open.remove(id)?;
        let is_over = |first: &Answered| first.at + SECOND_ANSWER <= now;
        while self.answered.len() == ANSWERED || self.answered.front().is_some_and(is_over) {
            self.answered.pop_front();
        }
        self.answered.push_back(Answered { at: now, id: id.to_owned() });
        Some(job)
    }

    /// Whether a write may go there.
    pub(super) fn is_sure(&self, now: Instant) -> bool {
        self.since + PROVEN <= now && !self.used
    }

    pub(super) fn silent(&self, now: Instant) -> bool {
        self.unanswered >= MOST_UNANSWERED || self.waiting.is_some_and(|since| now - since > SILENT)
    }
}

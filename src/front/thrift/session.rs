//! What is kept of one client's connection.

use super::arrivals::Arrivals;
use super::limits::{CHECK_INTERVAL, FIRST_REQUEST_GRACE};
use super::{SequenceId, SessionDeadline, ThriftEvent};
use crate::deadlines::{DeadlineHandle, Schedule};
use crate::front::{sessions, RequestHandle};
use crate::interface::Instant;
use crate::net::{ConnectionKey, Net, Reason};
use std::collections::{BTreeMap, VecDeque};

/// The open requests of a connection, with their handles once these are bound.
pub(super) type OpenRequests = BTreeMap<SequenceId, Option<RequestHandle>>;

/// One client's connection.
pub(super) struct Session {
    pub open_requests: OpenRequests,
    pub check_deadline: DeadlineHandle,
    /// Bytes written so far, as of the last check.
    pub written_bytes: u64,
    /// When some bytes were last written, or none were waiting.
    pub last_write_progress: Instant,
    /// When a message last came or was answered.
    pub last_active: Instant,
    /// Since when a message is awaited that has begun, or a first one.
    pub awaiting_message_since: Option<Instant>,
    /// It has sent a complete message.
    pub has_sent_message: bool,
    /// It waits for a turn to be read from.
    pub is_queued: bool,
    /// Since when reading pauses, so that the connection can be handed over once its requests are answered.
    pub paused_since: Option<Instant>,
    /// Reading may not pause again before this.
    pub pause_allowed_at: Instant,
    /// Since when only the client's close is awaited.
    pub lingering_since: Option<Instant>,
    /// The write side is shut down.
    pub is_shut_down: bool,
    /// Input cannot be read any further. The connection ends for this reason once its open requests are answered.
    pub unreadable_reason: Option<Reason>,
    /// Bytes of unread messages that were already searched for cancellations.
    pub scanned_bytes: usize,
    /// When the unused bytes came.
    pub arrivals: Arrivals,
    /// What the next read brings may have waited since then.
    pub waiting_since: Option<Instant>,
}

impl sessions::Session for Session {
    fn deadlines(&self) -> impl Iterator<Item = DeadlineHandle> {
        std::iter::once(self.check_deadline)
    }

    fn has_open_requests(&self) -> bool {
        !self.open_requests.is_empty()
    }

    fn is_lingering(&self) -> bool {
        self.lingering_since.is_some()
    }

    fn has_sent_message(&self) -> bool {
        self.has_sent_message
    }

    fn last_active(&self) -> Instant {
        self.last_active
    }
}

impl Session {
    /// A connection that has just been accepted.
    pub(super) fn new(
        now: Instant,
        conn: ConnectionKey,
        deadlines: &mut dyn Schedule<SessionDeadline>,
    ) -> Self {
        Session {
            open_requests: BTreeMap::new(),
            check_deadline: deadlines.add(now + CHECK_INTERVAL, SessionDeadline(conn)),
            written_bytes: 0,
            last_write_progress: now,
            last_active: now,
            awaiting_message_since: Some(now),
            has_sent_message: false,
            is_queued: false,
            paused_since: None,
            pause_allowed_at: now,
            lingering_since: None,
            is_shut_down: false,
            unreadable_reason: None,
            scanned_bytes: 0,
            arrivals: Arrivals::default(),
            waiting_since: None,
        }
    }

    /// Notes bytes that were just read.
    pub(super) fn add_arrival(&mut self, now: Instant, bytes: usize) {
        let at = self.waiting_since.take().unwrap_or(now);
        self.arrivals.add(bytes, at);
    }

    /// Notes a complete message of so many bytes. Returns when its first byte came.
    pub(super) fn note_message(&mut self, now: Instant, bytes: usize) -> Instant {
        self.last_active = now;
        self.awaiting_message_since = None;
        self.has_sent_message = true;
        self.arrivals.take(bytes).unwrap_or(now)
    }

    /// Drops what was read and not used.
    pub(super) fn drop_input(&mut self, conn: ConnectionKey, net: &mut Net) {
        self.arrivals.clear();
        net.input(conn, |input| input.clear());
    }

    /// Whether all its requests are answered and no further message has begun.
    pub(super) fn is_idle(&self, now: Instant, conn: ConnectionKey, net: &mut Net) -> bool {
        let has_unused_input = |net: &mut Net| net.input(conn, |input| !input.is_empty()).unwrap_or(false);
        let is_past_first_request = self.has_sent_message || self.last_active + FIRST_REQUEST_GRACE <= now;
        is_past_first_request
            && self.lingering_since.is_none()
            && !self.is_queued
            && self.open_requests.is_empty()
            && net.unwritten(conn) == 0
            && !has_unused_input(net)
    }

    /// Queues the connection to be read from, if it is not queued.
    pub(super) fn queue(&mut self, conn: ConnectionKey, turns: &mut VecDeque<ConnectionKey>) {
        if !self.is_queued {
            self.is_queued = true;
            turns.push_back(conn);
        }
    }

    /// Ends the pause of reading.
    pub(super) fn resume(&mut self, conn: ConnectionKey, turns: &mut VecDeque<ConnectionKey>) {
        self.paused_since = None;
        self.queue(conn, turns);
    }

    /// Cancels an open request. If it came in the same read, its event is taken back and the server never sees it.
    pub(super) fn cancel(&mut self, conn: ConnectionKey, seqid: SequenceId, events: &mut Vec<ThriftEvent>) {
        match self.open_requests.remove(&seqid) {
            Some(Some(handle)) => events.push(ThriftEvent::Cancelled(handle)),
            Some(None) => events.retain(|event| !event.is_request(conn, seqid)),
            None => {}
        }
    }
}

//! The state of one client's connection.

use super::arrivals::Arrivals;
use super::limits::{CHECK_INTERVAL, FIRST_REQUEST_GRACE};
use super::skipping::SkippedMessage;
use super::{SequenceId, SessionDeadline, ThriftEvent};
use crate::deadlines::{DeadlineHandle, Schedule};
use crate::front::delivery::Delivery;
use crate::front::unread::UnreadConnections;
use crate::front::{sessions, RequestHandle};
use crate::interface::Instant;
use crate::net::{ConnectionKey, Net, Reason};
use std::collections::BTreeMap;

/// The open requests of a connection, with their handles once these are set.
pub(super) type OpenRequests = BTreeMap<SequenceId, Option<RequestHandle>>;

pub(super) struct Session {
    pub open_requests: OpenRequests,
    pub check_deadline: DeadlineHandle,
    /// Number of bytes written up to the last timeout check.
    pub written_bytes: u64,
    /// The delivery of the answers.
    pub delivery: Delivery,
    /// When a timeout check last found that bytes had been written or that none were waiting.
    pub last_write_progress: Instant,
    /// When a message last arrived, a request was last answered, or the client was last seen reading its answers.
    pub last_active: Instant,
    /// Since when the rest of an incomplete message, or the first message, is awaited.
    pub awaiting_message_since: Option<Instant>,
    /// Whether the client has sent a complete message, or the connection was adopted.
    pub has_sent_message: bool,
    /// Since when reading is paused, so that the connection can be handed over once its open requests are
    /// answered.
    pub paused_since: Option<Instant>,
    /// When reading may be paused again.
    pub pause_allowed_at: Instant,
    /// Since when the connection lingers: it only writes what is left and waits for the client to close.
    pub lingering_since: Option<Instant>,
    /// Whether the write side is shut down.
    pub is_shut_down: bool,
    /// Why the input cannot be read any further; `None` while it can. The connection closes for this reason
    /// once its open requests are answered.
    pub unreadable_reason: Option<Reason>,
    /// Number of bytes of unconsumed messages that were already searched for cancellations.
    pub scanned_bytes: usize,
    /// When the unconsumed input arrived.
    pub arrivals: Arrivals,
    /// Since when the bytes of the next read may have waited; `None` if they have just arrived.
    pub waiting_since: Option<Instant>,
    /// Since when there is no memory for the rest of an incomplete message; `None` if there is.
    pub short_of_memory_since: Option<Instant>,
    /// The message whose rest is dropped as it arrives, since there was no memory for it.
    pub skipped_message: Option<SkippedMessage>,
}

impl sessions::Session for Session {
    fn delivery_mut(&mut self) -> Option<&mut Delivery> {
        Some(&mut self.delivery)
    }

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
    /// Creates the state of a connection that has just been accepted, and adds its timeout check.
    pub(super) fn new(
        now: Instant,
        conn: ConnectionKey,
        deadlines: &mut dyn Schedule<SessionDeadline>,
    ) -> Self {
        Session {
            open_requests: BTreeMap::new(),
            check_deadline: deadlines.add(now + CHECK_INTERVAL, SessionDeadline(conn)),
            written_bytes: 0,
            delivery: Delivery::new(now),
            last_write_progress: now,
            last_active: now,
            awaiting_message_since: Some(now),
            has_sent_message: false,
            paused_since: None,
            pause_allowed_at: now,
            lingering_since: None,
            is_shut_down: false,
            unreadable_reason: None,
            scanned_bytes: 0,
            arrivals: Arrivals::default(),
            waiting_since: None,
            short_of_memory_since: None,
            skipped_message: None,
        }
    }

    /// Records the arrival of bytes that were just read.
    pub(super) fn add_arrival(&mut self, now: Instant, bytes: usize) {
        let at = self.waiting_since.take().unwrap_or(now);
        self.arrivals.add(bytes, at);
    }

    /// Records a complete message of this many bytes. Returns when its first byte arrived.
    pub(super) fn note_message(&mut self, now: Instant, bytes: usize) -> Instant {
        self.last_active = now;
        self.awaiting_message_since = None;
        self.short_of_memory_since = None;
        self.has_sent_message = true;
        self.arrivals.take(bytes).unwrap_or(now)
    }

    /// Discards the unconsumed input.
    pub(super) fn drop_input(&mut self, conn: ConnectionKey, net: &mut Net) {
        self.arrivals.clear();
        net.input(conn, |input| input.clear());
    }

    /// Whether all requests are answered and no further message has been read in part. A connection without a first
    /// message counts as idle only after [`FIRST_REQUEST_GRACE`].
    pub(super) fn is_idle(&self, now: Instant, conn: ConnectionKey, net: &mut Net) -> bool {
        let has_unused_input = |net: &mut Net| net.input(conn, |input| !input.is_empty()).unwrap_or(false);
        let is_past_first_request = self.has_sent_message || self.last_active + FIRST_REQUEST_GRACE <= now;
        is_past_first_request
            && self.lingering_since.is_none()
            && self.open_requests.is_empty()
            && self.skipped_message.is_none()
            && net.unwritten_bytes(conn) == 0
            && !has_unused_input(net)
    }

    /// Ends the pause of reading, and queues the connection to be read again.
    pub(super) fn resume(&mut self, conn: ConnectionKey, unread: &mut UnreadConnections) {
        self.paused_since = None;
        unread.push(conn);
    }

    /// Cancels the open request that has a sequence number, if a further one comes under it: the client could not tell
    /// their answers apart, so neither is answered.
    ///
    /// # Errors
    ///
    /// There is such a request.
    pub(super) fn check_unique(
        &mut self,
        conn: ConnectionKey,
        seqid: SequenceId,
        events: &mut Vec<ThriftEvent>,
    ) -> Result<(), Reason> {
        if !self.open_requests.contains_key(&seqid) {
            return Ok(());
        }
        self.cancel(conn, seqid, events);
        Err(Reason::DuplicateSeqid)
    }

    /// Cancels an open request. If the request arrived in the same read and has no handle yet, its event is
    /// removed instead, so that the server never sees it.
    pub(super) fn cancel(&mut self, conn: ConnectionKey, seqid: SequenceId, events: &mut Vec<ThriftEvent>) {
        match self.open_requests.remove(&seqid) {
            Some(Some(handle)) => events.push(ThriftEvent::Cancelled(handle)),
            Some(None) => events.retain(|event| !event.is_request(conn, seqid)),
            None => {}
        }
    }
}

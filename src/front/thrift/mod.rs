//! The platform's front: framed Thrift. It reads calls, tracks which of them are open on a connection, and writes one
//! answer to each.
//!
//! - `session`: what is kept of one connection; `arrivals`: when its unused bytes came.
//! - `reading`: messages in turns, and cancellations; `frames` cuts the input, `codec` decodes and encodes messages.
//! - `answering`: answers out.
//! - `closing`: time-outs, graceful and immediate closes.
//! - `handover`: connections that go to a newer process, or end once they are idle.
//! - `limits`: sizes, counts and time-outs; `sequence_id`: the type of sequence numbers.

mod answering;
mod arrivals;
mod closing;
pub mod codec;
mod frames;
mod handover;
mod limits;
mod reading;
mod sequence_id;
mod session;

pub use limits::{HANDOVER_PAUSE, MAX_BODY_BYTES, MAX_OPEN_REQUESTS};
pub use sequence_id::SequenceId;

use super::sessions::Sessions;
use super::RequestHandle;
use crate::deadlines::Schedule;
use crate::interface::Instant;
use crate::net::{ConnectionKey, Net};
use bytes::Bytes;
use session::Session;
use std::collections::{BTreeMap, VecDeque};

/// The next check of a connection's time-outs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SessionDeadline(ConnectionKey);

/// What clients want of the edge proxy.
#[derive(Debug, PartialEq, Eq)]
pub enum ThriftEvent {
    /// A request.
    Request {
        /// Its connection.
        conn: ConnectionKey,
        /// Its sequence number.
        seqid: SequenceId,
        /// Its fields.
        fields: BTreeMap<String, String>,
        /// Its body.
        body: Bytes,
        /// When its first byte came. It may have waited unread since.
        arrived: Instant,
    },
    /// A request beyond [`MAX_OPEN_REQUESTS`]; [`ThriftFront::answer_untracked`] answers it.
    RequestOverLimit {
        /// Its connection.
        conn: ConnectionKey,
        /// Its sequence number.
        seqid: SequenceId,
        /// Its fields.
        fields: BTreeMap<String, String>,
    },
    /// A question whether the edge proxy is ready.
    Ping {
        /// Its connection.
        conn: ConnectionKey,
        /// Its sequence number.
        seqid: SequenceId,
    },
    /// A client has cancelled a request, or its connection has ended. No answer is owed.
    Cancelled(RequestHandle),
}

impl ThriftEvent {
    /// Whether it is the request of a connection under a sequence number.
    fn is_request(&self, on: ConnectionKey, number: SequenceId) -> bool {
        matches!(self, ThriftEvent::Request { conn, seqid, .. } if (*conn, *seqid) == (on, number))
    }
}

/// The clients' connections.
#[derive(Default)]
pub struct ThriftFront {
    sessions: Sessions<Session>,
    /// Connections that have more to read than their last turn allowed.
    turns: VecDeque<ConnectionKey>,
    /// Each connection ends once it is idle.
    is_draining: bool,
}

impl ThriftFront {
    /// Adds a client's connection.
    pub fn open(&mut self, now: Instant, conn: ConnectionKey, deadlines: &mut dyn Schedule<SessionDeadline>) {
        let session = Session::new(now, conn, deadlines);
        self.sessions.insert(conn, session);
    }

    /// Notes that a new connection may have waited to be accepted since an instant, and its first bytes with it.
    pub fn set_waiting_since(&mut self, conn: ConnectionKey, since: Instant) {
        if let Some(session) = self.sessions.get_mut(conn) {
            session.waiting_since = Some(since);
        }
    }

    /// All connections.
    pub fn connections(&self) -> Vec<ConnectionKey> {
        self.sessions.connections()
    }

    /// Whether a connection is a client's.
    pub fn owns(&self, conn: ConnectionKey) -> bool {
        self.sessions.contains(conn)
    }

    /// Whether a connection has sent a complete message.
    pub fn has_sent_message(&self, conn: ConnectionKey) -> bool {
        self.sessions.get(conn).is_some_and(|session| session.has_sent_message)
    }

    /// Takes the next connection that has more to read than its last turn allowed.
    pub fn next_turn(&mut self) -> Option<ConnectionKey> {
        let conn = self.turns.pop_front()?;
        if let Some(session) = self.sessions.get_mut(conn) {
            session.is_queued = false;
        }
        Some(conn)
    }

    /// How many connections wait for a turn.
    pub fn waiting_turns(&self) -> usize {
        self.turns.len()
    }

    /// Whether all answers are written.
    pub fn is_flushed(&self, net: &Net) -> bool {
        self.sessions.iter().all(|(conn, _)| net.unwritten(conn) == 0)
    }

    /// Whether a request is still open: its client may have closed within the read that brought it.
    pub fn is_open(&self, conn: ConnectionKey, seqid: SequenceId) -> bool {
        self.sessions.get(conn).is_some_and(|session| session.open_requests.contains_key(&seqid))
    }

    /// Gives an open request the handle by which [`ThriftEvent::Cancelled`] names it.
    pub fn set_handle(&mut self, conn: ConnectionKey, seqid: SequenceId, handle: RequestHandle) {
        let session = self.sessions.get_mut(conn);
        if let Some(bound) = session.and_then(|session| session.open_requests.get_mut(&seqid)) {
            *bound = Some(handle);
        }
    }
}

#[cfg(test)]
mod tests;

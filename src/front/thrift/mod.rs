//! The Thrift front, for the platform's clients. It reads framed Thrift calls, tracks the open requests of
//! each connection, and writes one answer to each.
//!
//! - `session`: state of one connection; `arrivals`: when its unconsumed input arrived.
//! - `reading`: reads messages, a limited number per connection at a time, and cancellations; `frames` splits
//!   the input into frames; `codec` decodes calls and encodes replies.
//! - `skipping`: messages that are dropped because there is no memory for them.
//! - `answering`: writes answers.
//! - `timeouts`: checks of a connection's timeouts; `closing`: graceful and immediate closing.
//! - `handover`: hands connections over to a newer process, or closes them once they are idle.
//! - `limits`: sizes, counts and timeouts; `sequence_id`: the type of sequence numbers.

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
mod skipping;
mod timeouts;

pub use limits::{HANDOVER_PAUSE, MAX_BODY_BYTES, MAX_OPEN_REQUESTS};
pub use sequence_id::SequenceId;

use super::sessions::Sessions;
use super::unread::UnreadConnections;
use super::RequestHandle;
use crate::deadlines::Schedule;
use crate::interface::Instant;
use crate::net::{ConnectionKey, Net, Role};
use bytes::Bytes;
use limits::MAX_FRAME_BYTES;
use session::Session;
use std::collections::BTreeMap;

/// The deadline of a connection's next timeout check.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SessionDeadline(ConnectionKey);

/// An event from a client.
#[derive(Debug, PartialEq, Eq)]
pub enum ThriftEvent {
    /// A request, which is open until it is answered or cancelled.
    Request {
        /// The client's connection.
        conn: ConnectionKey,
        /// The sequence number, which the reply repeats.
        seqid: SequenceId,
        /// The request's fields by name.
        fields: BTreeMap<String, String>,
        /// The request's body; empty if it has none.
        body: Bytes,
        /// When the first byte arrived. The request may have waited unread since then.
        arrived: Instant,
    },
    /// A request beyond [`MAX_OPEN_REQUESTS`], or one for which there was no memory. It is not open;
    /// [`ThriftFront::answer_untracked`] answers it.
    RequestOverLimit {
        /// The client's connection.
        conn: ConnectionKey,
        /// The sequence number, which the reply repeats.
        seqid: SequenceId,
        /// The request's fields by name; empty if they were not read.
        fields: BTreeMap<String, String>,
    },
    /// A `ping`, which asks whether the edge proxy is ready.
    Ping {
        /// The client's connection.
        conn: ConnectionKey,
        /// The sequence number, which the reply repeats.
        seqid: SequenceId,
    },
    /// The client has cancelled a request, or its connection has ended. The request needs no answer.
    Cancelled(RequestHandle),
}

impl ThriftEvent {
    /// Whether the event is the request with this sequence number on this connection.
    fn is_request(&self, on: ConnectionKey, number: SequenceId) -> bool {
        matches!(self, ThriftEvent::Request { conn, seqid, .. } if (*conn, *seqid) == (on, number))
    }
}

/// The Thrift front with its clients' connections.
#[derive(Default)]
pub struct ThriftFront {
    sessions: Sessions<Session>,
    /// Connections that reached the limit of a read and may have more to read.
    unread: UnreadConnections,
    /// Whether connections are closed once they are idle.
    is_draining: bool,
}

impl ThriftFront {
    /// Adds a client's connection.
    pub fn open(&mut self, now: Instant, conn: ConnectionKey, deadlines: &mut dyn Schedule<SessionDeadline>) {
        let session = Session::new(now, conn, deadlines);
        self.sessions.insert(conn, session);
    }

    /// Records since when a new connection, and its first bytes with it, may have waited to be accepted.
    pub fn set_waiting_since(&mut self, conn: ConnectionKey, since: Instant) {
        if let Some(session) = self.sessions.get_mut(conn) {
            session.waiting_since = Some(since);
        }
    }

    /// Returns all connections, including those that linger.
    pub fn connections(&self) -> Vec<ConnectionKey> {
        self.sessions.connections()
    }

    /// Whether a connection belongs to this front.
    pub fn owns(&self, conn: ConnectionKey) -> bool {
        self.sessions.contains(conn)
    }

    /// Whether a connection's client has sent a complete message, or the connection was adopted.
    pub fn has_sent_message(&self, conn: ConnectionKey) -> bool {
        self.sessions.get(conn).is_some_and(|session| session.has_sent_message)
    }

    /// Queues a connection to be read later, although it is readable now.
    pub fn queue_read(&mut self, now: Instant, conn: ConnectionKey) {
        if let Some(session) = self.sessions.get_mut(conn) {
            session.waiting_since.get_or_insert(now);
            self.unread.push(conn);
        }
    }

    /// Removes and returns the first of the connections that may have more to read.
    pub fn next_readable_connection(&mut self) -> Option<ConnectionKey> {
        self.unread.pop()
    }

    /// Queues connections that waited for memory to be read again, as many as there is memory for the longest
    /// frame.
    pub fn resume_waiting_for_memory(&mut self, net: &Net) {
        self.unread.resume(net.free_input_bytes(Role::Thrift), MAX_FRAME_BYTES);
    }

    /// Whether connections wait for memory, so that messages which clients have sent may be unread.
    pub fn needs_memory(&self) -> bool {
        self.unread.needs_memory()
    }

    /// Returns the number of connections that wait to be read again.
    pub fn connections_with_more_to_read(&self) -> usize {
        self.unread.len()
    }

    /// Whether all answers are written and sent on all connections.
    pub fn is_flushed(&mut self, now: Instant, net: &Net) -> bool {
        self.sessions.iter_mut().all(|(conn, session)| {
            net.unwritten_bytes(conn) == 0 && !session.delivery.is_pending(now, conn, net)
        })
    }

    /// Whether a request is still open. Its client may have closed the connection right after the request, in
    /// the same read.
    pub fn is_open(&self, conn: ConnectionKey, seqid: SequenceId) -> bool {
        self.sessions.get(conn).is_some_and(|session| session.open_requests.contains_key(&seqid))
    }

    /// Sets the handle of an open request, which [`ThriftEvent::Cancelled`] returns.
    pub fn set_handle(&mut self, conn: ConnectionKey, seqid: SequenceId, handle: RequestHandle) {
        let session = self.sessions.get_mut(conn);
        if let Some(bound) = session.and_then(|session| session.open_requests.get_mut(&seqid)) {
            *bound = Some(handle);
        }
    }
}

#[cfg(test)]
mod tests;

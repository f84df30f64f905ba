//! The platform's front: framed Thrift. It reads calls, keeps which of them are open on a connection, and
//! writes each one answer.

pub mod codec;
mod ending;
mod frames;
mod handing_on;
mod reading;
mod session;

use crate::deadlines::Schedule;
use crate::interface::{Instant, Span};
use crate::net::{ConnectionKey, Net};
use bytes::Bytes;
use codec::ThriftReply;
use session::Session;
use std::collections::{BTreeMap, VecDeque};

/// Requests that may be open on one connection.
pub const MOST_OPEN: usize = 32;
/// The longest body: a write's.
pub const MOST_BODY: usize = 48_000;
/// The longest frame: the longest body and its fields, with room.
const MOST_FRAME: usize = 64 * 1024;
/// A client that has this many bytes of answers to take is not read from.
const MOST_UNWRITTEN: usize = 1 << 20;
/// Messages taken from one connection at a turn: a client at full speed takes its turns like all others.
const TURN: usize = 8;
/// How often a connection is looked at.
const LOOK: Span = Span::from_millis(400);
/// A client that takes none of its answer's bytes for this long is closed.
const STALLED: Span = Span::from_secs(10);
/// A message must be whole this long after it began, and a first one after its client connected: clients are
/// owed an end within 3 s.
const WHOLE: Span = Span::from_secs(2);
/// A connection on which nothing is open for this long is closed. Clients close theirs after 4 s; some that ask
/// once never would.
const IDLE: Span = Span::from_secs(6);
/// Before a connection is handed on nothing is read there for this long at most: most answers come within it, and
/// what waits unread has time left.
pub const PAUSE: Span = Span::from_millis(300);
/// How long a client may take to close after it was told the end.
const LINGER: Span = Span::from_secs(1);
/// A connection that never asked and has been quiet for this long is idle, too, where all are to end: a first
/// request follows its connection sooner.
const NEVER_ASKED: Span = Span::from_millis(200);

/// What falls due for a connection: a look whether it stands still.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SessionDeadline(ConnectionKey);

/// What a client asks of the edge proxy.
#[derive(Debug, PartialEq, Eq)]
pub enum ThriftEvent {
    /// A request.
    Request {
        /// Its connection.
        conn: ConnectionKey,
        /// Its sequence number.
        seqid: i32,
        /// Its fields.
        fields: BTreeMap<String, String>,
        /// Its body.
        body: Bytes,
        /// When its first byte came: it may have waited unread since.
        arrived: Instant,
    },
    /// A request beyond the most that may be open; [`ThriftFront::answer_unbound`] answers it.
    RequestOverLimit {
        /// Its connection.
        conn: ConnectionKey,
        /// Its sequence number.
        seqid: i32,
        /// Its fields.
        fields: BTreeMap<String, String>,
    },
    /// A question whether the edge proxy is ready.
    Ping {
        /// Its connection.
        conn: ConnectionKey,
        /// Its sequence number.
        seqid: i32,
    },
    /// A request is over for its client: nothing is owed. The number is what [`ThriftFront::bind`] gave.
    Cancelled(u64),
}

impl ThriftEvent {
    fn is_invoke(&self, on: ConnectionKey, number: i32) -> bool {
        matches!(self, ThriftEvent::Request { conn, seqid, .. } if (*conn, *seqid) == (on, number))
    }
}

/// The clients' connections.
#[derive(Default)]
pub struct ThriftFront {
    sessions: BTreeMap<ConnectionKey, Session>,
    /// Those that have more to read.
    turns: VecDeque<ConnectionKey>,
    /// Each connection ends when it falls idle.
    retired: bool,
}

impl ThriftFront {
    /// Takes a client's connection in.
    pub fn open(&mut self, now: Instant, conn: ConnectionKey, due: &mut dyn Schedule<SessionDeadline>) {
        let session = Session::new(now, conn, due);
        self.sessions.insert(conn, session);
    }

    /// What a connection that was just taken in has sent may have waited since then: no connection could be taken.
    pub fn waits_since(&mut self, conn: ConnectionKey, since: Instant) {
        if let Some(session) = self.sessions.get_mut(&conn) {
            session.waits_since = Some(since);
        }
    }

    /// All connections.
    pub fn connections(&self) -> Vec<ConnectionKey> {
        self.sessions.keys().copied().collect()
    }

    /// Whether a whole message has come on this connection.
    pub fn has_asked(&self, conn: ConnectionKey) -> bool {
        self.sessions.get(&conn).is_some_and(|session| session.asked)
    }

    /// The next connection that has more to read than its last turn allowed.
    pub fn next_turn(&mut self) -> Option<ConnectionKey> {
        let conn = self.turns.pop_front()?;
        if let Some(session) = self.sessions.get_mut(&conn) {
            session.more = false;
        }
        Some(conn)
    }

    /// How many wait for a turn.
    pub fn waiting_turns(&self) -> usize {
        self.turns.len()
    }

    /// Whether this connection is a client's.
    pub fn owns(&self, conn: ConnectionKey) -> bool {
        self.sessions.contains_key(&conn)
    }

    /// Whether all answers have been written out.
    pub fn is_flushed(&self, net: &Net) -> bool {
        self.sessions.keys().all(|conn| net.unwritten(*conn) == 0)
    }

    /// Whether a request is still open: its client may have left within the read that brought it.
    pub fn is_open(&self, conn: ConnectionKey, seqid: i32) -> bool {
        self.sessions.get(&conn).is_some_and(|session| session.open.contains_key(&seqid))
    }

    /// Gives an open request the number by which [`ThriftEvent::Cancelled`] names it.
    pub fn bind(&mut self, conn: ConnectionKey, seqid: i32, number: u64) {
        if let Some(open) = self.sessions.get_mut(&conn).and_then(|session| session.open.get_mut(&seqid)) {
            *open = Some(number);
        }
    }

    /// Writes a request's one answer; none if it is not open any more.
    pub fn answer(
        &mut self,
        now: Instant,
        conn: ConnectionKey,
        seqid: i32,
        reply: ThriftReply,
        net: &mut Net,
        due: &mut dyn Schedule<SessionDeadline>,
    ) -> Vec<ThriftEvent> {
        let Some(session) = self.sessions.get_mut(&conn) else { return Vec::new() };
        if session.open.remove(&seqid).is_none() {
            return Vec::new();
        }
        session.heard = now;
        let last = session.unreadable.filter(|_| session.open.is_empty());
        let mut asks = self.answer_unbound(now, conn, seqid, reply, net, due);
        if let Some(reason) = last {
            asks.extend(self.end(now, conn, reason, net, due));
        }
        asks
    }

    /// Writes an answer to what was never open: a ping, or a request too many.
    pub fn answer_unbound(
        &mut self,
        now: Instant,
        conn: ConnectionKey,
        seqid: i32,
        reply: ThriftReply,
        net: &mut Net,
        due: &mut dyn Schedule<SessionDeadline>,
    ) -> Vec<ThriftEvent> {
        match net.write(conn, codec::reply(seqid, reply)) {
            Ok(()) => Vec::new(),
            Err(reason) => self.close(now, conn, reason, net, due),
        }
    }
}

#[cfg(test)]
mod tests;

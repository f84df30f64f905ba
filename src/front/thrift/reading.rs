//! Reading from clients: messages taken whole and by turns, and cancellations seen also where nothing else is taken.

use super::codec::{self, Method, ThriftReply, PREFIX};
use super::frames::{cancelled, next_frame};
use super::{ThriftEvent, ThriftFront, MOST_FRAME, MOST_OPEN, MOST_UNWRITTEN, TURN};
use crate::deadlines::Schedule;
use crate::interface::Instant;
use crate::net::{ConnectionKey, Net, Reason};
use bytes::Bytes;
use tracing::warn;

/// Thrift's kinds of exceptions that are answered here.
const UNKNOWN_METHOD: i32 = 1;
const PROTOCOL_ERROR: i32 = 7;

/// Bytes that are looked through for cancellations, and handed on with a connection, at most.
const MOST_SCANNED: usize = 512 * 1024;

/// How one turn of a connection ended.
enum TurnEnd {
    /// All whole messages are taken.
    Empty,
    /// There may be more of them.
    More,
}

impl ThriftFront {
    /// A connection may be read from, or written to, or its client is known to have closed it. A client that closed has
    /// gone: what it asked for is over, also what is still unread.
    pub fn ready(
        &mut self,
        now: Instant,
        conn: ConnectionKey,
        closed: bool,
        net: &mut Net,
        due: &mut dyn Schedule<super::SessionDeadline>,
    ) -> Vec<ThriftEvent> {
        let Some(session) = self.sessions.get(&conn) else { return Vec::new() };
        if session.lingers.is_some() {
            self.linger(now, conn, net, due);
            return Vec::new();
        }
        if closed {
            return self.close(now, conn, Reason::PeerClosed, net, due);
        }
        if session.unreadable.is_some() {
            return self.ready_unreadable(now, conn, net, due);
        }
        let mut asks = Vec::new();
        match net.flush(conn).and_then(|()| self.read(now, conn, net, &mut asks)) {
            Ok(()) => {}
            Err(reason @ (Reason::PeerClosed | Reason::PeerReset)) => {
                asks.extend(self.close(now, conn, reason, net, due));
            }
            Err(reason) => asks.extend(self.end_unreadable(now, conn, reason, net, due)),
        }
        asks
    }

    /// The same where nothing can be read any more: only answers are written.
    fn ready_unreadable(
        &mut self,
        now: Instant,
        conn: ConnectionKey,
        net: &mut Net,
        due: &mut dyn Schedule<super::SessionDeadline>,
    ) -> Vec<ThriftEvent> {
        match net.flush(conn).and_then(|()| net.ended(conn)) {
            Ok(false) => Vec::new(),
            Ok(true) => self.close(now, conn, Reason::PeerClosed, net, due),
            Err(reason) => self.close(now, conn, reason, net, due),
        }
    }

    /// Ends a connection on which something came that can't be read on from: at once, or after the answers to what was
    /// asked there before.
    fn end_unreadable(
        &mut self,
        now: Instant,
        conn: ConnectionKey,
        reason: Reason,
        net: &mut Net,
        due: &mut dyn Schedule<super::SessionDeadline>,
    ) -> Vec<ThriftEvent> {
        let Some(session) = self.sessions.get_mut(&conn) else { return Vec::new() };
        if session.open.is_empty() {
            return self.end(now, conn, reason, net, due);
        }
        session.unreadable = Some(reason);
        session.arrivals.clear();
        net.input(conn, |input| input.clear());
        Vec::new()
    }

    fn read(
        &mut self,
        now: Instant,
        conn: ConnectionKey,
        net: &mut Net,
        asks: &mut Vec<ThriftEvent>,
    ) -> Result<(), Reason> {
        let mut taken = 0;
        loop {
            let Some(session) = self.sessions.get_mut(&conn) else { return Ok(()) };
            // Its next read comes with the write event that says that some bytes were taken.
            if session.paused.is_some() || net.unwritten(conn) >= MOST_UNWRITTEN {
                return self.read_cancellations(now, conn, net, asks);
            }
            session.scanned = 0;
            let got = net.read(conn, MOST_FRAME + PREFIX)?;
            session.arrived(now, got.bytes);
            let turn_end = self.take_frames(now, conn, &mut taken, net, asks)?;
            let Some(session) = self.sessions.get_mut(&conn) else { return Ok(()) };
            let unfinished = net.input(conn, |input| !input.is_empty()).unwrap_or(false);
            session.begun = if unfinished || !session.asked { session.begun.or(Some(now)) } else { None };
            if matches!(turn_end, TurnEnd::More) || (got.more && taken > 0) {
                if !session.more {
                    session.more = true;
                    self.turns.push_back(conn);
                }
                return Ok(());
            }
            if got.end {
                return Err(Reason::PeerClosed);
            }
            if !got.more {
                return Ok(());
            }
        }
    }

    /// Takes whole messages, up to a turn's number.
    fn take_frames(
        &mut self,
        now: Instant,
        conn: ConnectionKey,
        taken: &mut usize,
        net: &mut Net,
        asks: &mut Vec<ThriftEvent>,
    ) -> Result<TurnEnd, Reason> {
        while *taken < TURN {
            let frame = net.input(conn, next_frame).unwrap_or(Ok(None))?;
            let Some(frame) = frame else { return Ok(TurnEnd::Empty) };
            *taken += 1;
            self.take(now, conn, frame, net, asks)?;
        }
        Ok(TurnEnd::More)
    }

    /// Looks through what has come on a connection from which no request is taken now: one that is open may have been
    /// cancelled there, and is over at once. The bytes stay for when they have their turn.
    fn read_cancellations(
        &mut self,
        now: Instant,
        conn: ConnectionKey,
        net: &mut Net,
        asks: &mut Vec<ThriftEvent>,
    ) -> Result<(), Reason> {
        let got = net.read(conn, MOST_SCANNED)?;
        if let Some(session) = self.sessions.get_mut(&conn) {
            session.arrived(now, got.bytes);
            let scanned = &mut session.scanned;
            let cancelled = net.input(conn, |input| cancelled(input, scanned)).unwrap_or_default();
            let over = cancelled.into_iter().filter_map(|seqid| session.open.remove(&seqid)).flatten();
            asks.extend(over.map(ThriftEvent::Cancelled));
        }
        if got.end {
            return Err(Reason::PeerClosed);
        }
        Ok(())
    }

    fn take(
        &mut self,
        now: Instant,
        conn: ConnectionKey,
        frame: Bytes,
        net: &mut Net,
        asks: &mut Vec<ThriftEvent>,
    ) -> Result<(), Reason> {
        let Some(session) = self.sessions.get_mut(&conn) else { return Ok(()) };
        (session.heard, session.begun, session.asked) = (now, None, true);
        let arrived = session.arrivals.take(PREFIX + frame.len()).unwrap_or(now);
        let call = codec::call(frame).map_err(|error| {
            warn!("conn={conn} {error}");
            Reason::BadMessage
        })?;
        let (seqid, name) = (call.seqid, call.name);
        let exception =
            |kind, text: &str| codec::reply(seqid, ThriftReply::Exception { name, kind, text: text.into() });
        match call.method {
            // Which of two answers under one number is whose can't be told: neither gets one.
            Method::Invoke { .. } | Method::Malformed(_) if session.open.contains_key(&seqid) => {
                session.withdraw(conn, seqid, asks);
                return Err(Reason::DuplicateSeqid);
            }
            Method::Invoke { fields, .. } if session.open.len() >= MOST_OPEN => {
                asks.push(ThriftEvent::RequestOverLimit { conn, seqid, fields });
            }
            Method::Invoke { fields, body } => {
                session.open.insert(seqid, None);
                asks.push(ThriftEvent::Request { conn, seqid, fields, body, arrived });
            }
            Method::Abort(target) => session.withdraw(conn, target, asks),
            Method::Ping => asks.push(ThriftEvent::Ping { conn, seqid }),
            Method::Unknown => net.write(conn, exception(UNKNOWN_METHOD, "no such method"))?,
            Method::Malformed(why) => net.write(conn, exception(PROTOCOL_ERROR, why))?,
        }
        Ok(())
    }
}

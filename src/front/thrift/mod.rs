//! The platform's front: framed Thrift. It reads calls, keeps which of them are open on a connection, and
//! writes each one answer.

pub mod codec;
mod session;

use crate::deadlines::Schedule;
use crate::net::{ConnKey, Net, Reason};
use bytes::{Buf, Bytes, BytesMut};
use codec::{Method, Reply, PREFIX};
use session::Session;
use std::collections::{BTreeMap, VecDeque};
use tracing::{info, warn};

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
/// How often a connection is looked at, us.
const LOOK: i64 = 400_000;
/// A client that takes none of its answer's bytes for this long is closed, us.
const STALLED: i64 = 10_000_000;
/// A message must be whole this long after it began, and a first one after its client connected, us: clients are
/// owed an end within 3 s.
const WHOLE: i64 = 2_000_000;
/// A connection on which nothing is open for this long is closed, us. Clients close theirs after 4 s; some that ask
/// once never would.
const IDLE: i64 = 6_000_000;
/// Before a connection is handed on nothing is read there for this long at most, us: most answers come within it, and
/// what waits unread has time left.
pub const PAUSE: i64 = 300_000;
/// How long a client may take to close after it was told the end, us.
const LINGER: i64 = 1_000_000;
/// A connection that never asked and has been quiet for this long is idle, too, where all are to end, us: a first
/// request follows its connection sooner.
const NEVER_ASKED: i64 = 200_000;

/// What falls due for a connection: a look whether it stands still.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Due(ConnKey);

/// What a client asks of the edge proxy.
#[derive(Debug, PartialEq, Eq)]
pub enum Ask {
    /// A request.
    Invoke {
        /// Its connection.
        conn: ConnKey,
        /// Its sequence number.
        seqid: i32,
        /// Its fields.
        fields: BTreeMap<String, String>,
        /// Its body.
        body: Bytes,
    },
    /// A request beyond the most that may be open; [`Front::say`] answers it.
    Over {
        /// Its connection.
        conn: ConnKey,
        /// Its sequence number.
        seqid: i32,
        /// Its fields.
        fields: BTreeMap<String, String>,
    },
    /// A question whether the edge proxy is ready.
    Ping {
        /// Its connection.
        conn: ConnKey,
        /// Its sequence number.
        seqid: i32,
    },
    /// A request is over for its client: nothing is owed. The number is what [`Front::bind`] gave.
    Gone(u64),
}

/// The clients' connections.
#[derive(Default)]
pub struct Front {
    sessions: BTreeMap<ConnKey, Session>,
    /// Those that have more to read.
    turns: VecDeque<ConnKey>,
    /// Each connection ends when it falls idle.
    retired: bool,
}

impl Front {
    /// Takes a client's connection in.
    pub fn open(&mut self, now: i64, conn: ConnKey, due: &mut dyn Schedule<Due>) {
        let session = Session {
            open: BTreeMap::new(),
            look: Some(due.add(now + LOOK, Due(conn))),
            wrote: 0,
            moved: now,
            heard: now,
            begun: Some(now),
            asked: false,
            more: false,
            paused: None,
            rested: now,
            lingers: None,
            shut_down: false,
            unreadable: None,
            scanned: 0,
        };
        self.sessions.insert(conn, session);
    }

    /// The next connection that has more to read than its last turn allowed.
    pub fn turn(&mut self) -> Option<ConnKey> {
        let conn = self.turns.pop_front()?;
        if let Some(session) = self.sessions.get_mut(&conn) {
            session.more = false;
        }
        Some(conn)
    }

    /// How many wait for a turn.
    pub fn turns(&self) -> usize {
        self.turns.len()
    }

    /// Makes room for a new connection: ends the one that is missed least. First those that were told the end, then
    /// those that never asked, then those on which nothing is open, the longest so first.
    pub fn evict(&mut self, now: i64, net: &mut Net, due: &mut dyn Schedule<Due>) -> bool {
        let idle = self.sessions.iter().filter(|(conn, s)| s.open.is_empty() && net.unwritten(**conn) == 0);
        let least = idle.min_by_key(|(conn, s)| (s.lingers.is_none(), s.asked, s.heard, **conn));
        let Some(conn) = least.map(|(conn, _)| *conn) else { return false };
        self.close(now, conn, Reason::Evicted, net, due);
        true
    }

    /// From now on each connection ends as it falls idle: another process takes the clients.
    pub fn retire(&mut self) {
        self.retired = true;
    }

    /// Takes in a connection that another process had: its client may have asked there already.
    pub fn adopt(&mut self, now: i64, conn: ConnKey, due: &mut dyn Schedule<Due>) {
        self.open(now, conn, due);
        if let Some(session) = self.sessions.get_mut(&conn) {
            (session.asked, session.begun) = (true, None);
        }
    }

    /// The connections that can be handed on: nothing is open there. Where no more than `most` requests are open,
    /// nothing is read for [`PAUSE`], and then for as long what waits is; all of them pause before the end.
    pub fn to_hand_on(&mut self, now: i64, most: usize, before_end: bool, net: &Net) -> Vec<ConnKey> {
        let mut all: Vec<ConnKey> = Vec::new();
        for (conn, session) in self.sessions.iter_mut().filter(|(_, session)| session.lingers.is_none()) {
            match session.paused {
                Some(since) if !before_end && since + PAUSE <= now => {
                    session.rested = now + PAUSE;
                    session.resume(*conn, &mut self.turns);
                }
                None if before_end || (session.open.len() <= most && session.rested <= now) => {
                    session.paused = Some(now);
                }
                _ => {}
            }
            if session.open.is_empty() && net.unwritten(*conn) == 0 {
                all.push(*conn);
            }
        }
        all
    }

    /// Forgets a connection that was handed on.
    pub fn handed_on(&mut self, conn: ConnKey, due: &mut dyn Schedule<Due>) {
        let look = self.sessions.remove(&conn).and_then(|session| session.look);
        look.into_iter().for_each(|handle| due.remove(handle));
    }

    /// Reads again everywhere: there is nobody to hand connections to.
    pub fn resume(&mut self) {
        for (conn, session) in self.sessions.iter_mut().filter(|(_, session)| session.paused.is_some()) {
            session.resume(*conn, &mut self.turns);
        }
    }

    /// A connection that has fallen idle, where they are to end then. One whose client has just connected is none: it
    /// is about to ask.
    pub fn fading(&self, now: i64, net: &mut Net) -> Option<ConnKey> {
        let mut all = self.sessions.iter().filter(|_| self.retired);
        all.find(|(conn, session)| session.is_idle(now, **conn, net)).map(|(conn, _)| *conn)
    }

    /// Ends a connection that is still idle.
    pub fn fade(
        &mut self,
        now: i64,
        conn: ConnKey,
        reason: Reason,
        net: &mut Net,
        due: &mut dyn Schedule<Due>,
    ) {
        if self.sessions.get(&conn).is_some_and(|session| session.is_idle(now, conn, net)) {
            self.end(now, conn, reason, net, due);
        }
    }

    /// Whether this connection is a client's.
    pub fn owns(&self, conn: ConnKey) -> bool {
        self.sessions.contains_key(&conn)
    }

    /// Whether all answers have been written out.
    pub fn is_flushed(&self, net: &Net) -> bool {
        self.sessions.keys().all(|conn| net.unwritten(*conn) == 0)
    }

    /// Whether a request is still open: its client may have left within the read that brought it.
    pub fn is_open(&self, conn: ConnKey, seqid: i32) -> bool {
        self.sessions.get(&conn).is_some_and(|session| session.open.contains_key(&seqid))
    }

    /// Gives an open request the number by which [`Ask::Gone`] names it.
    pub fn bind(&mut self, conn: ConnKey, seqid: i32, number: u64) {
        if let Some(open) = self.sessions.get_mut(&conn).and_then(|session| session.open.get_mut(&seqid)) {
            *open = Some(number);
        }
    }

    /// Writes a request's one answer; none if it is not open any more.
    pub fn answer(
        &mut self,
        now: i64,
        conn: ConnKey,
        seqid: i32,
        reply: Reply,
        net: &mut Net,
        due: &mut dyn Schedule<Due>,
    ) -> Vec<Ask> {
        let Some(session) = self.sessions.get_mut(&conn) else { return Vec::new() };
        if session.open.remove(&seqid).is_none() {
            return Vec::new();
        }
        session.heard = now;
        let last = session.unreadable.filter(|_| session.open.is_empty());
        let mut asks = self.say(now, conn, seqid, reply, net, due);
        if let Some(reason) = last {
            asks.extend(self.end(now, conn, reason, net, due));
        }
        asks
    }

    /// Writes an answer to what was never open: a ping, or a request too many.
    pub fn say(
        &mut self,
        now: i64,
        conn: ConnKey,
        seqid: i32,
        reply: Reply,
        net: &mut Net,
        due: &mut dyn Schedule<Due>,
    ) -> Vec<Ask> {
        match net.write(conn, codec::reply(seqid, reply)) {
            Ok(()) => Vec::new(),
            Err(reason) => self.close(now, conn, reason, net, due),
        }
    }

    /// A connection may be read from, or written to, or its client is known to have closed it. A client that closed has
    /// gone: what it asked for is over, also what is still unread.
    pub fn ready(
        &mut self,
        now: i64,
        conn: ConnKey,
        closed: bool,
        net: &mut Net,
        due: &mut dyn Schedule<Due>,
    ) -> Vec<Ask> {
        let mut asks = Vec::new();
        if self.sessions.get(&conn).is_some_and(|session| session.lingers.is_some()) {
            self.linger(now, conn, net, due);
            return asks;
        }
        if closed {
            return self.close(now, conn, Reason::PeerClosed, net, due);
        }
        if self.sessions.get(&conn).is_some_and(|session| session.unreadable.is_some()) {
            return match net.flush(conn).and_then(|()| net.ended(conn)) {
                Ok(false) => asks,
                Ok(true) => self.close(now, conn, Reason::PeerClosed, net, due),
                Err(reason) => self.close(now, conn, reason, net, due),
            };
        }
        match net.flush(conn).and_then(|()| self.read(now, conn, net, &mut asks)) {
            Ok(()) => {}
            Err(reason @ (Reason::PeerClosed | Reason::PeerReset)) => {
                asks.extend(self.close(now, conn, reason, net, due));
            }
            Err(reason) => asks.extend(self.end_unreadable(now, conn, reason, net, due)),
        }
        asks
    }

    /// Ends a connection on which something came that can't be read on from: at once, or after the answers to what was
    /// asked there before. Where two requests share a number no answer can be told from the other's.
    fn end_unreadable(
        &mut self,
        now: i64,
        conn: ConnKey,
        reason: Reason,
        net: &mut Net,
        due: &mut dyn Schedule<Due>,
    ) -> Vec<Ask> {
        let Some(session) = self.sessions.get_mut(&conn) else { return Vec::new() };
        if session.open.is_empty() || reason == Reason::DuplicateSeqid {
            return self.end(now, conn, reason, net, due);
        }
        session.unreadable = Some(reason);
        net.input(conn, |input| input.clear());
        Vec::new()
    }

    fn read(&mut self, now: i64, conn: ConnKey, net: &mut Net, asks: &mut Vec<Ask>) -> Result<(), Reason> {
        let mut taken = 0;
        loop {
            let Some(session) = self.sessions.get_mut(&conn) else { return Ok(()) };
            // Its next read comes with the write event that says that some bytes were taken.
            if session.paused.is_some() || net.unwritten(conn) >= MOST_UNWRITTEN {
                return self.read_aborts(conn, net, asks);
            }
            session.scanned = 0;
            let got = net.read(conn, MOST_FRAME + PREFIX)?;
            let mut rest = true;
            while taken < TURN {
                let frame = net.input(conn, frame).unwrap_or(Ok(None))?;
                let Some(frame) = frame else {
                    rest = false;
                    break;
                };
                taken += 1;
                self.take(now, conn, frame, net, asks)?;
            }
            let Some(session) = self.sessions.get_mut(&conn) else { return Ok(()) };
            let unfinished = net.input(conn, |input| !input.is_empty()).unwrap_or(false);
            session.begun = if unfinished || !session.asked { session.begun.or(Some(now)) } else { None };
            if rest || (got.more && taken > 0) {
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

    /// Looks through what has come on a connection from which no request is taken now: one that is open may have been
    /// cancelled there, and is over at once. The bytes stay for when they have their turn.
    fn read_aborts(&mut self, conn: ConnKey, net: &mut Net, asks: &mut Vec<Ask>) -> Result<(), Reason> {
        let got = net.read(conn, MOST_FRAME + PREFIX)?;
        if let Some(session) = self.sessions.get_mut(&conn) {
            let scanned = &mut session.scanned;
            let cancelled = net.input(conn, |input| aborts(input, scanned)).unwrap_or_default();
            let over = cancelled.into_iter().filter_map(|seqid| session.open.remove(&seqid)).flatten();
            asks.extend(over.map(Ask::Gone));
        }
        if got.end {
            return Err(Reason::PeerClosed);
        }
        Ok(())
    }

    fn take(
        &mut self,
        now: i64,
        conn: ConnKey,
        frame: Bytes,
        net: &mut Net,
        asks: &mut Vec<Ask>,
    ) -> Result<(), Reason> {
        let Some(session) = self.sessions.get_mut(&conn) else { return Ok(()) };
        (session.heard, session.begun, session.asked) = (now, None, true);
        let call = codec::call(frame).map_err(|codec::Bad(why)| {
            warn!("conn={conn} a message can't be read: {why}");
            Reason::BadMessage
        })?;
        let seqid = call.seqid;
        let name = call.name;
        let exception =
            |kind, text: &str| codec::reply(seqid, Reply::Exception { name, kind, text: text.into() });
        match call.method {
            Method::Invoke { fields, body } => {
                // Which of two answers under one number is whose can't be told: such a connection ends.
                if session.open.contains_key(&seqid) {
                    return Err(Reason::DuplicateSeqid);
                }
                if session.open.len() >= MOST_OPEN {
                    asks.push(Ask::Over { conn, seqid, fields });
                    return Ok(());
                }
                session.open.insert(seqid, None);
                asks.push(Ask::Invoke { conn, seqid, fields, body });
            }
            Method::Abort(target) => {
                let number = session.open.remove(&target);
                // An abort may come in the same read as its request, which the server then never sees.
                match number {
                    Some(Some(number)) => asks.push(Ask::Gone(number)),
                    Some(None) => asks.retain(|ask| {
                        !matches!(ask, Ask::Invoke { conn: c, seqid: s, .. } if (*c, *s) == (conn, target))
                    }),
                    None => {}
                }
            }
            Method::Ping => asks.push(Ask::Ping { conn, seqid }),
            Method::Unknown => net.write(conn, exception(1, "no such method"))?,
            Method::Malformed(why) => {
                // Answering under the number of an open request would answer that one.
                if session.open.contains_key(&seqid) {
                    return Err(Reason::DuplicateSeqid);
                }
                net.write(conn, exception(7, why))?;
            }
        }
        Ok(())
    }

    /// A look at a connection has fallen due.
    pub fn due(&mut self, now: i64, what: Due, net: &mut Net, due: &mut dyn Schedule<Due>) -> Vec<Ask> {
        let Due(conn) = what;
        let Some(session) = self.sessions.get_mut(&conn) else { return Vec::new() };
        session.look = Some(due.add(now + LOOK, Due(conn)));
        let (wrote, unwritten) = (net.wrote(conn), net.unwritten(conn) > 0);
        if wrote != session.wrote || !unwritten {
            (session.wrote, session.moved) = (wrote, now);
        }
        let quiet = session.open.is_empty() && !unwritten && !session.more;
        if !quiet {
            // Its answers come first: what it has begun meanwhile may have waited for us.
            session.begun = session.begun.map(|_| now);
        }
        if session.lingers.is_some_and(|since| since + LINGER <= now) {
            self.close(now, conn, Reason::Done, net, due)
        } else if session.moved + STALLED <= now {
            self.close(now, conn, Reason::Stalled, net, due)
        } else if session.lingers.is_some() || !quiet {
            Vec::new() // what is open there is not lost for a message that does not come
        } else if session.begun.is_some_and(|since| since + WHOLE <= now) {
            self.end(now, conn, Reason::HeadTimeout, net, due)
        } else if session.heard + IDLE <= now {
            self.close(now, conn, Reason::Idle, net, due)
        } else {
            Vec::new()
        }
    }

    /// Says the end on a connection from this side; what was open there is over for its client. It is closed once
    /// the client has closed, or soon.
    fn end(
        &mut self,
        now: i64,
        conn: ConnKey,
        reason: Reason,
        net: &mut Net,
        due: &mut dyn Schedule<Due>,
    ) -> Vec<Ask> {
        let Some(session) = self.sessions.get_mut(&conn) else { return Vec::new() };
        if net.wrote(conn) == 0 {
            return self.close(now, conn, reason, net, due); // there is no answer to be taken away
        }
        info!("conn={conn} is told the end: {}", reason.code());
        session.lingers = Some(now);
        let mut gone = gone(std::mem::take(&mut session.open));
        net.input(conn, |input| input.clear());
        gone.extend(self.linger(now, conn, net, due));
        gone
    }

    /// Goes on with a connection that was told the end: once its answers are written the write side is shut down, and
    /// what still comes is dropped unread until its client closes.
    fn linger(&mut self, now: i64, conn: ConnKey, net: &mut Net, due: &mut dyn Schedule<Due>) -> Vec<Ask> {
        let ended = net.flush(conn).and_then(|()| net.ended(conn));
        let Some(session) = self.sessions.get_mut(&conn) else { return Vec::new() };
        if !session.shut_down && net.unwritten(conn) == 0 {
            session.shut_down = true;
            net.shutdown(conn);
        }
        match ended {
            Ok(false) => Vec::new(),
            Ok(true) | Err(_) => self.close(now, conn, Reason::Done, net, due),
        }
    }

    /// Closes a connection; what was open there is over for its client.
    pub fn close(
        &mut self,
        now: i64,
        conn: ConnKey,
        reason: Reason,
        net: &mut Net,
        due: &mut dyn Schedule<Due>,
    ) -> Vec<Ask> {
        let Some(session) = self.sessions.remove(&conn) else { return Vec::new() };
        session.look.into_iter().for_each(|handle| due.remove(handle));
        net.close(now, conn, reason);
        gone(session.open)
    }

    /// Closes all connections.
    pub fn stop(&mut self, now: i64, net: &mut Net, due: &mut dyn Schedule<Due>) {
        for conn in self.sessions.keys().copied().collect::<Vec<_>>() {
            self.close(now, conn, Reason::Stopping, net, due);
        }
    }
}

/// The next whole frame of what has come.
fn frame(input: &mut BytesMut) -> Result<Option<Bytes>, Reason> {
    let Some(prefix) = input.first_chunk::<PREFIX>() else { return Ok(None) };
    let length = usize::try_from(i32::from_be_bytes(*prefix)).map_err(|_| Reason::BadMessage)?;
    if length > MOST_FRAME {
        return Err(Reason::Oversize);
    }
    if input.len() < PREFIX + length {
        return Ok(None);
    }
    input.advance(PREFIX);
    Ok(Some(input.split_to(length).freeze()))
}

/// The sequence numbers that the whole messages of what has come cancel, from those on that were not looked at before.
fn aborts(input: &[u8], scanned: &mut usize) -> Vec<i32> {
    let mut cancelled = Vec::new();
    while let Some((prefix, rest)) = input.get(*scanned..).and_then(<[u8]>::split_first_chunk::<PREFIX>) {
        let length = usize::try_from(i32::from_be_bytes(*prefix)).unwrap_or(usize::MAX);
        let Some(message) = rest.get(..length) else { break };
        if let Ok(codec::Call { method: Method::Abort(seqid), .. }) =
            codec::call(Bytes::copy_from_slice(message))
        {
            cancelled.push(seqid);
        }
        *scanned += PREFIX + length;
    }
    cancelled
}

/// What is over with a connection.
fn gone(open: BTreeMap<i32, Option<u64>>) -> Vec<Ask> {
    let mut gone: Vec<u64> = open.into_values().flatten().collect();
    gone.sort_unstable();
    gone.into_iter().map(Ask::Gone).collect()
}

#[cfg(test)]
mod tests;

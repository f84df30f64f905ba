//! The platform's front: framed Thrift. It reads calls, keeps which of them are open on a connection, and
//! writes each one answer.

pub mod codec;

use crate::deadlines::{Handle, Schedule};
use crate::net::{ConnKey, Net, Reason};
use bytes::{Buf, Bytes};
use codec::{Method, Reply, PREFIX};
use log::warn;
use std::collections::{BTreeMap, HashMap};

/// Requests that may be open on one connection.
pub const MOST_OPEN: usize = 32;
/// The longest frame: a write of 48,000 bytes and its fields, with room.
const MOST_FRAME: usize = 128 * 1024;
/// A client that has this many bytes of answers to take is not read from.
const MOST_UNWRITTEN: usize = 1 << 20;
/// A client that takes none of its answer's bytes for this long is closed, us.
const STALLED: i64 = 10_000_000;
/// A connection on which nothing is open for this long is closed, us; clients close theirs after 4 s.
const IDLE: i64 = 30_000_000;

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

struct Session {
    /// The open requests, and their numbers once they are bound.
    open: HashMap<i32, Option<u64>>,
    look: Option<Handle>,
    /// Bytes written, and open requests, at the last look.
    seen: u64,
    heard: i64,
}

/// The clients' connections.
#[derive(Default)]
pub struct Front {
    sessions: HashMap<ConnKey, Session>,
}

impl Front {
    /// Takes a client's connection in.
    pub fn open(&mut self, now: i64, conn: ConnKey, due: &mut dyn Schedule<Due>) {
        let look = Some(due.add(now + STALLED, Due(conn)));
        self.sessions.insert(conn, Session { open: HashMap::new(), look, seen: 0, heard: now });
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
        self.say(now, conn, seqid, reply, net, due)
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

    /// A connection may be read from, or written to.
    pub fn ready(&mut self, now: i64, conn: ConnKey, net: &mut Net, due: &mut dyn Schedule<Due>) -> Vec<Ask> {
        let mut asks = Vec::new();
        if let Err(reason) = net.flush(conn).and_then(|()| self.read(now, conn, net, &mut asks)) {
            asks.extend(self.close(now, conn, reason, net, due));
        }
        asks
    }

    fn read(&mut self, now: i64, conn: ConnKey, net: &mut Net, asks: &mut Vec<Ask>) -> Result<(), Reason> {
        // Its next read comes with the write event that says that some bytes were taken.
        while net.unwritten(conn) < MOST_UNWRITTEN {
            let got = net.read(conn, MOST_FRAME + PREFIX)?;
            loop {
                let frame = net.input(conn, |input| {
                    let Some(prefix) = input.first_chunk::<PREFIX>() else { return Ok(None) };
                    let length = i32::from_be_bytes(*prefix);
                    let length = usize::try_from(length).map_err(|_| Reason::BadMessage)?;
                    if length > MOST_FRAME {
                        return Err(Reason::Oversize);
                    }
                    if input.len() < PREFIX + length {
                        return Ok(None);
                    }
                    input.advance(PREFIX);
                    Ok(Some(input.split_to(length).freeze()))
                });
                let Some(frame) = frame.transpose()?.flatten() else { break };
                self.take(now, conn, frame, net, asks)?;
            }
            if got.end {
                return Err(Reason::PeerClosed);
            }
            if !got.more {
                break;
            }
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
        session.heard = now;
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
        let wrote = net.wrote(conn);
        let stalled = net.unwritten(conn) > 0 && wrote == session.seen;
        let idle = session.open.is_empty() && session.heard + IDLE <= now;
        session.seen = wrote;
        session.look = Some(due.add(now + STALLED, Due(conn)));
        match (stalled, idle) {
            (true, _) => self.close(now, conn, Reason::Stalled, net, due),
            (false, true) => self.close(now, conn, Reason::Idle, net, due),
            _ => Vec::new(),
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
        let mut gone: Vec<u64> = session.open.into_values().flatten().collect();
        gone.sort_unstable();
        gone.into_iter().map(Ask::Gone).collect()
    }

    /// Closes all connections.
    pub fn stop(&mut self, now: i64, net: &mut Net, due: &mut dyn Schedule<Due>) {
        for conn in self.sessions.keys().copied().collect::<Vec<_>>() {
            self.close(now, conn, Reason::Stopping, net, due);
        }
    }
}

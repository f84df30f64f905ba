//! The admin endpoint: HTTP/1.1, one call per connection. Its callers hold a few descriptors of their own, so that
//! neither clients nor callers that sit on a connection keep an answer from the next.

use super::http::{self, HeadError};
use crate::deadlines::{DeadlineHandle, Schedule};
use crate::interface::{Instant, Span};
use crate::net::{ConnectionKey, Net, Reason};
use bytes::{Bytes, BytesMut};
use std::collections::BTreeMap;

/// The kind of an answer that is lines of text.
pub const TEXT: &str = "text/plain; charset=utf-8";
/// Callers at a time; for one more, the one that has been silent longest has to go.
pub const CALLERS: usize = 8;
/// A call must be whole this long after its caller connected.
const WHOLE: Span = Span::from_secs(6);
/// How long a caller may take to close after its answer.
const LINGER: Span = Span::from_secs(1);

/// What falls due: a caller's time is over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerDeadline(ConnectionKey);

/// What is asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdminCall {
    /// Whether this process takes clients.
    Healthcheck,
    /// The figures.
    Stats,
    /// The federation, as JSON.
    Federation,
}

struct Session {
    due: DeadlineHandle,
    heard: Instant,
    /// It has its answer and is to close: closing first, with its bytes unread, would reset the connection and could
    /// take the answer away from it.
    answered: bool,
}

/// The callers' connections.
#[derive(Default)]
pub struct AdminFront {
    sessions: BTreeMap<ConnectionKey, Session>,
}

impl AdminFront {
    /// Takes a caller's connection in, in the place of another where there are too many.
    pub fn open(
        &mut self,
        now: Instant,
        conn: ConnectionKey,
        net: &mut Net,
        due: &mut dyn Schedule<CallerDeadline>,
    ) {
        if self.sessions.len() >= CALLERS {
            let least = self.sessions.iter().min_by_key(|(conn, s)| (!s.answered, s.heard, **conn));
            if let Some(least) = least.map(|(conn, _)| *conn) {
                self.close(now, least, Reason::Evicted, net, due);
            }
        }
        let session =
            Session { due: due.add(now + WHOLE, CallerDeadline(conn)), heard: now, answered: false };
        self.sessions.insert(conn, session);
    }

    /// Whether this connection is a caller's.
    pub fn owns(&self, conn: ConnectionKey) -> bool {
        self.sessions.contains_key(&conn)
    }

    /// A connection may be read from, or written to; gives the call that is whole now, which [`AdminFront::answer`] ends.
    pub fn ready(
        &mut self,
        now: Instant,
        conn: ConnectionKey,
        net: &mut Net,
        due: &mut dyn Schedule<CallerDeadline>,
    ) -> Option<AdminCall> {
        let session = self.sessions.get_mut(&conn)?;
        if session.answered {
            if net.flush(conn).and_then(|()| net.ended(conn)) != Ok(false) {
                self.close(now, conn, Reason::Done, net, due);
            }
            return None;
        }
        let got = match net.read(conn, http::MOST_HEAD + 1) {
            Ok(got) => got,
            Err(reason) => {
                self.close(now, conn, reason, net, due);
                return None;
            }
        };
        if got.bytes > 0 {
            session.heard = now;
        }
        match net.input(conn, call).unwrap_or(Ok(None)) {
            Ok(Some(call)) => return Some(call),
            // It writes nothing more, so half a head never becomes a whole one.
            Ok(None) if got.end => self.close(now, conn, Reason::PeerClosed, net, due),
            Ok(None) => {}
            Err(status) => self.answer(now, conn, status, (TEXT, ""), net, due),
        }
        None
    }

    /// Answers a connection's one call.
    pub fn answer(
        &mut self,
        now: Instant,
        conn: ConnectionKey,
        status: u16,
        (kind, body): (&str, &str),
        net: &mut Net,
        due: &mut dyn Schedule<CallerDeadline>,
    ) {
        let Some(session) = self.sessions.get_mut(&conn) else { return };
        (session.answered, session.heard) = (true, now);
        due.remove(session.due);
        session.due = due.add(now + LINGER, CallerDeadline(conn));
        let mut head = http::start(status, net.unix_time());
        http::line(&mut head, "Content-Type", &kind);
        http::line(&mut head, "Content-Length", &body.len());
        http::line(&mut head, "Cache-Control", &"no-store");
        if status == 405 {
            http::line(&mut head, "Allow", &"GET");
        }
        http::line(&mut head, "Connection", &"close");
        head.push_str("\r\n");
        head.push_str(body);
        net.input(conn, BytesMut::clear);
        match net.write(conn, [Bytes::from(head)]) {
            Ok(()) if net.unwritten(conn) == 0 => net.shutdown(conn),
            Ok(()) => {} // its length says where it ends
            Err(reason) => self.close(now, conn, reason, net, due),
        }
    }

    /// A caller's time is over: half a call gets its answer, what was answered is closed.
    pub fn due(
        &mut self,
        now: Instant,
        what: CallerDeadline,
        net: &mut Net,
        due: &mut dyn Schedule<CallerDeadline>,
    ) {
        let CallerDeadline(conn) = what;
        let Some(session) = self.sessions.get(&conn) else { return };
        let said_nothing = net.input(conn, |input| input.is_empty()).unwrap_or(true);
        match session.answered {
            true => self.close(now, conn, Reason::Done, net, due),
            false if said_nothing => self.close(now, conn, Reason::HeadTimeout, net, due),
            false => self.answer(now, conn, 408, (TEXT, ""), net, due),
        }
    }

    fn close(
        &mut self,
        now: Instant,
        conn: ConnectionKey,
        reason: Reason,
        net: &mut Net,
        due: &mut dyn Schedule<CallerDeadline>,
    ) {
        let Some(session) = self.sessions.remove(&conn) else { return };
        due.remove(session.due);
        net.close(now, conn, reason);
    }

    /// Closes all connections.
    pub fn stop(&mut self, now: Instant, net: &mut Net, due: &mut dyn Schedule<CallerDeadline>) {
        for conn in self.sessions.keys().copied().collect::<Vec<_>>() {
            self.close(now, conn, Reason::Stopping, net, due);
        }
    }
}

/// Takes the call, once its head is whole.
///
/// # Errors
///
/// The status of what is no call.
fn call(input: &mut BytesMut) -> Result<Option<AdminCall>, u16> {
    let read = http::head(input, |head| {
        if head.method != Some("GET") {
            return Err(HeadError::Method { keep: false });
        }
        if http::has_body(head) {
            return Err(HeadError::Malformed("a body"));
        }
        let path = head.path.unwrap_or_default();
        Ok(match path.split_once('?').map_or(path, |(path, _)| path) {
            "/healthcheck" => Some(AdminCall::Healthcheck),
            "/stats" => Some(AdminCall::Stats),
            "/federation" => Some(AdminCall::Federation),
            _ => None,
        })
    });
    match read {
        Ok(None) => Ok(None),
        Ok(Some(Some(call))) => Ok(Some(call)),
        Ok(Some(None)) => Err(404),
        Err(HeadError::Method { .. }) => Err(405),
        Err(HeadError::Malformed(_)) => Err(400),
        Err(HeadError::Oversize) => Err(431),
    }
}

#[cfg(test)]
mod tests;

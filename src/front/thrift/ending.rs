//! The ends of clients' connections: looked for by time, told to the client, and awaited from it.

use super::{SessionDeadline, ThriftEvent, ThriftFront, IDLE, LINGER, LOOK, STALLED, WHOLE};
use crate::deadlines::Schedule;
use crate::interface::Instant;
use crate::net::{ConnectionKey, Net, Reason};
use std::collections::BTreeMap;
use tracing::info;

/// What a look at a connection found.
enum Look {
    Fine,
    /// Its client is told the end.
    End(Reason),
    Close(Reason),
    /// Nothing was heard there for long, but for what is still unread.
    Idle,
}

impl ThriftFront {
    /// A look at a connection has fallen due.
    pub fn due(
        &mut self,
        now: Instant,
        what: SessionDeadline,
        net: &mut Net,
        due: &mut dyn Schedule<SessionDeadline>,
    ) -> Vec<ThriftEvent> {
        let SessionDeadline(conn) = what;
        match self.look(now, conn, net, due) {
            Look::Fine => Vec::new(),
            Look::End(reason) => self.end(now, conn, reason, net, due),
            Look::Close(reason) => self.close(now, conn, reason, net, due),
            Look::Idle => {
                // A request that came just now is answered.
                let asks = self.ready(now, conn, false, net, due);
                let is_idle = self.sessions.get(&conn).is_some_and(|session| session.heard + IDLE <= now);
                if is_idle {
                    self.close(now, conn, Reason::Idle, net, due);
                }
                asks
            }
        }
    }

    fn look(
        &mut self,
        now: Instant,
        conn: ConnectionKey,
        net: &mut Net,
        due: &mut dyn Schedule<SessionDeadline>,
    ) -> Look {
        let Some(session) = self.sessions.get_mut(&conn) else { return Look::Fine };
        session.look = Some(due.add(now + LOOK, SessionDeadline(conn)));
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
            Look::Close(Reason::Done)
        } else if session.moved + STALLED <= now {
            Look::Close(Reason::Stalled)
        } else if session.lingers.is_some() || !quiet {
            Look::Fine // what is open there is not lost for a message that does not come
        } else if session.begun.is_some_and(|since| since + WHOLE <= now) {
            Look::End(Reason::HeadTimeout)
        } else if session.heard + IDLE <= now {
            Look::Idle
        } else {
            Look::Fine
        }
    }

    /// Says the end on a connection from this side; what was open there is over for its client. It is closed once
    /// the client has closed, or soon.
    pub(super) fn end(
        &mut self,
        now: Instant,
        conn: ConnectionKey,
        reason: Reason,
        net: &mut Net,
        due: &mut dyn Schedule<SessionDeadline>,
    ) -> Vec<ThriftEvent> {
        let Some(session) = self.sessions.get_mut(&conn) else { return Vec::new() };
        if net.wrote(conn) == 0 {
            return self.close(now, conn, reason, net, due); // there is no answer to be taken away
        }
        info!("conn={conn} is told the end: {}", reason.code());
        session.lingers = Some(now);
        session.arrivals.clear();
        let mut over = over(std::mem::take(&mut session.open));
        net.input(conn, |input| input.clear());
        over.extend(self.linger(now, conn, net, due));
        over
    }

    /// Says the end on every connection that was not told it yet.
    pub fn end_all(
        &mut self,
        now: Instant,
        reason: Reason,
        net: &mut Net,
        due: &mut dyn Schedule<SessionDeadline>,
    ) -> Vec<ThriftEvent> {
        let left = self.sessions.iter().filter(|(_, session)| session.lingers.is_none());
        let left: Vec<ConnectionKey> = left.map(|(conn, _)| *conn).collect();
        left.into_iter().flat_map(|conn| self.end(now, conn, reason, net, due)).collect()
    }

    /// Goes on with a connection that was told the end: once its answers are written the write side is shut down, and
    /// what still comes is dropped unread until its client closes.
    pub(super) fn linger(
        &mut self,
        now: Instant,
        conn: ConnectionKey,
        net: &mut Net,
        due: &mut dyn Schedule<SessionDeadline>,
    ) -> Vec<ThriftEvent> {
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

    /// The connection that is missed least, if one is missed less than a new one: first those that were told the end,
    /// then those that never asked, then those on which nothing is open, the longest so first.
    pub fn least_missed(&self, net: &Net) -> Option<ConnectionKey> {
        let idle = self.sessions.iter().filter(|(conn, s)| s.open.is_empty() && net.unwritten(**conn) == 0);
        let least = idle.min_by_key(|(conn, s)| (s.lingers.is_none(), s.asked, s.heard, **conn));
        least.map(|(conn, _)| *conn)
    }

    /// Closes a connection; what was open there is over for its client.
    pub fn close(
        &mut self,
        now: Instant,
        conn: ConnectionKey,
        reason: Reason,
        net: &mut Net,
        due: &mut dyn Schedule<SessionDeadline>,
    ) -> Vec<ThriftEvent> {
        let Some(session) = self.sessions.remove(&conn) else { return Vec::new() };
        session.look.into_iter().for_each(|handle| due.remove(handle));
        net.close(now, conn, reason);
        over(session.open)
    }

    /// Closes all connections.
    pub fn stop(&mut self, now: Instant, net: &mut Net, due: &mut dyn Schedule<SessionDeadline>) {
        for conn in self.connections() {
            self.close(now, conn, Reason::Stopping, net, due);
        }
    }
}

/// What is over with a connection.
fn over(open: BTreeMap<i32, Option<u64>>) -> Vec<ThriftEvent> {
    let mut numbers: Vec<u64> = open.into_values().flatten().collect();
    numbers.sort_unstable();
    numbers.into_iter().map(ThriftEvent::Cancelled).collect()
}

//! The ends of connections: looked for by time, told to the client, and awaited from it.

use super::http::HttpAnswer;
use super::{SessionDeadline, SignedFront, State, Turn, LINGER, STALLED};
use crate::deadlines::Schedule;
use crate::interface::Instant;
use crate::net::{ConnectionKey, Net, Reason};

impl SignedFront {
    /// A deadline of a connection has fallen; it may have an answer to write.
    pub fn due(
        &mut self,
        now: Instant,
        what: SessionDeadline,
        net: &mut Net,
        due: &mut dyn Schedule<SessionDeadline>,
    ) -> ConnectionKey {
        let (SessionDeadline::Look(conn) | SessionDeadline::Head(conn)) = what;
        let Some(session) = self.sessions.get_mut(&conn) else { return conn };
        if let SessionDeadline::Head(_) = what {
            session.head = None;
            if session.lingers {
                self.close(now, conn, Reason::Done, net, due);
                return conn;
            }
            if session.count == 0 && net.input(conn, |input| input.is_empty()).unwrap_or(true) {
                self.close(now, conn, Reason::HeadTimeout, net, due);
                return conn;
            }
            let (number, state) = (session.count, State::Said(HttpAnswer::bare(408)));
            session.turns.push_back(Turn { number, state, only_head: false, keep: false });
            (session.count, session.last) = (number + 1, true);
            return conn;
        }
        let wrote = net.wrote(conn);
        let stalled = net.unwritten(conn) > 0 && wrote == session.seen;
        let idle = session.turns.is_empty() && session.heard + self.config.idle_timeout <= now;
        session.seen = wrote;
        session.look =
            Some(due.add(now + STALLED.min(self.config.idle_timeout), SessionDeadline::Look(conn)));
        match (stalled, idle) {
            (true, _) => self.close(now, conn, Reason::Stalled, net, due),
            (false, true) => self.close(now, conn, Reason::Idle, net, due),
            _ => {}
        }
        conn
    }

    /// Says the end on a connection all of whose answers have left and which is to end with them.
    pub fn finish(
        &mut self,
        now: Instant,
        conn: ConnectionKey,
        net: &mut Net,
        due: &mut dyn Schedule<SessionDeadline>,
    ) {
        let Some(session) = self.sessions.get_mut(&conn) else { return };
        if session.last && !session.lingers && session.turns.is_empty() && net.unwritten(conn) == 0 {
            session.lingers = true;
            session.head.take().into_iter().for_each(|handle| due.remove(handle));
            session.head = Some(due.add(now + LINGER, SessionDeadline::Head(conn)));
            net.shutdown(conn);
        }
    }

    /// A client has closed its connection: it has gone, whatever of it is still unread.
    pub fn closed(
        &mut self,
        now: Instant,
        conn: ConnectionKey,
        net: &mut Net,
        due: &mut dyn Schedule<SessionDeadline>,
    ) {
        let lingers = self.sessions.get(&conn).is_some_and(|session| session.lingers);
        let reason = if lingers { Reason::Done } else { Reason::PeerClosed };
        self.close(now, conn, reason, net, due);
    }

    /// Closes a connection; what was open there is over for its client.
    pub fn close(
        &mut self,
        now: Instant,
        conn: ConnectionKey,
        reason: Reason,
        net: &mut Net,
        due: &mut dyn Schedule<SessionDeadline>,
    ) {
        let Some(session) = self.sessions.remove(&conn) else { return };
        session.look.into_iter().chain(session.head).for_each(|handle| due.remove(handle));
        net.close(now, conn, reason);
        let bound = |turn: Turn| match turn.state {
            State::Open(bound) => bound,
            State::Said(_) => None,
        };
        self.gone.extend(session.turns.into_iter().filter_map(bound));
    }

    /// Closes all connections.
    pub fn stop(&mut self, now: Instant, net: &mut Net, due: &mut dyn Schedule<SessionDeadline>) {
        for conn in self.sessions.keys().copied().collect::<Vec<_>>() {
            self.close(now, conn, Reason::Stopping, net, due);
        }
    }
}

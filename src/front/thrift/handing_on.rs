//! Connections that are handed on to a newer process, or end as they fall idle where there is none.

use super::{SessionDeadline, ThriftFront, PAUSE};
use crate::deadlines::Schedule;
use crate::interface::Instant;
use crate::net::{ConnectionKey, Net, Reason};

impl ThriftFront {
    /// From now on each connection ends as it falls idle: another process takes the clients.
    pub fn retire(&mut self) {
        self.retired = true;
    }

    /// Takes in a connection that another process had: its client may have asked there already.
    pub fn adopt(
        &mut self,
        now: Instant,
        conn: ConnectionKey,
        net: &mut Net,
        due: &mut dyn Schedule<SessionDeadline>,
    ) {
        self.open(now, conn, due);
        if let Some(session) = self.sessions.get_mut(&conn) {
            (session.asked, session.begun) = (true, None);
            // What was read there may have waited for the pause before a connection is handed on.
            let unused = net.input(conn, |input| input.len()).unwrap_or(0);
            session.arrivals.add(unused, now - PAUSE);
        }
    }

    /// The connections that can be handed on: nothing is open there. Where no more than `most` requests are open,
    /// nothing is read for [`PAUSE`], and then for as long what waits is; all of them pause before the end.
    pub fn connections_to_hand_over(
        &mut self,
        now: Instant,
        most: usize,
        before_end: bool,
        net: &Net,
    ) -> Vec<ConnectionKey> {
        let mut all: Vec<ConnectionKey> = Vec::new();
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
    pub fn handed_over(&mut self, conn: ConnectionKey, due: &mut dyn Schedule<SessionDeadline>) {
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
    pub fn idle_connection(&self, now: Instant, net: &mut Net) -> Option<ConnectionKey> {
        let mut all = self.sessions.iter().filter(|_| self.retired);
        all.find(|(conn, session)| session.is_idle(now, **conn, net)).map(|(conn, _)| *conn)
    }

    /// Ends a connection that is still idle.
    pub fn end_if_idle(
        &mut self,
        now: Instant,
        conn: ConnectionKey,
        reason: Reason,
        net: &mut Net,
        due: &mut dyn Schedule<SessionDeadline>,
    ) {
        if self.sessions.get(&conn).is_some_and(|session| session.is_idle(now, conn, net)) {
            self.end(now, conn, reason, net, due);
        }
    }
}

//! Connections that are handed over to a newer process, or end once they are idle where there is none.

use super::limits::HANDOVER_PAUSE;
use super::{SessionDeadline, ThriftFront};
use crate::deadlines::Schedule;
use crate::interface::Instant;
use crate::net::{ConnectionKey, Net, Reason};

impl ThriftFront {
    /// Ends each connection once it is idle, as another process takes the clients.
    pub fn start_draining(&mut self) {
        self.is_draining = true;
    }

    /// Adds a connection that another process had.
    pub fn adopt(
        &mut self,
        now: Instant,
        conn: ConnectionKey,
        net: &mut Net,
        deadlines: &mut dyn Schedule<SessionDeadline>,
    ) {
        self.open(now, conn, deadlines);
        if let Some(session) = self.sessions.get_mut(conn) {
            session.has_sent_message = true;
            session.awaiting_message_since = None;
            // What the other process read may have waited for the whole pause before the handover.
            let unused = net.input(conn, |input| input.len()).unwrap_or(0);
            session.arrivals.add(unused, now - HANDOVER_PAUSE);
        }
    }

    /// The connections that can be handed over, since none of their requests is open. Reading pauses for
    /// [`HANDOVER_PAUSE`] on those that have at most `max_open` open requests, and goes on for as long afterwards; all
    /// of them pause `is_end_near`.
    pub fn connections_to_hand_over(
        &mut self,
        now: Instant,
        max_open: usize,
        is_end_near: bool,
        net: &Net,
    ) -> Vec<ConnectionKey> {
        let mut ready: Vec<ConnectionKey> = Vec::new();
        for (conn, session) in self.sessions.iter_mut() {
            if session.lingering_since.is_some() {
                continue;
            }
            match session.paused_since {
                Some(since) if !is_end_near && since + HANDOVER_PAUSE <= now => {
                    session.pause_allowed_at = now + HANDOVER_PAUSE;
                    session.resume(conn, &mut self.turns);
                }
                None if is_end_near
                    || (session.open_requests.len() <= max_open && session.pause_allowed_at <= now) =>
                {
                    session.paused_since = Some(now);
                }
                _ => {}
            }
            if session.open_requests.is_empty() && net.unwritten(conn) == 0 {
                ready.push(conn);
            }
        }
        ready
    }

    /// Removes a connection that was handed over.
    pub fn remove_handed_over(&mut self, conn: ConnectionKey, deadlines: &mut dyn Schedule<SessionDeadline>) {
        self.sessions.remove(conn, deadlines);
    }

    /// Reads from all connections again: no process takes them.
    pub fn resume_reading(&mut self) {
        for (conn, session) in self.sessions.iter_mut() {
            if session.paused_since.is_some() {
                session.resume(conn, &mut self.turns);
            }
        }
    }

    /// An idle connection, if they are to end. One that has just connected does not count: its first request is
    /// coming.
    pub fn idle_connection(&self, now: Instant, net: &mut Net) -> Option<ConnectionKey> {
        let mut draining = self.sessions.iter().filter(|_| self.is_draining);
        draining.find(|(conn, session)| session.is_idle(now, *conn, net)).map(|(conn, _)| conn)
    }

    /// Ends a connection gracefully if it is still idle.
    pub fn close_if_idle(
        &mut self,
        now: Instant,
        conn: ConnectionKey,
        reason: Reason,
        net: &mut Net,
        deadlines: &mut dyn Schedule<SessionDeadline>,
    ) {
        if self.sessions.get(conn).is_some_and(|session| session.is_idle(now, conn, net)) {
            self.close_gracefully(now, conn, reason, net, deadlines);
        }
    }
}

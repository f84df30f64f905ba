//! Handover of connections to a newer process; if there is none, they are closed once they are idle.

use super::limits::HANDOVER_PAUSE;
use super::session::Session;
use super::{SessionDeadline, ThriftFront};
use crate::deadlines::Schedule;
use crate::front::delivery::Delivery;
use crate::interface::Instant;
use crate::net::{ConnectionKey, Net, Reason};

impl ThriftFront {
    /// Starts draining: this process takes no more clients, and [`ThriftFront::idle_connection`] returns
    /// those to close.
    pub fn start_draining(&mut self) {
        self.is_draining = true;
    }

    /// Adds a connection that another process has handed over.
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
            session.delivery = Delivery::adopted(now);
            session.awaiting_message_since = None;
            // Input that the other process read may have waited for the whole pause before the handover.
            let unused = net.input(conn, |input| input.len()).unwrap_or(0);
            session.arrivals.add(unused, now - HANDOVER_PAUSE);
        }
    }

    /// Returns the connections that can be handed over: they have no open request and no unwritten answer. On
    /// those with at most `max_open` open requests, reading pauses for [`HANDOVER_PAUSE`] and then resumes
    /// for the same time before the next pause. If `is_end_near`, reading pauses on all connections, and no
    /// pause ends.
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
                    session.resume(conn, &mut self.unread);
                }
                None if is_end_near
                    || (session.open_requests.len() <= max_open && session.pause_allowed_at <= now) =>
                {
                    session.paused_since = Some(now);
                }
                _ => {}
            }
            // Another process could not find the end of a message that is being skipped.
            let is_at_message = session.skipped_message.is_none();
            if session.open_requests.is_empty() && is_at_message && net.unwritten_bytes(conn) == 0 {
                ready.push(conn);
            }
        }
        ready
    }

    /// Removes a connection that was handed over, without closing it.
    pub fn remove_handed_over(&mut self, conn: ConnectionKey, deadlines: &mut dyn Schedule<SessionDeadline>) {
        self.sessions.remove(conn, deadlines);
    }

    /// Ends all pauses of reading, since there is no process to hand the connections over to.
    pub fn resume_reading(&mut self) {
        for (conn, session) in self.sessions.iter_mut() {
            if session.paused_since.is_some() {
                session.resume(conn, &mut self.unread);
            }
        }
    }

    /// Returns an idle connection if the front is draining. A connection that was just accepted does not
    /// count as idle, since its first request is about to arrive.
    pub fn idle_connection(&self, now: Instant, net: &mut Net) -> Option<ConnectionKey> {
        let mut draining = self.sessions.iter().filter(|_| self.is_draining);
        draining.find(|(conn, session)| self.is_idle(now, *conn, session, net)).map(|(conn, _)| conn)
    }

    /// Whether a connection is idle and does not wait to be read again.
    fn is_idle(&self, now: Instant, conn: ConnectionKey, session: &Session, net: &mut Net) -> bool {
        !self.unread.contains(conn) && session.is_idle(now, conn, net)
    }

    /// Closes a connection gracefully if it is still idle.
    pub fn close_if_idle(
        &mut self,
        now: Instant,
        conn: ConnectionKey,
        reason: Reason,
        net: &mut Net,
        deadlines: &mut dyn Schedule<SessionDeadline>,
    ) {
        if self.sessions.get(conn).is_some_and(|session| self.is_idle(now, conn, session, net)) {
            self.close_gracefully(now, conn, reason, net, deadlines);
        }
    }
}

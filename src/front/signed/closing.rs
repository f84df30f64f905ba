//! Closing of clients' connections: timeouts, graceful and immediate closing.

use super::http::HttpAnswer;
use super::session::{PipelinedRequest, RequestState};
use super::{SessionDeadline, SignedFront, LINGER_TIMEOUT};
use crate::deadlines::Schedule;
use crate::front::lingering;
use crate::interface::Instant;
use crate::net::{ConnectionKey, Net, Reason};

impl SignedFront {
    /// Handles a connection's deadline. Returns the connection, on which an answer may have to be written.
    pub fn deadline_passed(
        &mut self,
        now: Instant,
        deadline: SessionDeadline,
        net: &mut Net,
        deadlines: &mut dyn Schedule<SessionDeadline>,
    ) -> ConnectionKey {
        match deadline {
            SessionDeadline::Check(conn) => {
                self.check_timeouts(now, conn, net, deadlines);
                conn
            }
            SessionDeadline::ClientTimeout(conn) => {
                self.client_timed_out(now, conn, net, deadlines);
                conn
            }
        }
    }

    /// Handles a client that has not sent a complete head in time, or has not closed a lingering connection.
    /// An incomplete head is answered with 408; a connection that has sent nothing is closed without an
    /// answer.
    fn client_timed_out(
        &mut self,
        now: Instant,
        conn: ConnectionKey,
        net: &mut Net,
        deadlines: &mut dyn Schedule<SessionDeadline>,
    ) {
        let Some(session) = self.sessions.get_mut(conn) else { return };
        session.client_timeout = None;
        if session.is_lingering {
            return self.close(now, conn, Reason::Done, net, deadlines);
        }
        if session.received_requests == 0 && net.input(conn, |input| input.is_empty()).unwrap_or(true) {
            return self.close(now, conn, Reason::HeadTimeout, net, deadlines);
        }
        let state = RequestState::Answered(HttpAnswer::status_only(408));
        let index = session.next_index();
        session.push(PipelinedRequest { index, state, head_only: false, keep_alive: false });
    }

    /// Closes a connection that is stalled or idle, and adds its next check.
    fn check_timeouts(
        &mut self,
        now: Instant,
        conn: ConnectionKey,
        net: &mut Net,
        deadlines: &mut dyn Schedule<SessionDeadline>,
    ) {
        let next_check = now + self.check_interval();
        let Some(session) = self.sessions.get_mut(conn) else { return };
        let written_bytes = net.written_bytes(conn);
        let has_unwritten = net.unwritten_bytes(conn) > 0;
        let is_stalled = has_unwritten && written_bytes == session.written_bytes;
        // Once the write side is shut down, the system does not tell any more whether all answers are sent.
        if !session.is_lingering {
            session.delivery.update(now, conn, net);
        }
        if has_unwritten || session.delivery.is_pending(now, conn, net) {
            session.last_active = now;
        }
        let is_idle = session.requests.is_empty() && session.last_active + self.config.idle_timeout <= now;
        session.written_bytes = written_bytes;
        session.check_deadline = deadlines.add(next_check, SessionDeadline::Check(conn));
        if is_stalled {
            self.close(now, conn, Reason::Stalled, net, deadlines);
        } else if is_idle {
            self.close(now, conn, Reason::Idle, net, deadlines);
        }
    }

    /// Shuts down the write side of a connection that is to close, if its last answer is written. The
    /// connection then waits for the client to close it, for at most `LINGER_TIMEOUT` or as long as the client
    /// may read its answers.
    pub fn linger_if_answered(
        &mut self,
        now: Instant,
        conn: ConnectionKey,
        net: &mut Net,
        deadlines: &mut dyn Schedule<SessionDeadline>,
    ) {
        let Some(session) = self.sessions.get_mut(conn) else { return };
        let is_answered = session.ends_after_answers && session.requests.is_empty();
        if !is_answered || session.is_lingering {
            return;
        }
        if lingering::shut_down_and_note_delivery(now, conn, &mut session.delivery, net) {
            session.is_lingering = true;
            session.clear_client_timeout(deadlines);
            let at = (now + LINGER_TIMEOUT).max(session.delivery.pending_until().unwrap_or(now));
            session.client_timeout = Some(deadlines.add(at, SessionDeadline::ClientTimeout(conn)));
        }
    }

    /// Closes a connection that its client has closed, even if some of its input is still unread.
    pub fn on_peer_closed(
        &mut self,
        now: Instant,
        conn: ConnectionKey,
        net: &mut Net,
        deadlines: &mut dyn Schedule<SessionDeadline>,
    ) {
        let is_lingering = self.sessions.get(conn).is_some_and(|session| session.is_lingering);
        let reason = if is_lingering { Reason::Done } else { Reason::PeerClosed };
        self.close(now, conn, reason, net, deadlines);
    }

    /// Returns the idle connection to evict first for a new one; `None` if no connection is idle.
    pub fn eviction_candidate(&mut self, now: Instant, net: &Net) -> Option<ConnectionKey> {
        self.sessions.eviction_candidate(now, net)
    }

    /// Closes a connection at once. Its open requests are cancelled; [`SignedFront::take_cancelled`] returns
    /// them.
    pub fn close(
        &mut self,
        now: Instant,
        conn: ConnectionKey,
        reason: Reason,
        net: &mut Net,
        deadlines: &mut dyn Schedule<SessionDeadline>,
    ) {
        if let Some(session) = self.sessions.close(now, conn, reason, net, deadlines) {
            self.cancelled.extend(session.into_handles());
        }
    }

    /// Closes all connections at once, when the process stops.
    pub fn close_all(&mut self, now: Instant, net: &mut Net, deadlines: &mut dyn Schedule<SessionDeadline>) {
        self.sessions.close_all(now, net, deadlines);
    }
}

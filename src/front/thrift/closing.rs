//! Closing of clients' connections: timeouts, graceful and immediate closing.

use super::limits::{
    CHECK_INTERVAL, IDLE_TIMEOUT, LINGER_TIMEOUT, MESSAGE_TIMEOUT, MESSAGE_TIMEOUT_WITHOUT_MEMORY,
    WRITE_STALL_TIMEOUT,
};
use super::session::OpenRequests;
use super::{SessionDeadline, ThriftEvent, ThriftFront};
use crate::deadlines::Schedule;
use crate::front::lingering;
use crate::front::RequestHandle;
use crate::interface::Instant;
use crate::net::{ConnectionKey, Net, Reason, MIN_INPUT_BYTES};
use tracing::info;

/// Result of checking a connection's timeouts.
enum TimeoutCheck {
    Passed,
    CloseGracefully(Reason),
    Close(Reason),
    /// The connection was unused for [`IDLE_TIMEOUT`], but may have input that was not read yet.
    Idle,
}

impl ThriftFront {
    /// Checks a connection's timeouts and closes it if one has passed.
    pub fn deadline_passed(
        &mut self,
        now: Instant,
        SessionDeadline(conn): SessionDeadline,
        net: &mut Net,
        deadlines: &mut dyn Schedule<SessionDeadline>,
    ) -> Vec<ThriftEvent> {
        match self.check_timeouts(now, conn, net, deadlines) {
            TimeoutCheck::Passed => Vec::new(),
            TimeoutCheck::CloseGracefully(reason) => self.close_gracefully(now, conn, reason, net, deadlines),
            TimeoutCheck::Close(reason) => self.close(now, conn, reason, net, deadlines),
            TimeoutCheck::Idle => {
                // A request that has just arrived is still read, and keeps the connection open.
                let events = self.on_ready(now, conn, false, net, deadlines);
                let session = self.sessions.get(conn);
                if session.is_some_and(|session| session.last_active + IDLE_TIMEOUT <= now) {
                    self.close(now, conn, Reason::Idle, net, deadlines);
                }
                events
            }
        }
    }

    fn check_timeouts(
        &mut self,
        now: Instant,
        conn: ConnectionKey,
        net: &mut Net,
        deadlines: &mut dyn Schedule<SessionDeadline>,
    ) -> TimeoutCheck {
        let Some(session) = self.sessions.get_mut(conn) else { return TimeoutCheck::Passed };
        session.check_deadline = deadlines.add(now + CHECK_INTERVAL, SessionDeadline(conn));
        let written_bytes = net.written_bytes(conn);
        let has_unwritten = net.unwritten_bytes(conn) > 0;
        if written_bytes != session.written_bytes || !has_unwritten {
            session.written_bytes = written_bytes;
            session.last_write_progress = now;
        }
        let is_quiet = session.open_requests.is_empty() && !has_unwritten && !self.unread.contains(conn);
        if !is_quiet {
            // A client may read its answers before it sends the rest of a message that it has begun, so the
            // timeout of this message starts after them.
            session.awaiting_message_since = session.awaiting_message_since.map(|_| now);
        }
        let is_large = net.unprocessed_bytes(conn) > MIN_INPUT_BYTES;
        let message_timeout = if is_large && self.unread.needs_memory() {
            MESSAGE_TIMEOUT_WITHOUT_MEMORY
        } else {
            MESSAGE_TIMEOUT
        };
        let is_over = |since: Option<Instant>, limit| since.is_some_and(|since| since + limit <= now);
        if is_over(session.lingering_since, LINGER_TIMEOUT) {
            TimeoutCheck::Close(Reason::Done)
        } else if session.last_write_progress + WRITE_STALL_TIMEOUT <= now {
            TimeoutCheck::Close(Reason::Stalled)
        } else if session.lingering_since.is_some() || !is_quiet {
            TimeoutCheck::Passed // open requests are not cancelled because of an incomplete message
        } else if is_over(session.awaiting_message_since, message_timeout) {
            TimeoutCheck::CloseGracefully(Reason::HeadTimeout)
        } else if session.last_active + IDLE_TIMEOUT <= now {
            TimeoutCheck::Idle
        } else {
            TimeoutCheck::Passed
        }
    }

    /// Closes a connection gracefully: it lingers, and its open requests are cancelled.
    pub(super) fn close_gracefully(
        &mut self,
        now: Instant,
        conn: ConnectionKey,
        reason: Reason,
        net: &mut Net,
        deadlines: &mut dyn Schedule<SessionDeadline>,
    ) -> Vec<ThriftEvent> {
        let Some(session) = self.sessions.get_mut(conn) else { return Vec::new() };
        if net.written_bytes(conn) == 0 {
            return self.close(now, conn, reason, net, deadlines); // no answer that a reset could discard
        }
        info!("conn={conn} closing gracefully: {}", reason.code());
        session.lingering_since = Some(now);
        session.drop_input(conn, net);
        let mut events = cancellations(std::mem::take(&mut session.open_requests));
        events.extend(self.continue_lingering(now, conn, net, deadlines));
        events
    }

    /// Closes all connections gracefully that do not linger yet.
    pub fn close_all_gracefully(
        &mut self,
        now: Instant,
        reason: Reason,
        net: &mut Net,
        deadlines: &mut dyn Schedule<SessionDeadline>,
    ) -> Vec<ThriftEvent> {
        let active = self.sessions.iter().filter(|(_, session)| session.lingering_since.is_none());
        let active: Vec<ConnectionKey> = active.map(|(conn, _)| conn).collect();
        active.into_iter().flat_map(|conn| self.close_gracefully(now, conn, reason, net, deadlines)).collect()
    }

    /// Continues with a lingering connection: discards its input, shuts down the write side once all answers
    /// are written, and closes the connection once the client has closed.
    pub(super) fn continue_lingering(
        &mut self,
        now: Instant,
        conn: ConnectionKey,
        net: &mut Net,
        deadlines: &mut dyn Schedule<SessionDeadline>,
    ) -> Vec<ThriftEvent> {
        let has_ended = lingering::flush_and_drop_input(conn, net);
        let Some(session) = self.sessions.get_mut(conn) else { return Vec::new() };
        if !session.is_shut_down {
            session.is_shut_down = lingering::shut_down_if_flushed(conn, net);
        }
        match has_ended {
            Ok(false) => Vec::new(),
            Ok(true) | Err(_) => self.close(now, conn, Reason::Done, net, deadlines),
        }
    }

    /// Returns the idle connection to evict first for a new one; `None` if no connection is idle.
    pub fn eviction_candidate(&self, net: &Net) -> Option<ConnectionKey> {
        self.sessions.eviction_candidate(net)
    }

    /// Closes a connection at once and returns the cancellations of its open requests.
    pub fn close(
        &mut self,
        now: Instant,
        conn: ConnectionKey,
        reason: Reason,
        net: &mut Net,
        deadlines: &mut dyn Schedule<SessionDeadline>,
    ) -> Vec<ThriftEvent> {
        let session = self.sessions.close(now, conn, reason, net, deadlines);
        session.map_or_else(Vec::new, |session| cancellations(session.open_requests))
    }

    /// Closes all connections at once, when the process stops.
    pub fn close_all(&mut self, now: Instant, net: &mut Net, deadlines: &mut dyn Schedule<SessionDeadline>) {
        self.sessions.close_all(now, net, deadlines);
    }
}

/// Returns the cancellations of requests whose connection ends, in the order of their handles.
fn cancellations(open_requests: OpenRequests) -> Vec<ThriftEvent> {
    let mut handles: Vec<RequestHandle> = open_requests.into_values().flatten().collect();
    handles.sort_unstable();
    handles.into_iter().map(ThriftEvent::Cancelled).collect()
}

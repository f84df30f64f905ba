//! Checks of the timeouts of clients' connections.

use super::limits::{
    CHECK_INTERVAL, IDLE_TIMEOUT, LINGER_TIMEOUT, MEMORY_TIMEOUT, MESSAGE_TIMEOUT,
    MESSAGE_TIMEOUT_WITHOUT_MEMORY, WRITE_STALL_TIMEOUT,
};
use super::{SessionDeadline, ThriftEvent, ThriftFront};
use crate::deadlines::Schedule;
use crate::interface::{Instant, Span};
use crate::net::{ConnectionKey, Net, Reason, MIN_INPUT_BYTES};

/// What has timed out on a connection.
enum Timeout {
    /// The client had time to close the lingering connection.
    Linger,
    /// The client takes no answers.
    WriteStall,
    /// An incomplete message has no memory, or keeps it from others.
    Memory,
    /// The rest of a message has not arrived.
    Message,
    /// The connection was unused.
    Idle,
}

impl ThriftFront {
    /// Checks a connection's timeouts. If one has passed, closes the connection or skips its incomplete message.
    pub fn deadline_passed(
        &mut self,
        now: Instant,
        SessionDeadline(conn): SessionDeadline,
        net: &mut Net,
        deadlines: &mut dyn Schedule<SessionDeadline>,
    ) -> Vec<ThriftEvent> {
        self.begin_check(now, conn, net, deadlines);
        let mut events = Vec::new();
        if let Some(Timeout::Message | Timeout::Idle) = self.passed_timeout(now, conn, net) {
            // What has just arrived is still read, and may keep the connection open.
            events = self.on_ready(now, conn, false, net, deadlines);
        }
        let Some(timeout) = self.passed_timeout(now, conn, net) else { return events };
        events.extend(match timeout {
            Timeout::Linger => self.close(now, conn, Reason::Done, net, deadlines),
            Timeout::WriteStall => self.close(now, conn, Reason::Stalled, net, deadlines),
            Timeout::Memory => self.skip_message(now, conn, net, deadlines),
            Timeout::Message => self.close_gracefully(now, conn, Reason::HeadTimeout, net, deadlines),
            Timeout::Idle => self.close(now, conn, Reason::Idle, net, deadlines),
        });
        events
    }

    /// Adds the next check of a connection, and records what has changed since the last one.
    fn begin_check(
        &mut self,
        now: Instant,
        conn: ConnectionKey,
        net: &Net,
        deadlines: &mut dyn Schedule<SessionDeadline>,
    ) {
        let is_quiet = self.is_quiet(conn, net);
        let Some(session) = self.sessions.get_mut(conn) else { return };
        session.check_deadline = deadlines.add(now + CHECK_INTERVAL, SessionDeadline(conn));
        let written_bytes = net.written_bytes(conn);
        if written_bytes != session.written_bytes || net.unwritten_bytes(conn) == 0 {
            session.written_bytes = written_bytes;
            session.last_write_progress = now;
        }
        // Once the write side is shut down, the system does not tell any more whether all answers are sent.
        if !session.is_shut_down {
            session.delivery.update(now, conn, net);
        }
        let is_reading = session.delivery.is_pending(now, conn, net);
        if is_reading {
            session.last_active = now;
        }
        if !is_quiet || is_reading {
            // A client may read its answers before it sends the rest of a message that it has begun, so the
            // timeout of this message starts after them.
            session.awaiting_message_since = session.awaiting_message_since.map(|_| now);
        }
    }

    /// Whether a connection has no open requests, no unwritten answers, and no input that can be read now.
    fn is_quiet(&self, conn: ConnectionKey, net: &Net) -> bool {
        let has_open_requests =
            self.sessions.get(conn).is_some_and(|session| !session.open_requests.is_empty());
        !has_open_requests && net.unwritten_bytes(conn) == 0 && !self.unread.contains(conn)
    }

    /// Returns a timeout that has passed.
    fn passed_timeout(&self, now: Instant, conn: ConnectionKey, net: &Net) -> Option<Timeout> {
        let session = self.sessions.get(conn)?;
        let is_over = |since: Option<Instant>, limit: Span| since.is_some_and(|since| since + limit <= now);
        if is_over(session.lingering_since, LINGER_TIMEOUT) && !session.delivery.was_pending(now) {
            return Some(Timeout::Linger);
        }
        if session.last_write_progress + WRITE_STALL_TIMEOUT <= now {
            return Some(Timeout::WriteStall);
        }
        if session.lingering_since.is_some() || session.unreadable_reason.is_some() {
            return None;
        }
        let holds_memory = net.unprocessed_bytes(conn) > MIN_INPUT_BYTES && self.unread.needs_memory();
        let is_short_of_memory = session.short_of_memory_since.is_some();
        // Open requests are not cancelled because of an incomplete message, and one whose rest is unread for want of
        // memory may be complete. So neither is closed for it.
        let stays_open = !self.is_quiet(conn, net) || is_short_of_memory;
        let has_held_memory = is_over(session.arrivals.oldest(), MESSAGE_TIMEOUT_WITHOUT_MEMORY);
        if is_over(session.short_of_memory_since, MEMORY_TIMEOUT)
            || (holds_memory && stays_open && has_held_memory)
        {
            return Some(Timeout::Memory);
        }
        if stays_open {
            return None;
        }
        let message_timeout = if holds_memory { MESSAGE_TIMEOUT_WITHOUT_MEMORY } else { MESSAGE_TIMEOUT };
        if is_over(session.awaiting_message_since, message_timeout) {
            return Some(Timeout::Message);
        }
        (session.last_active + IDLE_TIMEOUT <= now).then_some(Timeout::Idle)
    }
}

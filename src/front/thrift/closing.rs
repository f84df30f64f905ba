//! Graceful and immediate closing of clients' connections.

use super::session::OpenRequests;
use super::{SessionDeadline, ThriftEvent, ThriftFront};
use crate::deadlines::Schedule;
use crate::front::lingering;
use crate::front::RequestHandle;
use crate::interface::Instant;
use crate::net::{ConnectionKey, Net, Reason};
use tracing::info;

impl ThriftFront {
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
            session.is_shut_down =
                lingering::shut_down_and_note_delivery(now, conn, &mut session.delivery, net);
        }
        match has_ended {
            Ok(false) => Vec::new(),
            Ok(true) | Err(_) => self.close(now, conn, Reason::Done, net, deadlines),
        }
    }

    /// Returns the idle connection to evict first for a new one; `None` if no connection is idle.
    pub fn eviction_candidate(&mut self, now: Instant, net: &Net) -> Option<ConnectionKey> {
        self.sessions.eviction_candidate(now, net)
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

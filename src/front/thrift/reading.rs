//! Reading from clients: complete messages, a limited number at a time, and cancellations even where no other
//! messages are taken.

use super::codec::{self, ExceptionKind, Method, ThriftReply, LENGTH_BYTES};
use super::frames::{find_cancellations, next_frame};
use super::limits::{
    MAX_FRAME_BYTES, MAX_OPEN_REQUESTS, MAX_SCANNED_BYTES, MAX_UNWRITTEN_BYTES, MESSAGES_PER_TURN,
    SCANNED_MEMORY_DIVISOR,
};
use super::{SessionDeadline, ThriftEvent, ThriftFront};
use crate::deadlines::Schedule;
use crate::front::lingering;
use crate::interface::Instant;
use crate::net::{ConnectionKey, Net, ReadProgress, Reason, Role, MIN_INPUT_BYTES};
use bytes::Bytes;
use tracing::warn;

/// How a read from a connection ended.
#[derive(PartialEq, Eq)]
enum TurnEnd {
    /// All complete messages of the input are taken.
    Drained,
    /// [`MESSAGES_PER_TURN`] is reached, and the input may have more complete messages.
    LimitReached,
}

impl ThriftFront {
    /// Handles a connection that may be read from or written to, or that its client has closed
    /// (`peer_closed`). If the client has closed it, its open requests are cancelled and its unread ones are
    /// dropped.
    pub fn on_ready(
        &mut self,
        now: Instant,
        conn: ConnectionKey,
        peer_closed: bool,
        net: &mut Net,
        deadlines: &mut dyn Schedule<SessionDeadline>,
    ) -> Vec<ThriftEvent> {
        let Some(session) = self.sessions.get(conn) else { return Vec::new() };
        if session.lingering_since.is_some() {
            self.continue_lingering(now, conn, net, deadlines);
            return Vec::new();
        }
        if peer_closed {
            return self.close(now, conn, Reason::PeerClosed, net, deadlines);
        }
        if session.unreadable_reason.is_some() {
            return self.on_ready_unreadable(now, conn, net, deadlines);
        }
        let mut events = Vec::new();
        match net.flush(conn).and_then(|()| self.read(now, conn, net, &mut events)) {
            Ok(()) => {}
            Err(reason @ (Reason::PeerClosed | Reason::PeerReset)) => {
                events.extend(self.close(now, conn, reason, net, deadlines));
            }
            Err(reason) => events.extend(self.stop_reading(now, conn, reason, net, deadlines)),
        }
        events
    }

    /// Handles a connection from which no more messages are read: only answers are written.
    fn on_ready_unreadable(
        &mut self,
        now: Instant,
        conn: ConnectionKey,
        net: &mut Net,
        deadlines: &mut dyn Schedule<SessionDeadline>,
    ) -> Vec<ThriftEvent> {
        match lingering::flush_and_drop_input(conn, net) {
            Ok(false) => Vec::new(),
            Ok(true) => self.close(now, conn, Reason::PeerClosed, net, deadlines),
            Err(reason) => self.close(now, conn, reason, net, deadlines),
        }
    }

    /// Closes a connection whose input cannot be read any further: at once, or after its open requests are
    /// answered.
    pub(super) fn stop_reading(
        &mut self,
        now: Instant,
        conn: ConnectionKey,
        reason: Reason,
        net: &mut Net,
        deadlines: &mut dyn Schedule<SessionDeadline>,
    ) -> Vec<ThriftEvent> {
        let Some(session) = self.sessions.get_mut(conn) else { return Vec::new() };
        if session.open_requests.is_empty() {
            return self.close_gracefully(now, conn, reason, net, deadlines);
        }
        session.unreadable_reason = Some(reason);
        session.drop_input(conn, net);
        Vec::new()
    }

    /// Reads from a connection, up to [`MESSAGES_PER_TURN`] messages.
    fn read(
        &mut self,
        now: Instant,
        conn: ConnectionKey,
        net: &mut Net,
        events: &mut Vec<ThriftEvent>,
    ) -> Result<(), Reason> {
        let mut taken = 0;
        loop {
            if self.read_skipped_message(now, conn, net, events)? {
                return Ok(());
            }
            let Some(session) = self.sessions.get_mut(conn) else { return Ok(()) };
            // If too much is unwritten, the write event that follows once the client takes bytes triggers the
            // next read.
            if session.paused_since.is_some()
                || net.unwritten_bytes(conn) >= net.max_unwritten_bytes(MAX_UNWRITTEN_BYTES)
            {
                return self.read_cancellations(now, conn, net, events);
            }
            session.scanned_bytes = 0;
            let progress = self.read_in_turn(conn, net)?;
            let Some(session) = self.sessions.get_mut(conn) else { return Ok(()) };
            session.add_arrival(now, progress.bytes);
            let turn_end = self.take_frames(now, conn, &mut taken, net, events)?;
            let Some(session) = self.sessions.get_mut(conn) else { return Ok(()) };
            let has_begun_message = net.input(conn, |input| !input.is_empty()).unwrap_or(false);
            session.awaiting_message_since = if has_begun_message || !session.has_sent_message {
                session.awaiting_message_since.or(Some(now))
            } else {
                None
            };
            let may_have_more = progress.is_buffer_full || progress.is_memory_short;
            if turn_end == TurnEnd::LimitReached || (may_have_more && taken > 0) {
                self.unread.push(conn);
                return Ok(());
            }
            if progress.has_peer_ended {
                return Err(Reason::PeerClosed);
            }
            if progress.is_memory_short {
                session.waiting_since.get_or_insert(now);
                session.short_of_memory_since.get_or_insert(now);
                self.unread.push_waiting_for_memory(conn, session.has_sent_message);
            } else {
                session.short_of_memory_since = None;
            }
            if !progress.is_buffer_full {
                return Ok(());
            }
        }
    }

    /// Reads from a connection. While others wait for memory, the input of a connection that has not waited for its turn
    /// does not grow beyond [`MIN_INPUT_BYTES`].
    fn read_in_turn(&mut self, conn: ConnectionKey, net: &mut Net) -> Result<ReadProgress, Reason> {
        let has_waited =
            self.sessions.get(conn).is_some_and(|session| session.short_of_memory_since.is_some());
        let is_its_turn = has_waited && !self.unread.is_waiting_for_memory(conn);
        let has_begun = net.unprocessed_bytes(conn) > MIN_INPUT_BYTES;
        let limit = MAX_FRAME_BYTES + LENGTH_BYTES;
        if is_its_turn || has_begun || !self.unread.needs_memory() {
            net.read(conn, limit)
        } else {
            net.read_without_sharing(conn, limit)
        }
    }

    /// Takes the complete frames of the input, up to [`MESSAGES_PER_TURN`].
    fn take_frames(
        &mut self,
        now: Instant,
        conn: ConnectionKey,
        taken: &mut usize,
        net: &mut Net,
        events: &mut Vec<ThriftEvent>,
    ) -> Result<TurnEnd, Reason> {
        while *taken < MESSAGES_PER_TURN {
            let frame = net.input(conn, next_frame).unwrap_or(Ok(None))?;
            let Some(frame) = frame else { return Ok(TurnEnd::Drained) };
            *taken += 1;
            self.take_message(now, conn, frame, net, events)?;
        }
        Ok(TurnEnd::LimitReached)
    }

    /// Searches the input of a connection from which no request is taken now for cancellations of its open
    /// requests. The bytes stay in the input for the connection's next read.
    fn read_cancellations(
        &mut self,
        now: Instant,
        conn: ConnectionKey,
        net: &mut Net,
        events: &mut Vec<ThriftEvent>,
    ) -> Result<(), Reason> {
        let share = net.free_input_bytes(Role::Thrift) / SCANNED_MEMORY_DIVISOR;
        let progress = net.read(conn, share.clamp(MAX_FRAME_BYTES, MAX_SCANNED_BYTES))?;
        if let Some(session) = self.sessions.get_mut(conn) {
            session.add_arrival(now, progress.bytes);
            let scanned = &mut session.scanned_bytes;
            let cancelled = net.input(conn, |input| find_cancellations(input, scanned)).unwrap_or_default();
            let open_requests = &mut session.open_requests;
            let handles = cancelled.into_iter().filter_map(|seqid| open_requests.remove(&seqid)).flatten();
            events.extend(handles.map(ThriftEvent::Cancelled));
        }
        if progress.has_peer_ended {
            return Err(Reason::PeerClosed);
        }
        Ok(())
    }

    /// Takes one message: adds its event, or answers a call that is unknown or malformed.
    fn take_message(
        &mut self,
        now: Instant,
        conn: ConnectionKey,
        frame: Bytes,
        net: &mut Net,
        events: &mut Vec<ThriftEvent>,
    ) -> Result<(), Reason> {
        let Some(session) = self.sessions.get_mut(conn) else { return Ok(()) };
        let arrived = session.note_message(now, LENGTH_BYTES + frame.len());
        let call = codec::decode_call(frame).map_err(|error| {
            warn!("conn={conn} cannot decode a message: {error}");
            Reason::BadMessage
        })?;
        let seqid = call.seqid;
        let exception = |kind, text| ThriftReply::Exception { name: call.name, kind, text };
        if matches!(call.method, Method::Invoke { .. } | Method::Malformed(_)) {
            session.check_unique(conn, seqid, events)?;
        }
        match call.method {
            Method::Invoke { fields, .. } if session.open_requests.len() >= MAX_OPEN_REQUESTS => {
                events.push(ThriftEvent::RequestOverLimit { conn, seqid, fields });
            }
            Method::Invoke { fields, body } => {
                session.open_requests.insert(seqid, None);
                events.push(ThriftEvent::Request { conn, seqid, fields, body, arrived });
            }
            Method::Abort(target) => session.cancel(conn, target, events),
            Method::Ping => events.push(ThriftEvent::Ping { conn, seqid }),
            Method::Unknown => {
                let reply = exception(ExceptionKind::UnknownMethod, "no such method".into());
                net.write(conn, codec::encode_reply(seqid, reply))?;
            }
            Method::Malformed(error) => {
                let reply = exception(ExceptionKind::ProtocolError, error.to_string());
                net.write(conn, codec::encode_reply(seqid, reply))?;
            }
        }
        Ok(())
    }
}

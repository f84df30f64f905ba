//! Messages that are skipped because there is no memory for them. Their bytes are dropped as they arrive. Once a skipped
//! request has arrived in full, it is rejected, so that a client which has sent a complete request gets an answer.

use super::codec::{self, CallStart, ExceptionKind, ThriftReply, LENGTH_BYTES};
use super::frames::message_length;
use super::{SessionDeadline, ThriftEvent, ThriftFront};
use crate::deadlines::Schedule;
use crate::interface::Instant;
use crate::net::{ConnectionKey, Net, Reason};
use bytes::BytesMut;
use std::collections::BTreeMap;
use tracing::warn;

/// Maximum number of fields of a skipped request that are kept. Usual requests have fewer.
const MAX_KEPT_FIELDS: usize = 16;
/// Maximum total length of the texts of a skipped call that are kept, in bytes.
const MAX_KEPT_BYTES: usize = 512;
/// The text of the exception that answers a skipped call other than a request.
const NO_MEMORY: &str = "no memory for this message";

/// A message whose first bytes were read and whose rest is dropped as it arrives.
pub(super) struct SkippedMessage {
    call: CallStart,
    /// Number of bytes that have not arrived yet.
    missing_bytes: usize,
}

impl ThriftFront {
    /// Skips the incomplete message at the start of a connection's input. Does nothing if the message is complete.
    pub(super) fn skip_message(
        &mut self,
        now: Instant,
        conn: ConnectionKey,
        net: &mut Net,
        deadlines: &mut dyn Schedule<SessionDeadline>,
    ) -> Vec<ThriftEvent> {
        let Some(session) = self.sessions.get_mut(conn) else { return Vec::new() };
        match net.input(conn, take_incomplete_message).unwrap_or(Ok(None)) {
            Ok(None) => return Vec::new(),
            Ok(Some(skipped)) => session.skipped_message = Some(skipped),
            Err(reason) => return self.stop_reading(now, conn, reason, net, deadlines),
        }
        session.arrivals.clear();
        session.short_of_memory_since = None;
        session.scanned_bytes = 0;
        self.on_ready(now, conn, false, net, deadlines)
    }

    /// Skips the incomplete messages of all connections that wait for memory. These connections can be read afterwards.
    pub fn skip_waiting_messages(
        &mut self,
        now: Instant,
        net: &mut Net,
        deadlines: &mut dyn Schedule<SessionDeadline>,
    ) -> Vec<ThriftEvent> {
        let waiting = self.unread.take_waiting_for_memory();
        waiting.into_iter().flat_map(|conn| self.skip_message(now, conn, net, deadlines)).collect()
    }

    /// Drops the bytes of a skipped message that have arrived. Once all of them have, its request is rejected. Returns
    /// whether some are still missing.
    pub(super) fn read_skipped_message(
        &mut self,
        now: Instant,
        conn: ConnectionKey,
        net: &mut Net,
        events: &mut Vec<ThriftEvent>,
    ) -> Result<bool, Reason> {
        let Some(session) = self.sessions.get_mut(conn) else { return Ok(false) };
        let Some(skipped) = &mut session.skipped_message else { return Ok(false) };
        let progress = net.discard(conn, skipped.missing_bytes)?;
        skipped.missing_bytes -= progress.bytes;
        if skipped.missing_bytes > 0 {
            return if progress.has_peer_ended { Err(Reason::PeerClosed) } else { Ok(true) };
        }
        session.waiting_since = None;
        if let Some(SkippedMessage { call, .. }) = session.skipped_message.take() {
            session.note_message(now, 0);
            self.reject_skipped_call(conn, call, net, events)?;
        }
        Ok(false)
    }

    /// Rejects a skipped request. Another call is answered with an exception.
    fn reject_skipped_call(
        &mut self,
        conn: ConnectionKey,
        call: CallStart,
        net: &mut Net,
        events: &mut Vec<ThriftEvent>,
    ) -> Result<(), Reason> {
        let CallStart { seqid, name, fields } = call;
        let Some(session) = self.sessions.get_mut(conn) else { return Ok(()) };
        session.check_unique(conn, seqid, events)?;
        if let Some(fields) = fields {
            events.push(ThriftEvent::RequestOverLimit { conn, seqid, fields });
            return Ok(());
        }
        let reply =
            ThriftReply::Exception { name, kind: ExceptionKind::ProtocolError, text: NO_MEMORY.into() };
        net.write(conn, codec::encode_reply(seqid, reply))
    }
}

/// Removes an incomplete message, which is all of the input; `None` if the message is complete.
///
/// # Errors
///
/// The start of the message cannot be decoded.
fn take_incomplete_message(input: &mut BytesMut) -> Result<Option<SkippedMessage>, Reason> {
    let Some(length) = message_length(input)? else { return Ok(None) };
    let missing_bytes = (LENGTH_BYTES + length).saturating_sub(input.len());
    if missing_bytes == 0 {
        return Ok(None);
    }
    let start = input.split().freeze().slice(LENGTH_BYTES..);
    let mut call = codec::decode_call_start(start).map_err(|error| {
        warn!("cannot decode the start of a message: {error}");
        Reason::BadMessage
    })?;
    if call.name.len() > MAX_KEPT_BYTES {
        return Err(Reason::BadMessage);
    }
    if let Some(fields) = call.fields.as_mut().filter(|fields| !is_short(fields)) {
        fields.clear();
    }
    Ok(Some(SkippedMessage { call, missing_bytes }))
}

/// Whether fields are kept while their message is skipped.
fn is_short(fields: &BTreeMap<String, String>) -> bool {
    let text_bytes: usize = fields.iter().map(|(name, value)| name.len() + value.len()).sum();
    fields.len() <= MAX_KEPT_FIELDS && text_bytes <= MAX_KEPT_BYTES
}

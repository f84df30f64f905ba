//! Writing answers to clients.

use super::codec::{self, ThriftReply};
use super::{SequenceId, SessionDeadline, ThriftEvent, ThriftFront};
use crate::deadlines::Schedule;
use crate::interface::Instant;
use crate::net::{ConnectionKey, Net};

impl ThriftFront {
    /// Writes the answer to a request, if the request is still open.
    pub fn answer(
        &mut self,
        now: Instant,
        conn: ConnectionKey,
        seqid: SequenceId,
        reply: ThriftReply,
        net: &mut Net,
        deadlines: &mut dyn Schedule<SessionDeadline>,
    ) -> Vec<ThriftEvent> {
        let Some(session) = self.sessions.get_mut(conn) else { return Vec::new() };
        if session.open_requests.remove(&seqid).is_none() {
            return Vec::new();
        }
        session.last_active = now;
        let close_reason = session.unreadable_reason.filter(|_| session.open_requests.is_empty());
        let mut events = self.answer_untracked(now, conn, seqid, reply, net, deadlines);
        if let Some(reason) = close_reason {
            events.extend(self.close_gracefully(now, conn, reason, net, deadlines));
        }
        events
    }

    /// Writes an answer to a call that is not tracked as open: a ping, or a request over the limit.
    pub fn answer_untracked(
        &mut self,
        now: Instant,
        conn: ConnectionKey,
        seqid: SequenceId,
        reply: ThriftReply,
        net: &mut Net,
        deadlines: &mut dyn Schedule<SessionDeadline>,
    ) -> Vec<ThriftEvent> {
        match net.write(conn, codec::encode_reply(seqid, reply)) {
            Ok(()) => Vec::new(),
            Err(reason) => self.close(now, conn, reason, net, deadlines),
        }
    }
}

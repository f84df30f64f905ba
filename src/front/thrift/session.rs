//! What is kept of one client's connection.

use super::{SessionDeadline, ThriftEvent, LOOK, NEVER_ASKED};
use crate::deadlines::{DeadlineHandle, Schedule};
use crate::interface::Instant;
use crate::net::{ConnectionKey, Net, Reason};
use std::collections::{BTreeMap, VecDeque};

/// Bytes that came together and are not used yet.
struct Arrival {
    bytes: usize,
    at: Instant,
}

/// When the unused bytes of a connection came, the oldest first: a request may wait unread while its client's
/// patience runs.
#[derive(Default)]
pub(super) struct Arrivals(VecDeque<Arrival>);

impl Arrivals {
    /// Bytes have come.
    pub(super) fn add(&mut self, bytes: usize, at: Instant) {
        match self.0.back_mut() {
            Some(last) if last.at == at => last.bytes += bytes,
            _ if bytes > 0 => self.0.push_back(Arrival { bytes, at }),
            _ => {}
        }
    }

    /// Uses the oldest bytes; when the first of them came.
    pub(super) fn take(&mut self, mut bytes: usize) -> Option<Instant> {
        let at = self.0.front()?.at;
        while let Some(first) = self.0.front_mut().filter(|_| bytes > 0) {
            let part = bytes.min(first.bytes);
            (bytes, first.bytes) = (bytes - part, first.bytes - part);
            if first.bytes == 0 {
                self.0.pop_front();
            }
        }
        Some(at)
    }

    pub(super) fn clear(&mut self) {
        self.0.clear();
    }
}

pub(super) struct Session {
    /// The open requests, and their numbers once they are bound.
    pub open: BTreeMap<i32, Option<u64>>,
    pub look: Option<DeadlineHandle>,
    /// Bytes written, and when some were last.
    pub wrote: u64,
    pub moved: Instant,
    /// When a message came or was answered last.
    pub heard: Instant,
    /// Since when a message is awaited that has begun, or a first one.
    pub begun: Option<Instant>,
    /// It has sent a whole message.
    pub asked: bool,
    /// There may be more to read than its turn allowed.
    pub more: bool,
    /// Since when nothing more is read: it is to be handed on once what is open is answered...
    pub paused: Option<Instant>,
    /// ... but not before this: it had its pause.
    pub rested: Instant,
    /// All is said, and the client is to close: closing first, with its bytes unread, would reset the connection
    /// and could take the last answers away from it.
    pub lingers: Option<Instant>,
    /// The write side is shut down: no answer waits to be written any more.
    pub shut_down: bool,
    /// What came can't be read on from here: the connection ends for this once what is open there is answered.
    pub unreadable: Option<Reason>,
    /// Bytes of unread messages that were looked through for cancellations already.
    pub scanned: usize,
    /// When the bytes came that are not used yet.
    pub arrivals: Arrivals,
    /// What the next read brings may wait since then.
    pub waits_since: Option<Instant>,
}

impl Session {
    pub(super) fn new(now: Instant, conn: ConnectionKey, due: &mut dyn Schedule<SessionDeadline>) -> Self {
        Session {
            open: BTreeMap::new(),
            look: Some(due.add(now + LOOK, SessionDeadline(conn))),
            wrote: 0,
            moved: now,
            heard: now,
            begun: Some(now),
            asked: false,
            more: false,
            paused: None,
            rested: now,
            lingers: None,
            shut_down: false,
            unreadable: None,
            scanned: 0,
            arrivals: Arrivals::default(),
            waits_since: None,
        }
    }

    /// Notes bytes that were just read.
    pub(super) fn arrived(&mut self, now: Instant, bytes: usize) {
        let at = self.waits_since.take().unwrap_or(now);
        self.arrivals.add(bytes, at);
    }

    /// Whether all that it asked is answered and no further message has begun.
    pub(super) fn is_idle(&self, now: Instant, conn: ConnectionKey, net: &mut Net) -> bool {
        let unread = |net: &mut Net| net.input(conn, |input| !input.is_empty()).unwrap_or(false);
        let asked = self.asked || self.heard + NEVER_ASKED <= now;
        let quiet = asked && self.lingers.is_none() && !self.more && self.open.is_empty();
        quiet && net.unwritten(conn) == 0 && !unread(net)
    }

    /// Reads again: what has come meanwhile has its turn.
    pub(super) fn resume(&mut self, conn: ConnectionKey, turns: &mut VecDeque<ConnectionKey>) {
        self.paused = None;
        if !std::mem::replace(&mut self.more, true) {
            turns.push_back(conn);
        }
    }

    /// Gives an open request up; it may have come in the same read, and then the server never sees it.
    pub(super) fn withdraw(&mut self, conn: ConnectionKey, seqid: i32, asks: &mut Vec<ThriftEvent>) {
        match self.open.remove(&seqid) {
            Some(Some(number)) => asks.push(ThriftEvent::Cancelled(number)),
            Some(None) => asks.retain(|ask| !ask.is_invoke(conn, seqid)),
            None => {}
        }
    }
}

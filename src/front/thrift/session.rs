//! What is kept of one client's connection.

use super::NEVER_ASKED;
use crate::deadlines::Handle;
use crate::net::{ConnKey, Net, Reason};
use std::collections::{BTreeMap, VecDeque};

pub(super) struct Session {
    /// The open requests, and their numbers once they are bound.
    pub open: BTreeMap<i32, Option<u64>>,
    pub look: Option<Handle>,
    /// Bytes written, and when some were last.
    pub wrote: u64,
    pub moved: i64,
    /// When a message came or was answered last.
    pub heard: i64,
    /// Since when a message is awaited that has begun, or a first one.
    pub begun: Option<i64>,
    /// It has sent a whole message.
    pub asked: bool,
    /// There may be more to read than its turn allowed.
    pub more: bool,
    /// Since when nothing more is read: it is to be handed on once what is open is answered...
    pub paused: Option<i64>,
    /// ... but not before this: it had its pause.
    pub rested: i64,
    /// All is said, and the client is to close: closing first, with its bytes unread, would reset the connection
    /// and could take the last answers away from it.
    pub lingers: Option<i64>,
    /// The write side is shut down: no answer waits to be written any more.
    pub shut_down: bool,
    /// What came can't be read on from here: the connection ends for this once what is open there is answered.
    pub unreadable: Option<Reason>,
    /// Bytes of unread messages that were looked through for cancellations already.
    pub scanned: usize,
}

impl Session {
    /// Whether all that it asked is answered and no further message has begun.
    pub(super) fn is_idle(&self, now: i64, conn: ConnKey, net: &mut Net) -> bool {
        let unread = |net: &mut Net| net.input(conn, |input| !input.is_empty()).unwrap_or(false);
        let asked = self.asked || self.heard + NEVER_ASKED <= now;
        let quiet = asked && self.lingers.is_none() && !self.more && self.open.is_empty();
        quiet && net.unwritten(conn) == 0 && !unread(net)
    }

    /// Reads again: what has come meanwhile has its turn.
    pub(super) fn resume(&mut self, conn: ConnKey, turns: &mut VecDeque<ConnKey>) {
        self.paused = None;
        if !std::mem::replace(&mut self.more, true) {
            turns.push_back(conn);
        }
    }
}

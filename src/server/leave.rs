//! The end: after the signal to stop, alone or with a newer process that takes over.

use super::{Due, Server};
use crate::deadlines::Schedule;
use crate::interface::Micros;
use crate::net::{Ready, Role};
use log::info;

/// After the signal to stop, new requests may come for 0.6 s: all of them are answered, us.
const STOP_AFTER: Micros = 800_000;
/// Longer than the longest deadline nothing is waited for, us.
const STOP_AT_LAST: Micros = 30_000_000;
/// How often the end is looked for then, us.
const STOP_LOOK: Micros = 20_000;
/// With a newer process, a connection that does not fall idle is waited for so long, us: the end comes by force 3.7 s
/// after the signal.
const LEAVE_AT_LAST: Micros = 3_300_000;

impl Server {
    /// The signal to stop has come.
    pub(super) fn stop(&mut self) {
        info!("stopping");
        self.stopping = Some(self.now);
        if self.handover.has_newer() {
            self.leave();
        } else {
            self.due.add(self.now + STOP_AFTER, Due::Stop);
        }
    }

    /// Leaves the clients that come to the newer process. What waits in a listener's queue would be reset with it: the
    /// queue is emptied first.
    pub(super) fn leave(&mut self) {
        for role in [Role::Thrift, Role::Signed] {
            while let Some(conn) = self.accept_one(role) {
                self.take_in(role, conn);
            }
        }
        let links = self.links.as_mut().and_then(|links| links.listener.take());
        for mut listener in self.listener.take().into_iter().chain(links) {
            let _ = self.net.unwatch(&mut listener); // its end ends the watch, too
        }
        info!("clients are left to the newer process");
        self.thrift.retire();
        if let Some(links) = &mut self.links {
            links.front.retire(self.now, &mut self.net, &mut self.due);
        }
        self.due.add(self.now, Due::Stop);
    }

    fn is_leaving(&self) -> bool {
        self.stopping.is_some() && self.listener.is_none()
    }

    /// Ends the connections that have fallen idle, once all that was ready has been read.
    pub(super) fn fade(&mut self) {
        while let Some(conn) = self.thrift.fading(&mut self.net) {
            // What has come meanwhile is still answered.
            self.on_ready(Ready::Conn { key: conn, read: true, write: false });
            self.pump();
            self.thrift.fade(self.now, conn, &mut self.net, &mut self.due);
        }
    }

    pub(super) fn look_for_end(&mut self) {
        let begun = self.stopping.unwrap_or(self.now);
        let links = self.links.as_ref().map(|links| &links.front);
        let flushed =
            self.thrift.is_flushed(&self.net) && links.is_none_or(|links| links.is_flushed(&self.net));
        let answered = self.core.unanswered() == 0 && flushed;
        // A client that was told the end closes by itself; with its bytes unread it would be reset from here.
        let left = !self.is_leaving() || self.clients() == 0 || begun + LEAVE_AT_LAST <= self.now;
        if (answered && left) || begun + STOP_AT_LAST <= self.now {
            self.stopped = true;
        } else {
            self.due.add(self.now + STOP_LOOK, Due::Stop);
        }
    }
}

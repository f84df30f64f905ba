//! The end: after the signal to stop, alone or with a newer process that takes over.
//!
//! Alone, clients and requests are taken for a while longer; then the listeners close behind the last connection that
//! the system accepted, each connection is told the end as it falls idle, and the process ends once all is answered
//! and the clients have closed, or have had time to.

use super::handover::{Handed, HandedStream};
use super::{Server, ServerDeadline};
use crate::deadlines::Schedule;
use crate::front::thrift::HANDOVER_PAUSE;
use crate::interface::{Instant, Span};
use crate::net::{Ready, Reason, Role};
use tracing::{info, warn};

/// After the signal to stop, clients and requests are taken for this long...
const STOP_AFTER: Span = Span::from_millis(800);
/// ... and where the end by force is near, at least for this long: so long new requests may come...
const REQUESTS_COME: Span = Span::from_millis(600);
/// ... and until this long before the end by force.
const LEAVE_BEFORE_FORCE: Span = Span::from_millis(300);
/// The end by force may come after the longest deadline, counted as this where it is longer...
const LONGEST: Span = Span::from_secs(3);
/// ... and so much more.
const FORCE_AFTER_DEADLINE: Span = Span::from_millis(700);
/// What is open then gets its answer so long before it: with a newer process, connections are still handed on.
const ANSWER_BEFORE_FORCE: Span = Span::from_millis(250);
const HAND_ON_BEFORE_FORCE: Span = Span::from_millis(300);
/// The process has ended so long before it.
const END_BEFORE_FORCE: Span = Span::from_millis(150);
/// Once all is answered, clients that were told the end have this long to close: closing first could reset a
/// connection whose last answer is not read yet.
const CLOSING: Span = Span::from_millis(500);
/// How often the end is looked for then.
const STOP_LOOK: Span = Span::from_millis(20);
/// Turns that clients' unread requests have at the last; each takes some of one connection's.
const LAST_TURNS: usize = 4096;
/// Each time this has passed, one request more may be open on a connection on which reading stops, so that it can
/// be handed on: the fewer there are, the less do requests wait there for the last answer.
const PAUSE_STEP: Span = Span::from_millis(400);

impl Server {
    /// The signal to stop has come.
    pub(super) fn begin_shutdown(&mut self) {
        info!("stopping");
        self.stopping = Some(self.now);
        self.federation.stop();
        if self.handover.has_newer() {
            self.stop_accepting();
        } else {
            let before_force = self.forced_end() - LEAVE_BEFORE_FORCE;
            let at = before_force.clamp(self.now + REQUESTS_COME, self.now + STOP_AFTER);
            self.due.add(at, ServerDeadline::Stop);
        }
    }

    /// Takes no more clients. What waits in a listener's queue would be reset with it: the queue is emptied first, later
    /// if there are no descriptors for it.
    pub(super) fn stop_accepting(&mut self) {
        for role in [Role::Thrift, Role::Signed] {
            while let Some(conn) = self.accept_one(role) {
                self.take_in(role, conn);
            }
        }
        if self.is_exhausted() && self.now < self.forced_end() {
            self.due.add(self.now + STOP_LOOK, ServerDeadline::Stop);
            return;
        }
        let links = self.links.as_mut().and_then(|links| links.listener.take());
        for listener in self.listener.take().into_iter().chain(links) {
            self.net.unlisten(listener);
        }
        if self.handover.has_newer() {
            info!("clients are left to the newer process");
        } else {
            info!("no more clients are taken");
        }
        self.thrift.start_draining();
        if let Some(links) = &mut self.links {
            links.front.start_draining(self.now, &mut self.net, &mut self.due);
        }
        self.due.add(self.now, ServerDeadline::Stop);
    }

    pub(super) fn is_leaving(&self) -> bool {
        self.stopping.is_some() && self.listener.is_none()
    }

    /// Hands on the connections on which nothing is open, once all that was ready has been done; with nobody to take
    /// them, they end.
    pub(super) fn hand_over_or_close_idle(&mut self) {
        if !self.is_leaving() {
            return;
        }
        if self.handover.has_newer() {
            let begun = self.stopping.unwrap_or(self.now);
            let most = ((self.now - begun) / PAUSE_STEP) as usize;
            let before_end = self.last_answers() <= self.now + HANDOVER_PAUSE;
            for conn in self.thrift.connections_to_hand_over(self.now, most, before_end, &self.net) {
                let handover = &mut self.handover;
                if self.net.hand_over(self.now, conn, |stream, unused| handover.hand(stream, unused)) {
                    self.thrift.handed_over(conn, &mut self.due);
                }
            }
            return;
        }
        while let Some(conn) = self.thrift.idle_connection(self.now, &mut self.net) {
            // What has come meanwhile is still answered.
            self.on_ready(Ready::readable(conn));
            self.pump();
            self.thrift.close_if_idle(self.now, conn, Reason::Stopping, &mut self.net, &mut self.due);
        }
    }

    /// Takes in a connection that the older process has handed on.
    pub(super) fn adopt(&mut self, (stream, unused): Handed) {
        let adopted = match stream {
            HandedStream::Stream(stream) => self.net.adopt(self.now, stream, Role::Thrift, &unused),
            HandedStream::End(end) => self.net.adopt_virtual(self.now, end, Role::Thrift, &unused),
        };
        match adopted {
            Ok(conn) => {
                self.thrift.adopt(self.now, conn, &mut self.net, &mut self.due);
                if let Some(address) = self.net.address(conn) {
                    self.admitting.admission.adopted(
                        self.now,
                        crate::admission::ConnectionId(conn.number()),
                        address,
                    );
                }
                // What was read there already brings no event.
                self.on_ready(Ready::readable(conn));
                // Attempts are written behind all that is ready by now: its client may have closed it.
                self.settle();
            }
            Err(error) => warn!("a connection that was handed on: {error}"),
        }
    }

    /// When the process may be ended by force.
    fn forced_end(&self) -> Instant {
        let longest = self
            .names
            .classes
            .iter()
            .map(|class| class.client_deadline)
            .max()
            .unwrap_or(Span::ZERO)
            .min(LONGEST);
        self.stopping.unwrap_or(self.now) + longest + FORCE_AFTER_DEADLINE
    }

    /// When what is open gets its answer, since the end by force is near.
    fn last_answers(&self) -> Instant {
        let before = if self.handover.has_newer() { HAND_ON_BEFORE_FORCE } else { ANSWER_BEFORE_FORCE };
        self.forced_end() - before
    }

    pub(super) fn check_stopped(&mut self) {
        if !self.is_leaving() {
            return self.stop_accepting();
        }
        if self.last_answers() <= self.now {
            self.answer_at_last();
        }
        if !self.is_answered() {
            self.answered_since = None;
        } else if self.answered_since.is_none() {
            self.answered_since = Some(self.now);
        }
        let over = self.answered_since.is_some_and(|since| match self.handover.has_newer() {
            _ if self.clients() == 0 => true,
            true => self.last_answers() + STOP_LOOK < self.now,
            false => since + CLOSING <= self.now,
        });
        if over || self.forced_end() - END_BEFORE_FORCE <= self.now {
            self.stopped = true;
        } else {
            self.due.add(self.now + STOP_LOOK, ServerDeadline::Stop);
        }
    }

    /// Gives every request its answer. With nobody to take the connections over, what their clients have sent by now is
    /// read and answered too, and then they are told the end: some never fall idle.
    fn answer_at_last(&mut self) {
        if self.handover.has_newer() {
            return self.core.time_out_all(self.now, &mut self.due);
        }
        for conn in self.thrift.connections() {
            self.on_ready(Ready::readable(conn));
        }
        for _ in 0..LAST_TURNS {
            let Some(conn) = self.thrift.next_turn() else { break };
            self.on_ready(Ready::readable(conn));
            self.core.time_out_all(self.now, &mut self.due);
            self.settle();
        }
        self.core.time_out_all(self.now, &mut self.due);
        self.settle();
        let asks = self.thrift.close_all_gracefully(self.now, Reason::Stopping, &mut self.net, &mut self.due);
        self.on_thrift_events(asks);
    }

    /// Whether every request that was read has had its answer, down to the last byte.
    fn is_answered(&self) -> bool {
        let links = self.links.as_ref().map(|links| &links.front);
        self.core.unanswered() == 0
            && self.thrift.waiting_turns() == 0
            && self.thrift.is_flushed(&self.net)
            && links.is_none_or(|links| links.is_flushed(&self.net))
    }
}

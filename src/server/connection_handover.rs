//! Clients' connections during a handover: the older process passes idle ones on, or closes them where no newer process
//! takes them; the newer one takes them in.

use super::acceptor::ACCEPT_RETRY_INTERVAL;
use super::event_source::EventSource;
use super::handover::{InheritedConnection, InheritedStream};
use super::Server;
use crate::admission::ConnectionId;
use crate::front::thrift::HANDOVER_PAUSE;
use crate::interface::Span;
use crate::net::{Ready, Reason, Role};
use tracing::warn;

/// Each time this has passed since the signal, one request more may be open on a connection on which reading stops so
/// that it can be passed on. The fewer there are, the less other requests wait there for the last answer.
const PAUSE_LIMIT_STEP: Span = Span::from_millis(400);

impl Server {
    /// Handles an event of the handover: the other process came, sent something or ended.
    pub(super) fn on_handover_event(&mut self, source: EventSource) {
        let mut inherited = Vec::new();
        let processes_changed = self.handover.on_event(source, &mut self.net, &mut inherited);
        if self.handover.missed_newer() {
            self.accept_at(self.now + ACCEPT_RETRY_INTERVAL);
        }
        inherited.into_iter().for_each(|connection| self.take_over_connection(connection));
        if !processes_changed {
            return;
        }
        self.update_process_share();
        self.federation.set_newer_process(self.handover.has_newer());
        if self.phase.is_closed_to_clients() && !self.handover.has_newer() {
            self.thrift.resume_reading();
        }
    }

    /// While closing: passes on the connections on which nothing is open, once all that was ready was handled; with no
    /// newer process, they are closed.
    pub(super) fn hand_over_or_close_idle(&mut self) {
        if !self.phase.is_closed_to_clients() {
            return;
        }
        if self.handover.has_newer() {
            self.hand_over_idle();
        } else {
            self.close_idle();
        }
    }

    fn hand_over_idle(&mut self) {
        let schedule = self.shutdown_schedule();
        let max_open_requests = ((self.now - schedule.signalled_at) / PAUSE_LIMIT_STEP) as usize;
        let is_end_near = schedule.final_answers_at() <= self.now + HANDOVER_PAUSE;
        let connections =
            self.thrift.connections_to_hand_over(self.now, max_open_requests, is_end_near, &self.net);
        for conn in connections {
            let handover = &mut self.handover;
            if self
                .net
                .hand_over(self.now, conn, |stream, unused| handover.hand_over_connection(stream, unused))
            {
                self.thrift.remove_handed_over(conn, &mut self.deadlines);
            }
        }
    }

    fn close_idle(&mut self) {
        while let Some(conn) = self.thrift.idle_connection(self.now, &mut self.net) {
            // What has come meanwhile is still answered.
            self.on_ready(Ready::readable(conn));
            self.process_commands_and_write();
            self.thrift.close_if_idle(self.now, conn, Reason::Stopping, &mut self.net, &mut self.deadlines);
        }
    }

    /// Takes over a connection that the older process has passed on.
    fn take_over_connection(&mut self, InheritedConnection { stream, unused }: InheritedConnection) {
        let adopted = match stream {
            InheritedStream::Tcp(stream) => self.net.adopt(self.now, stream, Role::Thrift, &unused),
            InheritedStream::Virtual(stream) => {
                self.net.adopt_virtual(self.now, stream, Role::Thrift, &unused)
            }
        };
        let conn = match adopted {
            Ok(conn) => conn,
            Err(error) => return warn!("a connection that was handed on: {error}"),
        };
        self.thrift.adopt(self.now, conn, &mut self.net, &mut self.deadlines);
        if let Some(address) = self.net.address(conn) {
            self.admission.rules.add_handed_over(self.now, ConnectionId(conn.number()), address);
        }
        // The unused bytes bring no event.
        self.on_ready(Ready::readable(conn));
        // Attempts are written behind all that is ready by now: the client may have closed the connection.
        self.process_commands();
    }
}

//! Clients' connections during a handover. The older process hands idle ones over to the newer process, or
//! closes them if there is none; the newer process adopts them.

use super::acceptor::ACCEPT_RETRY_INTERVAL;
use super::event_source::EventSource;
use super::handover::{InheritedConnection, InheritedStream};
use super::Server;
use crate::admission::ConnectionId;
use crate::front::thrift::HANDOVER_PAUSE;
use crate::interface::Span;
use crate::net::{Ready, Reason, Role};
use tracing::warn;

/// Interval at which the limit on open requests is raised by one. Before a handover, reading pauses on
/// connections with at most that many open requests; the limit is 0 at the signal. Connections with fewer
/// open requests come first, since requests that arrive there during the pause wait less long for the last
/// open answer.
const PAUSE_LIMIT_STEP: Span = Span::from_millis(400);

impl Server {
    /// Handles an event of the handover: another process connected, sent something or ended.
    pub(super) fn on_handover_event(&mut self, source: EventSource) {
        let mut inherited = Vec::new();
        let processes_changed = self.handover.on_event(source, &mut self.net, &mut inherited);
        if self.handover.newer_accept_pending() {
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

    /// While closing, hands over the connections without open requests, or closes them if there is no newer
    /// process. Called after all ready events of the turn were handled.
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
            if self.net.hand_over(self.now, conn, |stream, unprocessed| {
                handover.hand_over_connection(stream, unprocessed)
            }) {
                self.thrift.remove_handed_over(conn, &mut self.deadlines);
            }
        }
    }

    fn close_idle(&mut self) {
        while let Some(conn) = self.thrift.idle_connection(self.now, &mut self.net) {
            // Requests that have arrived in the meantime are still answered.
            self.on_ready(Ready::readable(conn));
            self.process_commands_and_write();
            self.thrift.close_if_idle(self.now, conn, Reason::Stopping, &mut self.net, &mut self.deadlines);
        }
    }

    /// Adopts a connection that the older process has handed over.
    fn take_over_connection(&mut self, InheritedConnection { stream, unprocessed }: InheritedConnection) {
        let adopted = match stream {
            InheritedStream::Tcp(stream) => self.net.adopt(self.now, stream, Role::Thrift, &unprocessed),
            InheritedStream::Virtual(stream) => {
                self.net.adopt_virtual(self.now, stream, Role::Thrift, &unprocessed)
            }
        };
        let conn = match adopted {
            Ok(conn) => conn,
            Err(error) => return warn!("cannot adopt a connection of the older process: {error}"),
        };
        self.thrift.adopt(self.now, conn, &mut self.net, &mut self.deadlines);
        if let Some(address) = self.net.address(conn) {
            self.admission.rules.add_handed_over(self.now, ConnectionId(conn.number()), address);
        }
        // There is no readiness event for the bytes that the older process had already read.
        self.on_ready(Ready::readable(conn));
        // This does not write attempts yet: the client may have closed the connection, which is known only
        // after all ready events are handled.
        self.process_commands();
    }
}

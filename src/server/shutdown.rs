//! The graceful shutdown, alone or with a newer process that takes over.
//!
//! Alone, clients are accepted and requests taken for a while longer; then the listeners close, each connection is
//! closed as it falls idle, and the process ends once all is answered and the clients have closed, or have had time to.
//! With a newer process, the listeners close at once and connections are passed on to it.

use super::deadline::ServerDeadline;
use super::shutdown_schedule::{ShutdownSchedule, CHECK_INTERVAL};
use super::Server;
use crate::deadlines::Schedule;
use crate::net::{Ready, Reason, Role};
use tracing::info;

/// Turns for clients' unread requests before the forced end; each takes some requests of one connection.
const MAX_FINAL_TURNS: usize = 4096;

impl Server {
    /// Whether all is answered and the process may end.
    pub fn is_stopped(&self) -> bool {
        self.phase.is_stopped()
    }

    /// Begins the shutdown, as SIGTERM does; a second call does nothing.
    pub fn terminate(&mut self) {
        if !self.phase.is_shutting_down() {
            self.now = self.clock.now();
            self.begin_shutdown();
            self.process_commands_and_write();
        }
    }

    /// Begins the shutdown.
    pub(super) fn begin_shutdown(&mut self) {
        info!("stopping");
        self.phase.begin_shutdown(self.now);
        self.federation.stop();
        if self.handover.has_newer() {
            self.stop_accepting();
        } else {
            self.deadlines.add(self.shutdown_schedule().stop_accepting_at(), ServerDeadline::ShutdownCheck);
        }
    }

    /// The times of the shutdown.
    pub(super) fn shutdown_schedule(&self) -> ShutdownSchedule {
        ShutdownSchedule {
            signalled_at: self.phase.shutdown_since().unwrap_or(self.now),
            max_client_deadline: self.config.max_client_deadline(),
            has_newer: self.handover.has_newer(),
        }
    }

    /// Closes the listeners. Connections in a listener's queue would be reset with it, so the queue is emptied first,
    /// or later if there are no descriptors for it.
    fn stop_accepting(&mut self) {
        for role in [Role::Thrift, Role::Signed] {
            while let Some(conn) = self.accept_one(role) {
                self.open_connection(role, conn);
            }
        }
        if self.is_exhausted() && self.now < self.shutdown_schedule().kill_at() {
            self.deadlines.add(self.now + CHECK_INTERVAL, ServerDeadline::ShutdownCheck);
            return;
        }
        self.listeners.close_clients(&mut self.net);
        self.phase.begin_closing(self.now);
        if self.handover.has_newer() {
            info!("clients are left to the newer process");
        } else {
            info!("no more clients are taken");
        }
        self.thrift.start_draining();
        if let Some(signed) = &mut self.signed {
            signed.front.start_draining(self.now, &mut self.net, &mut self.deadlines);
        }
        self.deadlines.add(self.now, ServerDeadline::ShutdownCheck);
    }

    /// Takes the next step of the shutdown, if it is due.
    pub(super) fn check_shutdown(&mut self) {
        if !self.phase.is_closed_to_clients() {
            return self.stop_accepting();
        }
        if self.shutdown_schedule().final_answers_at() <= self.now {
            self.answer_all();
        }
        self.phase.set_answered(self.is_all_answered(), self.now);
        if self.may_end() {
            self.phase.stop(self.now);
        } else {
            self.deadlines.add(self.now + CHECK_INTERVAL, ServerDeadline::ShutdownCheck);
        }
    }

    /// Whether the process may end.
    fn may_end(&self) -> bool {
        let schedule = self.shutdown_schedule();
        if schedule.latest_end() <= self.now {
            return true;
        }
        if !self.phase.is_answered() {
            return false;
        }
        if self.clients() == 0 {
            return true;
        }
        if schedule.has_newer {
            // Connections may still be passed on.
            schedule.final_answers_at() + CHECK_INTERVAL < self.now
        } else {
            self.phase.clients_had_time_to_close(self.now)
        }
    }

    /// Answers every open request. With no newer process, what clients have sent by now is read and answered too, and
    /// then all connections are closed, since some never fall idle.
    fn answer_all(&mut self) {
        if self.handover.has_newer() {
            return self.core.time_out_all(self.now, &mut self.deadlines);
        }
        for conn in self.thrift.connections() {
            self.on_ready(Ready::readable(conn));
        }
        for _ in 0..MAX_FINAL_TURNS {
            let Some(conn) = self.thrift.next_turn() else { break };
            self.on_ready(Ready::readable(conn));
            self.core.time_out_all(self.now, &mut self.deadlines);
            self.process_commands();
        }
        self.core.time_out_all(self.now, &mut self.deadlines);
        self.process_commands();
        let events =
            self.thrift.close_all_gracefully(self.now, Reason::Stopping, &mut self.net, &mut self.deadlines);
        self.on_thrift_events(events);
    }

    /// Whether every request that was read has its answer, down to the last byte.
    fn is_all_answered(&self) -> bool {
        let signed = self.signed.as_ref().map(|signed| &signed.front);
        self.core.unanswered() == 0
            && self.thrift.waiting_turns() == 0
            && self.thrift.is_flushed(&self.net)
            && signed.is_none_or(|signed| signed.is_flushed(&self.net))
    }

    /// Ends a process that has stopped.
    pub fn finish(&mut self) {
        self.handover.close(&mut self.net);
        self.federation.finish();
        self.thrift.close_all(self.now, &mut self.net, &mut self.deadlines);
        if let Some(signed) = &mut self.signed {
            signed.front.close_all(self.now, &mut self.net, &mut self.deadlines);
        }
        if let Some(admin) = &mut self.admin {
            admin.close_all(self.now, &mut self.net, &mut self.deadlines);
        }
        self.upstream.close_all(self.now, &mut self.net, &mut self.deadlines);
        info!("stopped");
    }
}

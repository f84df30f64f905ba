//! The graceful shutdown, alone or with a newer process that takes over.
//!
//! Without a newer process, clients and requests are accepted for a while longer. Then the listeners are
//! closed, and each connection is closed once it is idle. The process ends when all requests are answered and
//! the clients have closed their connections or have had time to. With a newer process, the listeners are
//! closed at once, and connections are handed over to it.

use super::acceptor::{ACCEPTS_PER_TURN, ACCEPT_INTERVAL};
use super::deadline::ServerDeadline;
use super::shutdown_schedule::{ShutdownSchedule, CHECK_INTERVAL};
use super::Server;
use crate::deadlines::Schedule;
use crate::interface::Span;
use crate::net::{Ready, Reason, Role, BACKLOG};
use tracing::info;

/// Maximum number of turns in which clients' unread requests are read before the process may be killed. A
/// turn reads some requests of one connection.
const MAX_FINAL_TURNS: usize = 4096;
/// Maximum time for that. It ends well before the process may be killed.
const MAX_FINAL_READ_TIME: Span = Span::from_millis(40);
/// Maximum number of turns in which waiting connections are accepted before the listeners are closed: enough for
/// a full queue.
const MAX_ACCEPT_TURNS: usize = BACKLOG / ACCEPTS_PER_TURN + 1;

impl Server {
    /// Whether the shutdown is complete and the process may end.
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

    /// Returns the times of the shutdown, by the current configuration and the current other processes.
    pub(super) fn shutdown_schedule(&self) -> ShutdownSchedule {
        ShutdownSchedule {
            signalled_at: self.phase.shutdown_since().unwrap_or(self.now),
            max_client_deadline: self.config.max_client_deadline(),
            has_newer: self.handover.has_newer(),
        }
    }

    /// Closes the listeners. Connections in a listener's queue would be reset with it, so the queue is
    /// emptied first, a limited number of connections per turn. Clients that connect again as soon as they
    /// are closed can keep the queue filled, so this ends once all that waited at first are accepted. If there
    /// are no descriptors for that, this is tried again until the process may be killed.
    fn stop_accepting(&mut self) {
        let may_have_more = [Role::Thrift, Role::Signed].map(|role| self.accept_batch(role)).contains(&true);
        if may_have_more && self.phase.count_accept_turn() < MAX_ACCEPT_TURNS {
            self.deadlines.add(self.now + ACCEPT_INTERVAL, ServerDeadline::ShutdownCheck);
            return;
        }
        if self.is_exhausted() && self.now < self.shutdown_schedule().kill_at() {
            self.deadlines.add(self.now + CHECK_INTERVAL, ServerDeadline::ShutdownCheck);
            return;
        }
        self.listeners.close_clients(&mut self.net);
        self.phase.begin_closing(self.now);
        if self.handover.has_newer() {
            info!("listeners closed: the newer process accepts clients");
        } else {
            info!("listeners closed: no more clients are accepted");
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
        let is_answered = self.is_all_answered();
        self.phase.set_answered(is_answered, self.now);
        if self.may_end() {
            self.phase.stop(self.now);
        } else {
            self.deadlines.add(self.now + CHECK_INTERVAL, ServerDeadline::ShutdownCheck);
        }
    }

    /// Whether the process may end now.
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
            // Connections may still be handed over until shortly after the final answers.
            schedule.final_answers_at() + CHECK_INTERVAL < self.now
        } else {
            self.phase.clients_had_time_to_close(self.now)
        }
    }

    /// Answers every open request. With no newer process, requests that clients have sent by now are read and
    /// answered too. Then all connections are closed, since some never become idle.
    fn answer_all(&mut self) {
        if self.handover.has_newer() {
            return self.core.time_out_all(self.now, &mut self.deadlines);
        }
        let events = self.thrift.skip_waiting_messages(self.now, &mut self.net, &mut self.deadlines);
        self.on_thrift_events(events);
        for conn in self.thrift.connections() {
            self.on_ready(Ready::readable(conn));
        }
        for _ in 0..MAX_FINAL_TURNS {
            let Some(conn) = self.thrift.next_readable_connection() else { break };
            if self.clock.now() > self.now + MAX_FINAL_READ_TIME {
                break;
            }
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

    /// Whether every request that was read has been answered and its answer has been sent in full.
    fn is_all_answered(&mut self) -> bool {
        self.core.unanswered() == 0
            && self.connections_with_unread_requests() == 0
            && !self.thrift.needs_memory()
            && self.thrift.is_flushed(self.now, &self.net)
            && self.signed.as_mut().is_none_or(|signed| signed.front.is_flushed(self.now, &self.net))
    }

    /// Releases the resources of a process whose shutdown is complete, and closes all connections.
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

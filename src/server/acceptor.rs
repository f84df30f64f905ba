//! Accepting of connections: a limited number at a turn, within the budget, with pauses while the process is out of
//! descriptors.

use super::deadline::ServerDeadline;
use super::event_source::EventSource;
use super::listeners::Accepted;
use super::Server;
use crate::deadlines::{DeadlineHandle, Deadlines, Schedule};
use crate::interface::{ClassId, Instant, Span};
use crate::net::{is_exhausted, ConnectionKey, Ready, Role};
use std::io;
use tracing::{info, warn};

/// Connections accepted at a turn, so that what is open does not wait for hundreds of new ones.
const ACCEPTS_PER_TURN: usize = 32;
/// The pause before the next turn.
const ACCEPT_INTERVAL: Span = Span::from_millis(1);
/// The pause after accepting failed.
pub(super) const ACCEPT_RETRY_INTERVAL: Span = Span::from_millis(50);

/// The timer for accepting without an event.
#[derive(Default)]
pub(super) struct AcceptTimer {
    /// The only deadline, however many accepts failed.
    planned: Option<(Instant, DeadlineHandle)>,
    /// Out of descriptors or memory: nothing is accepted before this.
    paused_until: Instant,
}

impl AcceptTimer {
    /// Fires at a time, unless it is to fire sooner anyway.
    pub fn schedule(&mut self, at: Instant, deadlines: &mut Deadlines<ServerDeadline>) {
        match self.planned {
            Some((planned, _)) if planned <= at => return,
            Some((_, later)) => Schedule::<ServerDeadline>::remove(deadlines, later),
            None => {}
        }
        self.planned = Some((at, deadlines.add(at, ServerDeadline::Accept)));
    }

    /// Accepts nothing before a time.
    pub fn pause(&mut self, until: Instant) {
        self.paused_until = until;
    }

    /// Until when nothing is accepted.
    pub fn paused_until(&self, now: Instant) -> Option<Instant> {
        Some(self.paused_until).filter(|until| now < *until)
    }

    /// The timer has fired.
    fn on_fired(&mut self) {
        self.planned = None;
    }
}

impl Server {
    /// Accepts at a time without an event.
    pub(super) fn accept_at(&mut self, at: Instant) {
        self.accept_timer.schedule(at, &mut self.deadlines);
    }

    /// Accepts on all listeners: the timer has fired.
    pub(super) fn on_accept_timer(&mut self) {
        self.accept_timer.on_fired();
        if self.handover.missed_newer() {
            self.on_handover_event(EventSource::HandoverListener);
        }
        self.accept_admin_callers();
        self.accept_clients();
    }

    /// Whether connections may wait that cannot be accepted for want of descriptors or memory.
    pub(super) fn is_exhausted(&self) -> bool {
        self.accept_timer.paused_until(self.now).is_some() || self.admission.rules.exhaustion.is_ongoing()
    }

    /// Accepts clients' connections, so many at a turn.
    pub(super) fn accept_clients(&mut self) {
        if let Some(until) = self.accept_timer.paused_until(self.now) {
            return self.accept_at(until);
        }
        for role in [Role::Thrift, Role::Signed] {
            for accepted in 0.. {
                if accepted == ACCEPTS_PER_TURN {
                    self.accept_at(self.now + ACCEPT_INTERVAL);
                    break;
                }
                let Some(conn) = self.accept_one(role) else { break };
                self.open_connection(role, conn);
            }
        }
    }

    /// Opens a client's connection that was accepted, or refuses it.
    pub(super) fn open_connection(&mut self, role: Role, conn: ConnectionKey) {
        if !self.make_room() {
            let retry_after = self.core.retry_after(ClassId(0));
            return self.refuse_connection(role, conn, retry_after, true);
        }
        if !self.admit(role, conn) {
            return;
        }
        if role == Role::Thrift {
            self.thrift.open(self.now, conn, &mut self.deadlines);
            self.read_delayed_requests(conn);
        } else if let Some(signed) = &mut self.signed {
            signed.front.open(self.now, conn, &mut self.deadlines);
        }
    }

    /// Reads from a connection that may have waited while accepting failed: its client's deadline counts from then.
    fn read_delayed_requests(&mut self, conn: ConnectionKey) {
        if let Some(since) = self.admission.accept_failing_since {
            self.thrift.set_waiting_since(conn, since);
            self.on_ready(Ready::readable(conn));
        }
    }

    /// Clients' connections that this process holds.
    pub(super) fn clients(&self) -> usize {
        self.net.count(Role::Thrift) + self.net.count(Role::Signed)
    }

    /// Accepts the next connection of a role, if one waits.
    pub(super) fn accept_one(&mut self, role: Role) -> Option<ConnectionKey> {
        let accepted = match self.listeners.accept(self.now, role, &mut self.net) {
            Ok(accepted) => accepted,
            Err(error) => {
                self.on_accept_failed(role, &error);
                return None;
            }
        };
        let conn = match accepted {
            Accepted::NoListener => return None,
            Accepted::NoneWaiting => None,
            Accepted::Connection(conn) => Some(conn),
        };
        if role != Role::Admin {
            self.on_accept_succeeded();
        }
        if role == Role::Thrift && conn.is_none() {
            self.admission.accept_failing_since = None;
        }
        conn
    }

    /// Plans the next attempt to accept. Out of descriptors with admission on, the pauses double, and the spare
    /// descriptor is given up to accept one waiting connection and refuse it.
    fn on_accept_failed(&mut self, role: Role, error: &io::Error) {
        if role == Role::Thrift {
            self.admission.accept_failing_since.get_or_insert(self.now);
        }
        if role == Role::Admin || !(self.admission.rules.is_enabled() && is_exhausted(error)) {
            warn!("accept: {error}");
            let retry_at = self.now + ACCEPT_RETRY_INTERVAL;
            if is_exhausted(error) {
                self.accept_timer.pause(retry_at);
            }
            return self.accept_at(retry_at);
        }
        let backoff = self.admission.rules.exhaustion.accept_failed(self.now);
        if backoff.starts_episode {
            warn!("descriptors: out ({error}); accepts pause, one connection at a time is refused with the spare");
        }
        self.accept_at(backoff.until);
        if self.admission.spare_descriptor.take().is_none() {
            return;
        }
        if let Ok(Accepted::Connection(conn)) = self.listeners.accept(self.now, role, &mut self.net) {
            self.admission.rules.exhaustion.connection_shed();
            self.shed_connection(role, conn);
        }
    }

    /// Accepting worked or found no connection: an episode of exhaustion is over.
    fn on_accept_succeeded(&mut self) {
        if let Some(ended) = self.admission.rules.exhaustion.accept_succeeded(self.now) {
            let (ms, tries, shed) = (ended.duration.as_millis(), ended.failed_accepts, ended.shed);
            info!(
                "descriptors: episode over after {ms} ms, {tries} accepts failed, {shed} connections refused"
            );
        }
    }
}

#[cfg(test)]
mod tests;

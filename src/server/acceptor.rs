//! Accepts connections: a limited number per turn, within the budget, and with pauses while the process is
//! out of descriptors.

use super::deadline::ServerDeadline;
use super::event_source::EventSource;
use super::listeners::Accepted;
use super::Server;
use crate::deadlines::{DeadlineHandle, Deadlines, Schedule};
use crate::interface::{ClassId, Instant, Span};
use crate::net::{is_exhausted, ConnectionKey, Ready, Role};
use std::io;
use tracing::{info, warn};

/// Maximum number of connections of a role accepted per turn, so that open connections do not wait for
/// hundreds of new ones.
pub(super) const ACCEPTS_PER_TURN: usize = 32;
/// Delay before accepting continues after a turn that reached [`ACCEPTS_PER_TURN`].
pub(super) const ACCEPT_INTERVAL: Span = Span::from_millis(1);
/// Delay before accepting is tried again after it failed.
pub(super) const ACCEPT_RETRY_INTERVAL: Span = Span::from_millis(50);

/// Timer that makes the event loop accept connections without a readiness event.
#[derive(Default)]
pub(super) struct AcceptTimer {
    /// The time and handle of the pending deadline. There is at most one, however many accepts failed.
    planned: Option<(Instant, DeadlineHandle)>,
    /// Nothing is accepted before this time, since the process ran out of descriptors or memory.
    paused_until: Instant,
}

impl AcceptTimer {
    /// Schedules the timer for a time, unless it fires earlier already.
    pub fn schedule(&mut self, at: Instant, deadlines: &mut Deadlines<ServerDeadline>) {
        match self.planned {
            Some((planned, _)) if planned <= at => return,
            Some((_, later)) => Schedule::<ServerDeadline>::remove(deadlines, later),
            None => {}
        }
        self.planned = Some((at, deadlines.add(at, ServerDeadline::Accept)));
    }

    /// Pauses accepting until a time.
    pub fn pause(&mut self, until: Instant) {
        self.paused_until = until;
    }

    /// Returns the end of the pause in accepting, if `now` is within one.
    pub fn paused_until(&self, now: Instant) -> Option<Instant> {
        Some(self.paused_until).filter(|until| now < *until)
    }

    /// Forgets the deadline, which has passed.
    fn on_fired(&mut self) {
        self.planned = None;
    }
}

impl Server {
    /// Schedules accepting for a time, without a readiness event.
    pub(super) fn accept_at(&mut self, at: Instant) {
        self.accept_timer.schedule(at, &mut self.deadlines);
    }

    /// Accepts on all listeners after the timer has fired.
    pub(super) fn on_accept_timer(&mut self) {
        self.accept_timer.on_fired();
        if self.handover.newer_accept_pending() {
            self.on_handover_event(EventSource::HandoverListener);
        }
        self.accept_admin_callers();
        self.accept_clients();
    }

    /// Whether connections may be waiting that cannot be accepted because descriptors or memory are
    /// exhausted.
    pub(super) fn is_exhausted(&self) -> bool {
        self.accept_timer.paused_until(self.now).is_some() || self.admission.rules.exhaustion.is_ongoing()
    }

    /// Accepts clients' connections, at most [`ACCEPTS_PER_TURN`] of each front.
    pub(super) fn accept_clients(&mut self) {
        if let Some(until) = self.accept_timer.paused_until(self.now) {
            return self.accept_at(until);
        }
        self.accept_batches(&[Role::Thrift, Role::Signed]);
    }

    /// Accepts connections of these roles, and schedules the next batch if more may be waiting.
    pub(super) fn accept_batches(&mut self, roles: &[Role]) {
        for role in roles {
            if self.accept_batch(*role) {
                self.accept_at(self.now + ACCEPT_INTERVAL);
            }
        }
    }

    /// Accepts connections of one role. Returns whether it stopped at [`ACCEPTS_PER_TURN`], so that more may be
    /// waiting.
    pub(super) fn accept_batch(&mut self, role: Role) -> bool {
        for _ in 0..ACCEPTS_PER_TURN {
            let Some(conn) = self.accept_one(role) else { return false };
            match role {
                Role::Admin => self.open_admin_caller(conn),
                _ => self.open_connection(role, conn),
            }
        }
        true
    }

    /// Opens an accepted connection of a client, or refuses it.
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

    /// Reads from a connection that may have waited to be accepted while accepting failed. Its client's
    /// deadline counts from the start of the failures.
    fn read_delayed_requests(&mut self, conn: ConnectionKey) {
        if let Some(since) = self.admission.accept_failing_since {
            self.thrift.set_waiting_since(conn, since);
            self.on_ready(Ready::readable(conn));
        }
    }

    /// Returns the number of clients' connections that this process holds.
    pub(super) fn clients(&self) -> usize {
        self.net.count(Role::Thrift) + self.net.count(Role::Signed)
    }

    /// Accepts the next connection of a role, if one is waiting.
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

    /// Schedules the next attempt to accept. If descriptors are exhausted and admission is on, the pauses
    /// double, and the spare descriptor is closed to accept one waiting connection and refuse it.
    fn on_accept_failed(&mut self, role: Role, error: &io::Error) {
        if role == Role::Thrift {
            self.admission.accept_failing_since.get_or_insert(self.now);
        }
        if role == Role::Admin || !(self.admission.rules.is_enabled() && is_exhausted(error)) {
            warn!("accept: failed on the {role:?} listener: {error}");
            let retry_at = self.now + ACCEPT_RETRY_INTERVAL;
            if is_exhausted(error) {
                self.accept_timer.pause(retry_at);
            }
            return self.accept_at(retry_at);
        }
        let backoff = self.admission.rules.exhaustion.accept_failed(self.now);
        if backoff.starts_episode {
            warn!(
                "descriptors: exhausted ({error}); accepting pauses, and one connection at a time is refused \
                 with the spare descriptor"
            );
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

    /// Ends an episode of exhaustion: an accept returned a connection, or found none waiting.
    fn on_accept_succeeded(&mut self) {
        if let Some(ended) = self.admission.rules.exhaustion.accept_succeeded(self.now) {
            let (ms, tries, shed) = (ended.duration.as_millis(), ended.failed_accepts, ended.shed);
            info!(
                "descriptors: no longer exhausted after {ms} ms; {tries} accepts failed, {shed} connections were \
                 refused"
            );
        }
    }
}

#[cfg(test)]
mod tests;

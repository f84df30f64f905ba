//! Clients' connections: accepted by turns, and within their budget.

use super::handover::PLACE;
use super::{Server, ServerDeadline};
use crate::deadlines::{DeadlineHandle, Schedule};
use crate::interface::{ClassId, Instant, Span};
use crate::net::{ConnectionKey, Ready, Reason, Role};
use std::io;

/// Connections taken at a turn, and the pause before the next one: hundreds at once wait for each other and not
/// the others for them.
const ACCEPTS: usize = 32;
const ACCEPT_NEXT: Span = Span::from_millis(1);
/// Connections that are looked at for one that can be ended for a new one.
const EVICTION_TRIES: usize = 32;

/// When connections are accepted next without an event.
#[derive(Default)]
pub(super) struct Accepting {
    /// The one deadline for it, however many accepts failed.
    next: Option<(Instant, DeadlineHandle)>,
    /// Out of descriptors or memory: until then nothing is accepted.
    pub paused_until: Instant,
}

impl Server {
    /// Accepts at a time, or sooner if that is planned already.
    pub(super) fn accept_at(&mut self, at: Instant) {
        match self.accepting.next {
            Some((planned, _)) if planned <= at => return,
            Some((_, later)) => Schedule::<ServerDeadline>::remove(&mut self.due, later),
            None => {}
        }
        self.accepting.next = Some((at, self.due.add(at, ServerDeadline::Accept)));
    }

    /// The time to accept has come.
    pub(super) fn accept_now(&mut self) {
        self.accepting.next = None;
        if self.handover.missed_newer() {
            self.on_ready(Ready::Source(PLACE));
        }
        self.accept_callers();
        self.accept();
    }

    /// Whether connections may wait that can't be accepted for want of descriptors or memory.
    pub(super) fn is_exhausted(&self) -> bool {
        self.now < self.accepting.paused_until || self.admitting.admission.exhaustion.is_ongoing()
    }

    pub(super) fn accept(&mut self) {
        if self.now < self.accepting.paused_until {
            return self.accept_at(self.accepting.paused_until);
        }
        for role in [Role::Thrift, Role::Signed] {
            for taken in 0.. {
                if taken == ACCEPTS {
                    self.accept_at(self.now + ACCEPT_NEXT);
                    break;
                }
                let Some(conn) = self.accept_one(role) else { break };
                self.take_in(role, conn);
            }
        }
    }

    pub(super) fn take_in(&mut self, role: Role, conn: ConnectionKey) {
        if !self.make_room() {
            let pause = self.core.retry_after(ClassId(0));
            return self.refuse_connection(role, conn, pause, true);
        }
        if !self.admit(role, conn, false) {
            return; // refused, and answered so
        }
        if role == Role::Thrift {
            self.thrift.open(self.now, conn, &mut self.due);
            self.read_what_waited(conn);
        } else if let Some(links) = &mut self.links {
            links.front.open(self.now, conn, &mut self.due);
        }
    }

    /// Reads on a connection that may have waited while none could be taken: its client's patience has run since.
    fn read_what_waited(&mut self, conn: ConnectionKey) {
        if let Some(since) = self.admitting.accepts_fail_since {
            self.thrift.set_waiting_since(conn, since);
            self.on_ready(Ready::readable(conn));
        }
    }

    /// Connections of clients that this process holds.
    pub(super) fn clients(&self) -> usize {
        self.net.count(Role::Thrift) + self.net.count(Role::Signed)
    }

    /// Whether clients are within their budget, or one that is missed less than a new one could be ended. What such a
    /// one has sent by now is read first, and if it has asked it stays.
    fn make_room(&mut self) -> bool {
        if self.clients() + self.handover.clients() <= self.budget.clients {
            return true;
        }
        for _ in 0..EVICTION_TRIES {
            let Some(conn) = self.thrift.eviction_candidate(&self.net) else { break };
            self.on_ready(Ready::readable(conn));
            if self.thrift.eviction_candidate(&self.net) == Some(conn) {
                self.thrift.close(self.now, conn, Reason::Evicted, &mut self.net, &mut self.due);
                return true;
            }
            if !self.thrift.owns(conn) {
                return true; // its client has closed it
            }
        }
        for _ in 0..EVICTION_TRIES {
            let least = |server: &Self| server.links.as_ref()?.front.eviction_candidate(&server.net);
            let Some(conn) = least(self) else { break };
            self.on_ready(Ready::readable(conn));
            let is_still = least(self) == Some(conn);
            let Some(links) = &mut self.links else { break };
            if is_still {
                links.front.close(self.now, conn, Reason::Evicted, &mut self.net, &mut self.due);
            }
            if !links.front.owns(conn) {
                return true;
            }
        }
        false
    }

    pub(super) fn accept_one(&mut self, role: Role) -> Option<ConnectionKey> {
        match self.accept_raw(role) {
            Ok(Err(())) => None,
            Ok(Ok(conn)) => {
                if role != Role::Admin {
                    self.accept_worked();
                }
                if role == Role::Thrift && conn.is_none() {
                    self.admitting.accepts_fail_since = None;
                }
                conn
            }
            Err(error) => {
                self.accept_failed(role, &error);
                None
            }
        }
    }

    /// Takes the next connection of a role's listener; `Err(())` if there is no such listener.
    pub(super) fn accept_raw(&mut self, role: Role) -> io::Result<Result<Option<ConnectionKey>, ()>> {
        let listener = match role {
            Role::Thrift => self.listener.as_ref(),
            Role::Admin => self.admin.as_ref().map(|admin| &admin.listener),
            _ => self.links.as_ref().and_then(|links| links.listener.as_ref()),
        };
        let Some(listener) = listener else { return Ok(Err(())) };
        self.net.accept(self.now, listener, role).map(Ok)
    }
}

#[cfg(test)]
mod tests;

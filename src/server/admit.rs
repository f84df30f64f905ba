//! The accept path's admission: asks [`crate::admission::Admission`] about each new client's connection and
//! enforces its verdict with each front's own refusal, tells it which connections came into good standing and
//! which ended, and meets descriptors running out with a spare one. The decisions are all the module's.

use super::{Server, ACCEPT_AGAIN};
use crate::admission::{Admission, AdmissionSettings, Refusal, Room, Verdict};
use crate::front::thrift::codec::ThriftReply;
use crate::interface::{ClassId, Instant, Span};
use crate::net::{is_exhausted, ConnectionKey, Ready, Reason, Role};
use std::collections::BTreeMap;
use std::io;
use tracing::{info, warn};

/// Descriptors besides connections, as the budget counts them.
use super::reload::OTHER_SOCKETS;

/// At most one line a refusal is logged this often; the others are counted in it and in `/stats`.
const REFUSALS_LOGGED: Span = Span::from_secs(1);

/// Before any instant of the clock.
const LONG_AGO: Instant = Instant::from_micros(i64::MIN / 2);

/// What the server holds for admission.
pub(super) struct Admitting {
    pub admission: Admission,
    /// Connections of the platform's front that were refused: each request there gets a refusal with this pause,
    /// and whether one has had it. A ping is answered as anywhere.
    pub refusing: BTreeMap<ConnectionKey, (Span, bool)>,
    /// A descriptor held to take one connection and refuse it when there are no others.
    spare: Option<std::fs::File>,
    /// Descriptors that are no connection (listeners, poll, signals, standard streams), as counted once.
    others: Option<usize>,
    /// Since when connections of the platform's front may wait in the system's queue, as none could be taken.
    pub accepts_fail_since: Option<Instant>,
    /// When a refusal was last logged, and how many were not since: a flood makes one line a second, not one a try.
    logged: (Instant, u64),
}

impl Admitting {
    pub fn new(settings: AdmissionSettings) -> Self {
        let mut admitting = Admitting {
            admission: Admission::new(settings),
            refusing: BTreeMap::new(),
            spare: None,
            others: None,
            accepts_fail_since: None,
            logged: (LONG_AGO, 0),
        };
        admitting.keep_spare();
        admitting
    }

    /// Takes settings that were read again.
    pub fn reconfigure(&mut self, settings: AdmissionSettings) {
        self.admission.reconfigure(settings);
        self.others = None;
        if !self.wants_spare() {
            self.spare = None;
        }
        self.keep_spare();
    }

    fn wants_spare(&self) -> bool {
        self.admission.is_on() && self.admission.settings().spare_descriptor
    }

    /// Opens the spare descriptor where one is wanted and none is held; it may fail while descriptors are out.
    fn keep_spare(&mut self) {
        if self.wants_spare() && self.spare.is_none() {
            self.spare = std::fs::File::open("/dev/null").ok();
        }
    }
}

impl Server {
    /// Descriptors that the process may still open, by its soft limit and what it holds. What is no connection is
    /// counted in `/proc/self/fd` once (again after SIGHUP), or taken as the budget's figure where that can't be read.
    fn free_descriptors(&mut self) -> Option<usize> {
        let limit = rustix::process::getrlimit(rustix::process::Resource::Nofile).current?;
        let (conns, spare) = (self.net.total(), usize::from(self.admitting.spare.is_some()));
        let others = *self.admitting.others.get_or_insert_with(|| {
            let open = std::fs::read_dir("/proc/self/fd").map(Iterator::count);
            // The directory's own descriptor is counted too.
            open.map_or(OTHER_SOCKETS, |open| open.saturating_sub(conns + spare + 1))
        });
        Some(usize::try_from(limit).unwrap_or(usize::MAX).saturating_sub(conns + others + spare))
    }

    /// Judges a connection that was just accepted; `false` if it was refused and is dealt with here.
    pub(super) fn admit(&mut self, role: Role, conn: ConnectionKey, shed: bool) -> bool {
        let Some(address) = self.net.address(conn) else { return false };
        let clients = (self.clients() + self.handover.clients()).saturating_sub(1);
        let free = if self.admitting.admission.is_on() { self.free_descriptors() } else { None };
        let verdict = if shed {
            let pause = self.admitting.admission.settings().pause();
            Verdict::Refuse { why: Refusal::Descriptors, pause }
        } else {
            let room = Room { clients, budget: self.budget.clients, free };
            self.admitting.admission.admit(self.now, conn.number(), address, room)
        };
        let Verdict::Refuse { why, pause } = verdict else { return true };
        let pause = if self.started.retry_after() { pause } else { Span::ZERO };
        let (last, quiet) = &mut self.admitting.logged;
        if self.now - *last >= REFUSALS_LOGGED {
            let more = std::mem::take(quiet);
            info!(
                "conn={conn} refused: {} from {address} ({more} more since the last such line)",
                why.code()
            );
            *last = self.now;
        } else {
            *quiet += 1;
        }
        let waits = self.admitting.admission.answers_refusal(self.admitting.refusing.len(), free);
        self.refuse_connection(role, conn, pause, waits);
        false
    }

    /// Refuses each request on a new connection, with a pause: what its client has sent by now, and if the
    /// connection `waits` what it sends next.
    pub(super) fn refuse_connection(&mut self, role: Role, conn: ConnectionKey, pause: Span, waits: bool) {
        if role == Role::Thrift {
            self.thrift.open(self.now, conn, &mut self.due);
            self.admitting.refusing.insert(conn, (pause, false));
            self.on_ready(Ready::readable(conn));
            if !waits {
                self.thrift.close(self.now, conn, Reason::Refused, &mut self.net, &mut self.due);
            }
        } else if let Some(links) = &mut self.links {
            links.front.open(self.now, conn, &mut self.due);
            let seconds = pause.as_secs_rounded_up();
            links.front.refuse_all(self.now, conn, seconds, &mut self.net, &mut self.due);
            if !waits {
                links.front.close(self.now, conn, Reason::Refused, &mut self.net, &mut self.due);
            }
        }
    }

    /// The refusal that a call on a refused connection gets.
    pub(super) fn refused_call(
        &mut self,
        conn: ConnectionKey,
        class: Option<ClassId>,
    ) -> Option<ThriftReply> {
        let (pause, told) = self.admitting.refusing.get_mut(&conn)?;
        let pause = *pause;
        *told = true;
        Some(self.refusal(class, pause))
    }

    /// Ends a refused connection once a request there had its refusal and all is answered: not after a ping alone,
    /// since its client is about to send a request that would cross the end.
    pub(super) fn end_refused(&mut self, conn: ConnectionKey) {
        if self.admitting.refusing.get(&conn).is_some_and(|(_, told)| *told) {
            self.thrift.end_if_idle(self.now, conn, Reason::Refused, &mut self.net, &mut self.due);
        }
    }

    /// A call of this connection was answered by the edge proxy: it is in good standing.
    pub(super) fn in_good_standing(&mut self, conn: ConnectionKey) {
        self.admitting.admission.good(self.now, conn.number());
    }

    /// Forgets connections that have ended, whichever way.
    pub(super) fn forget_closed(&mut self) {
        let closed = self.net.take_closed();
        if closed.is_empty() {
            return; // no descriptor came free: the spare can't be had again now either
        }
        for key in closed {
            self.admitting.admission.closed(key.number());
            self.admitting.refusing.remove(&key);
        }
        self.admitting.keep_spare();
    }

    /// An accept failed. Out of descriptors with admission on: one episode, pauses that double, and the spare
    /// descriptor given up to take one waiting connection and refuse it.
    pub(super) fn accept_failed(&mut self, role: Role, error: &io::Error) {
        if role == Role::Thrift {
            self.admitting.accepts_fail_since.get_or_insert(self.now);
        }
        if role == Role::Admin || !(self.admitting.admission.is_on() && is_exhausted(error)) {
            warn!("accept: {error}");
            let again = self.now + ACCEPT_AGAIN;
            if is_exhausted(error) {
                self.accepting.paused_until = again;
            }
            self.accept_at(again);
            return;
        }
        let backoff = self.admitting.admission.exhaustion.failed(self.now);
        if backoff.began {
            warn!("descriptors: out ({error}); accepts pause, one connection at a time is refused with the spare");
        }
        self.accept_at(backoff.until);
        if self.admitting.spare.take().is_none() {
            return;
        }
        if let Ok(Ok(Some(conn))) = self.accept_raw(role) {
            self.admitting.admission.exhaustion.shed();
            self.admit(role, conn, true);
        }
    }

    /// An accept went through or found nobody: an episode of exhaustion is over.
    pub(super) fn accept_worked(&mut self) {
        if let Some(ended) = self.admitting.admission.exhaustion.accepted(self.now) {
            let (ms, tries, shed) = (ended.lasted.as_millis(), ended.tries, ended.shed);
            info!(
                "descriptors: episode over after {ms} ms, {tries} accepts failed, {shed} connections refused"
            );
        }
    }

    /// The figures of admission, for the admin endpoint.
    pub(super) fn admission_figures(&self, line: &mut dyn FnMut(&str, u64)) {
        let counts = self.admitting.admission.counts();
        line("admission_admitted", counts.admitted);
        line("admission_good", counts.good);
        for (why, count) in Refusal::ALL.iter().zip(counts.refused) {
            line(&format!("admission_refused.{}", why.code()), count);
        }
        line("admission_refusing", self.admitting.refusing.len() as u64);
        let exhaustion = &self.admitting.admission.exhaustion;
        line("descriptor_episodes", exhaustion.episodes);
        line("descriptor_shed", exhaustion.shed);
    }
}

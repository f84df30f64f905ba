//! Admission of new connections. Checks each new client connection with [`crate::admission::Admission`],
//! refuses those that it rejects, and reports to it which connections are in good standing and which are
//! closed. All decisions are made in [`crate::admission`].

use super::budget::OTHER_DESCRIPTORS;
use super::refused_connections::{RefusalLog, RefusedConnection};
use super::Server;
use crate::admission::{Admission, AdmissionSettings, Capacity, ConnectionId, Decision, RejectionCause};
use crate::interface::{Instant, Span};
use crate::net::{ConnectionKey, Role};
use std::collections::BTreeMap;
use std::fs::File;
use tracing::info;

/// The server's state for admission.
pub(super) struct AdmissionControl {
    /// Decides which connections are admitted.
    pub rules: Admission,
    /// Connections of the Thrift front that were refused and are still open. Each request on them is
    /// rejected.
    pub refused: BTreeMap<ConnectionKey, RefusedConnection>,
    /// Descriptor held in reserve. When no others are left, it is closed to accept one connection and refuse
    /// it.
    pub spare_descriptor: Option<File>,
    /// Time at which accepting began to fail. Connections of the Thrift front may have waited in the system's
    /// queue since then. `None` while accepting works.
    pub accept_failing_since: Option<Instant>,
    /// Number of open descriptors that are not connections (listeners, poll, signals, standard streams).
    /// `None` until they are counted.
    other_descriptors: Option<usize>,
    refusal_log: RefusalLog,
}

impl AdmissionControl {
    /// Returns the state without connections, and opens the spare descriptor if the settings ask for one.
    pub fn new(settings: AdmissionSettings) -> Self {
        let mut control = AdmissionControl {
            rules: Admission::new(settings),
            refused: BTreeMap::new(),
            spare_descriptor: None,
            accept_failing_since: None,
            other_descriptors: None,
            refusal_log: RefusalLog::default(),
        };
        control.open_spare_descriptor();
        control
    }

    /// Applies the settings of a reload.
    pub fn reconfigure(&mut self, settings: AdmissionSettings) {
        self.rules.reconfigure(settings);
        self.other_descriptors = None;
        if !self.wants_spare_descriptor() {
            self.spare_descriptor = None;
        }
        self.open_spare_descriptor();
    }

    fn wants_spare_descriptor(&self) -> bool {
        self.rules.is_enabled() && self.rules.settings().spare_descriptor
    }

    /// Opens the spare descriptor if the settings ask for one and none is open. This may fail while
    /// descriptors are exhausted.
    fn open_spare_descriptor(&mut self) {
        if self.wants_spare_descriptor() && self.spare_descriptor.is_none() {
            self.spare_descriptor = File::open("/dev/null").ok();
        }
    }

    /// Returns how many more descriptors the process may open, by its soft limit and the descriptors that it
    /// has open. Those that are not connections are counted in `/proc/self/fd` once; if that cannot be read,
    /// the budget's estimate is used. `None` if there is no limit.
    fn free_descriptors(&mut self, connections: usize) -> Option<usize> {
        let limit = rustix::process::getrlimit(rustix::process::Resource::Nofile).current?;
        let spare = usize::from(self.spare_descriptor.is_some());
        let others = *self.other_descriptors.get_or_insert_with(|| {
            let open = std::fs::read_dir("/proc/self/fd").map(Iterator::count);
            // The directory's own descriptor is counted too.
            open.map_or(OTHER_DESCRIPTORS, |open| open.saturating_sub(connections + spare + 1))
        });
        Some(usize::try_from(limit).unwrap_or(usize::MAX).saturating_sub(connections + others + spare))
    }
}

impl Server {
    /// Decides on a newly accepted connection. Returns `false` if it was refused, in which case its client
    /// has been notified.
    pub(super) fn admit(&mut self, role: Role, conn: ConnectionKey) -> bool {
        let Some(address) = self.net.address(conn) else { return false };
        let clients = (self.clients() + self.handover.clients()).saturating_sub(1);
        let free = self.free_descriptors();
        let capacity =
            Capacity { clients, max_clients: self.budget.max_client_connections, free_descriptors: free };
        match self.admission.rules.admit(self.now, ConnectionId(conn.number()), address, capacity) {
            Decision::Reject { cause, retry_after } => {
                self.refuse_new_connection(role, conn, cause, retry_after, free);
                false
            }
            Decision::Admit => true,
        }
    }

    /// Refuses a connection that was accepted with the spare descriptor.
    pub(super) fn shed_connection(&mut self, role: Role, conn: ConnectionKey) {
        if self.net.address(conn).is_none() {
            return;
        }
        let retry_after = self.admission.rules.settings().retry_after();
        let free = self.free_descriptors();
        self.refuse_new_connection(role, conn, RejectionCause::Descriptors, retry_after, free);
    }

    fn free_descriptors(&mut self) -> Option<usize> {
        let connections = self.net.total();
        if self.admission.rules.is_enabled() {
            self.admission.free_descriptors(connections)
        } else {
            None
        }
    }

    fn refuse_new_connection(
        &mut self,
        role: Role,
        conn: ConnectionKey,
        cause: RejectionCause,
        retry_after: Span,
        free_descriptors: Option<usize>,
    ) {
        let retry_after = if self.config.sends_retry_after() { retry_after } else { Span::ZERO };
        if let Some(suppressed) = self.admission.refusal_log.record_refusal(self.now) {
            let address = self.net.address(conn).map_or_else(String::new, |address| address.to_string());
            info!(
                "conn={conn} refused: {} from {address} ({suppressed} more since the last such line)",
                cause.code()
            );
        }
        let stays_open =
            self.admission.rules.can_answer_rejected(self.admission.refused.len(), free_descriptors);
        self.refuse_connection(role, conn, retry_after, stays_open);
    }

    /// Puts a connection in good standing, since the edge proxy answers one of its calls.
    pub(super) fn mark_good_standing(&mut self, conn: ConnectionKey) {
        self.admission.rules.set_good_standing(self.now, ConnectionId(conn.number()));
    }

    /// Removes the state of connections that have been closed.
    pub(super) fn forget_closed_connections(&mut self) {
        let closed = self.net.take_closed();
        if closed.is_empty() {
            return; // no descriptor came free, so the spare cannot be opened now either
        }
        for key in closed {
            self.admission.rules.remove(ConnectionId(key.number()));
            self.admission.refused.remove(&key);
        }
        self.admission.open_spare_descriptor();
    }

    /// Passes each metric of admission to `line`, as key and value.
    pub(super) fn admission_metrics(&self, line: &mut dyn FnMut(&str, u64)) {
        let counts = self.admission.rules.counts();
        line("admission_admitted", counts.admitted);
        line("admission_good", counts.good);
        for cause in RejectionCause::ALL {
            line(&format!("admission_refused.{}", cause.code()), counts.rejected(cause));
        }
        line("admission_refusing", self.admission.refused.len() as u64);
        let exhaustion = &self.admission.rules.exhaustion;
        line("descriptor_episodes", exhaustion.episodes);
        line("descriptor_shed", exhaustion.shed);
    }
}

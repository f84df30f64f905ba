//! Encodes attempts for the protocol of the servers at the moment when they are written.

use super::deadline::ServerDeadline;
use super::pending::PendingRequests;
use super::translate;
use super::used_trace_ids::UsedTraceIds;
use crate::config::settings::SiteSettings;
use crate::core::Core;
use crate::deadlines::Deadlines;
use crate::interface::{ClassId, Idempotency, Instant};
use crate::server_names::ServerNames;
use crate::slots::Key;
use crate::upstream::line_protocol::WireRequest;
use crate::upstream::{JobId, RequestEncoder};

/// The parts of the server that are needed to encode an attempt.
pub(super) struct AttemptEncoder<'a> {
    /// Time of the writing.
    pub now: Instant,
    /// Decides whether an attempt may still be written, and with what content.
    pub core: &'a mut Core,
    /// Resolves the names of fill sources.
    pub servers: &'a ServerNames,
    /// Holds the fields of requests that the core does not need.
    pub pending: &'a PendingRequests,
    /// Remembers the ids of requests that must not run twice.
    pub used_trace_ids: &'a mut UsedTraceIds,
    /// Holds the rules and names of classes.
    pub settings: &'a SiteSettings,
}

impl AttemptEncoder<'_> {
    /// Whether a request of a class must not run twice.
    fn must_not_repeat(&self, class: ClassId) -> bool {
        let rules = self.settings.policy.classes.get(usize::from(class.0));
        rules.is_some_and(|rules| rules.idempotency == Idempotency::Never)
    }
}

impl RequestEncoder<Deadlines<ServerDeadline>> for AttemptEncoder<'_> {
    fn encode(&mut self, job: JobId, deadlines: &mut Deadlines<ServerDeadline>) -> Option<WireRequest> {
        let attempt = self.core.write_attempt(self.now, Key::from_number(job.0), deadlines)?;
        let request = self.pending.get(attempt.request)?;
        let class = &self.settings.program.class_info(request.class)?.name;
        if self.must_not_repeat(request.class) {
            self.used_trace_ids.record(self.now, &request.trace_id);
        }
        let fill_source = attempt.fill_source.and_then(|source| self.servers.name(source));
        Some(translate::wire_request(&attempt, class, fill_source, request))
    }

    fn not_written(&mut self, job: JobId) {
        self.core.attempt_not_written(Key::from_number(job.0));
    }
}

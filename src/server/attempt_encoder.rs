//! Encodes attempts for the protocol of the servers at the moment when they are written.

use super::deadline::ServerDeadline;
use super::pending::PendingRequests;
use super::translate;
use crate::config::settings::ProgramSettings;
use crate::core::Core;
use crate::deadlines::Deadlines;
use crate::interface::Instant;
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
    /// Holds the names of classes.
    pub settings: &'a ProgramSettings,
}

impl RequestEncoder<Deadlines<ServerDeadline>> for AttemptEncoder<'_> {
    fn encode(&mut self, job: JobId, deadlines: &mut Deadlines<ServerDeadline>) -> Option<WireRequest> {
        let attempt = self.core.write_attempt(self.now, Key::from_number(job.0), deadlines)?;
        let request = self.pending.get(attempt.request)?;
        let class = &self.settings.class_info(request.class)?.name;
        let fill_source = attempt.fill_source.and_then(|source| self.servers.name(source));
        Some(translate::wire_request(&attempt, class, fill_source, request))
    }

    fn not_written(&mut self, job: JobId) {
        self.core.attempt_not_written(Key::from_number(job.0));
    }
}

//! Attribution of failures: whether the cache or its source is at fault, inferred from the attempt that is
//! served.

use super::{attempt::Attempt, Router};
use crate::interface::{Instant, RequestId, ServerId};

impl Router {
    /// Attributes the failed attempts of a request, once another one is served. An error is the cache's own
    /// where another serves the same request. What errs everywhere can't be served, and a client that sends
    /// such requests must not get all caches ejected.
    pub(super) fn attribute_failures(&mut self, now: Instant, id: RequestId, served: &Attempt) {
        let Some(open) = self.open_requests.get(&id) else { return };
        let failed: Vec<Attempt> = open.attempts.iter().filter(|a| a.has_failed()).cloned().collect();
        for failed in &failed {
            self.attribute(now, failed, served);
        }
    }

    /// Records a failed attempt against the server at fault.
    fn attribute(&mut self, now: Instant, failed: &Attempt, served: &Attempt) {
        match failed.unattributed_failure {
            Some(failure) if self.is_source_at_fault(failed, served) => {
                self.servers.entry(failed.source).and_modify(|source| source.on_failed_fill(now, failure));
            }
            _ if failed.errored => {
                self.servers.entry(failed.server).and_modify(|cache| cache.on_error(now));
            }
            // A cache that rejects is at its limits, which says nothing about its health.
            _ => {}
        }
    }

    /// Whether the source is at fault for a failed fill, and not the cache: the one that has failed more of
    /// late is, else the one that the attempt that was served did without.
    fn is_source_at_fault(&self, failed: &Attempt, served: &Attempt) -> bool {
        let error_rate = |server: ServerId| self.servers.get(&server).map_or(0.0, |server| server.error_rate);
        let (cache, source) = (error_rate(failed.server), error_rate(failed.source));
        let only_source_changed = served.server == failed.server && served.source != failed.source;
        source > cache || (source == cache && only_source_changed)
    }
}

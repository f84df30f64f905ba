//! Attribution of failures: infers whether the cache or its source is at fault, once a later attempt is
//! served.

use super::{attempt::Attempt, Router};
use crate::interface::{Instant, RequestId, ServerId};

impl Router {
    /// Attributes the failed attempts of a request once another attempt is served. An error counts against a
    /// cache only if another attempt serves the same request. A request that fails everywhere cannot be
    /// served, and a client that sends such requests must not get all caches ejected.
    pub(super) fn attribute_failures(&mut self, now: Instant, id: RequestId, served: &Attempt) {
        let Some(open) = self.open_requests.get(&id) else { return };
        let failed: Vec<Attempt> = open.attempts.iter().filter(|a| a.has_failed()).cloned().collect();
        for failed in &failed {
            self.attribute(now, failed, served);
        }
    }

    fn attribute(&mut self, now: Instant, failed: &Attempt, served: &Attempt) {
        match failed.unattributed_failure {
            Some(failure) if self.is_source_at_fault(failed, served) => {
                self.servers.entry(failed.source).and_modify(|source| source.on_failed_fill(now, failure));
            }
            _ if failed.errored => {
                self.servers.entry(failed.server).and_modify(|cache| cache.on_error(now));
            }
            // A cache that rejects is at its capacity; this is no evidence about its health.
            _ => {}
        }
    }

    /// Whether the source, and not the cache, is at fault for a failed fill: the one with the higher error
    /// rate is. At equal rates it is the source if the served attempt used the same cache with another
    /// source.
    fn is_source_at_fault(&self, failed: &Attempt, served: &Attempt) -> bool {
        let error_rate = |server: ServerId| self.servers.get(&server).map_or(0.0, |server| server.error_rate);
        let (cache, source) = (error_rate(failed.server), error_rate(failed.source));
        let only_source_changed = served.server == failed.server && served.source != failed.source;
        source > cache || (source == cache && only_source_changed)
    }
}

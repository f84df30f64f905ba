//! Periodic upkeep: updates the popular directory and drops expired state.

use super::{timing::UPKEEP_INTERVAL, Router};
use crate::interface::{Instant, ServerState};

impl Router {
    /// Updates the popular directory and drops expired state, once per interval.
    pub(super) fn upkeep(&mut self, now: Instant) {
        if now < self.upkeep_at {
            return;
        }
        self.upkeep_at = now + UPKEEP_INTERVAL;
        self.directory.upkeep(now);
        self.forget_settled_purges(now);
        self.servers.retain(|_, s| s.endpoint.state != ServerState::Removed || s.in_flight > 0);
        let since = now - self.settings.protection.overload_window;
        for server in self.servers.values_mut() {
            server.recent_work.retain(|sent| sent.at > since);
        }
    }
}

//! Delegates of popular objects: caches that serve an object in addition to its home.

use super::{
    attempt::{Attempt, OpenRequest},
    popularity::{least_distributed, object_key},
    Router,
};
use crate::interface::{Instant, Request, ServerId, SiblingSources};

impl Router {
    /// Chooses the delegate for a request of a popular object, or another cache that is to become a delegate.
    /// `order` is the home followed by the other caches.
    pub(super) fn delegate(
        &self,
        now: Instant,
        open: &OpenRequest,
        order: &[ServerId],
        random: u64,
    ) -> Option<ServerId> {
        let entry = self.directory.get(object_key(&open.request))?;
        let (home, others) = order.split_first()?;
        let is_home_budget_spent = || self.is_warm_up_budget_spent(now, *home, open.request.class);
        if self.settings.limits.sibling_sources == SiblingSources::None || is_home_budget_spent() {
            return None;
        }
        let is_usable = |s: &ServerId| {
            others.contains(s) && self.is_usable(now, *s, open) && !self.is_overloaded(now, *s, open)
        };
        let mut live = entry.live_delegates(now);
        if self.directory.wants_delegate(now, entry) {
            let is_new = |s: &&ServerId| is_usable(s) && !live.iter().any(|d| d.server == **s);
            let candidates: Vec<ServerId> = others.iter().filter(is_new).copied().collect();
            if let Some(started) = pick_random(&candidates, random) {
                return Some(started);
            }
        }
        live.retain(|delegate| is_usable(&delegate.server));
        pick_random(&least_distributed(&live), random)
    }

    /// Records how an attempt at a delegate ended.
    pub(super) fn on_delegate_ended(&mut self, now: Instant, request: &Request, attempt: &Attempt, ok: bool) {
        if let Some(entry) = self.directory.get_mut(object_key(request)) {
            entry.on_delegate_ended(now, attempt.server, ok);
        }
    }
}

/// Picks a server of the list by a random number; `None` if the list is empty.
fn pick_random(servers: &[ServerId], random: u64) -> Option<ServerId> {
    servers.get(random as usize % servers.len().max(1)).copied()
}

//! Maximum age of served copies: fresh times and purges.

use super::{attempt::OpenRequest, timing::MICROSECOND, Router};
use crate::interface::{Instant, Purge, Span};

impl Router {
    /// Records a purge that was announced `age` ago.
    pub(super) fn on_purged(&mut self, now: Instant, purge: Purge, age: Span) {
        let purged = now - age;
        self.purges.entry(purge).and_modify(|at| *at = purged.max(*at)).or_insert(purged);
    }

    /// Returns the maximum age of a copy that may be served: the class's fresh time, plus its stale time on a
    /// retry or while the fetch limit is reached, but no more than the time since the last purge.
    pub(super) fn max_age(&self, now: Instant, open: &OpenRequest) -> Span {
        let class = self.class(&open.request);
        let may_fetch = open.attempts.is_empty() && self.fetch_limit.admits(open.request.id);
        let grace = if may_fetch { Span::ZERO } else { class.stale_for };
        let fresh = if class.fresh_for > Span::ZERO { class.fresh_for + grace } else { Span::ZERO };
        let object = self.purges.get(&Purge::Object(open.request.object));
        let group = self.purges.get(&Purge::Group(open.request.group));
        let Some(&purged) = object.max(group) else { return fresh };
        let bound = (now - purged).max(MICROSECOND); // 0 would allow any age
        bound.min(if fresh > Span::ZERO { fresh } else { bound })
    }

    /// Drops purges that all servers have applied: those older than twice the site's settling time.
    pub(super) fn forget_settled_purges(&mut self, now: Instant) {
        let settles = self.settings.protection.purge_settled_after;
        self.purges.retain(|_, at| *at + 2 * settles > now);
    }
}

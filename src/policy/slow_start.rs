//! Slow start: the capacity of a warming server, and its budget of work, which all routers share.

use super::{
    server::Server,
    timing::{MICROSECOND, SECOND},
    Router,
};
use crate::interface::{ClassId, Instant, ServerId, SlowStartRules};

/// Share of the warm-up budget that is used, since true capacities may be below the registered ones.
const BUDGET_MARGIN: f64 = 0.5;
/// Minimum share of a budget that is used as a divisor.
const MIN_SHARE: f64 = 1e-9;

impl Router {
    /// Returns the share of its capacity that a server has at least: it grows linearly after its start, and
    /// is 1.0 once warm.
    pub(super) fn capacity_share(&self, now: Instant, server: &Server) -> f64 {
        let SlowStartRules { initial_share, full_after, .. } = self.slow_start_rules(server);
        let Some(started_at) = server.endpoint.started_at else { return 1.0 };
        let part = now.saturating_since(started_at).ratio(full_after.max(MICROSECOND));
        (initial_share + (1.0 - initial_share) * part).min(1.0)
    }

    fn slow_start_rules(&self, server: &Server) -> SlowStartRules {
        if self.is_parent(server) {
            self.settings.protection.parent_slow_start
        } else {
            self.settings.protection.cache_slow_start
        }
    }

    /// Returns the work that all routers together may send to a warming server within one overload window, in
    /// seconds of transfer time; `None` if the server is warm or is the origin.
    fn warm_up_budget(&self, now: Instant, server: &Server) -> Option<f64> {
        let capacity_share = self.capacity_share(now, server);
        if capacity_share >= 1.0 || server.endpoint.kind == self.settings.topology.origin_kind {
            return None;
        }
        let multiple = self.slow_start_rules(server).overload_multiple;
        let window = self.settings.protection.overload_window;
        Some(
            BUDGET_MARGIN * multiple * capacity_share * self.link_capacity(server) * window.as_micros_f64()
                / SECOND.as_micros_f64(),
        )
    }

    /// Whether this router's share of a warming server's budget is spent. If the share is less than one
    /// request, the routers take turns: in each window since the server's start, those whose turn it is may
    /// send one request each. Turns of two windows can fall into one overload window, and clocks can differ
    /// by a window: the budget margin covers both.
    pub(super) fn is_warm_up_budget_spent(&self, now: Instant, server: ServerId, class: ClassId) -> bool {
        let Some(server) = self.servers.get(&server) else { return false };
        let Some(budget) = self.warm_up_budget(now, server) else { return false };
        let work = self.class_times(class).transfer / SECOND.as_micros_f64();
        let processes = self.process_share.processes;
        let sharers = self.routers_sharing(self.is_cache(server.endpoint.server)) * processes;
        let sharer_index = self.settings.topology.ordinal * processes + self.process_share.position;
        let share = budget / f64::from(sharers);
        let span = self.settings.protection.overload_window.max(MICROSECOND);
        let age = now - server.endpoint.started_at.unwrap_or(now);
        let turns = (work / share.max(MIN_SHARE)).ceil() as u32;
        // Rounded up, so that all routers use the same number of turns.
        let turns = i64::from(turns.next_power_of_two().min(sharers));
        let since = if turns > 1 { now - age % span - MICROSECOND } else { now - span };
        let sent: f64 = server.recent_work.iter().filter(|sent| sent.at > since).map(|sent| sent.work).sum();
        match turns {
            0 | 1 => sent + work > share,
            _ if work > budget => true,
            _ => sent > 0.0 || (age / span + i64::from(sharer_index)) % turns != 0,
        }
    }
}

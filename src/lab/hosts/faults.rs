//! Starts the faults of the hosts.

use super::event_queue::ScheduledEvent;
use super::{HostsState, StandInHosts};
use crate::interface::{Instant, Span};
use crate::standin::faults::FaultKind;
use crate::standin::host::{unix_ms, Slowdown, Tier};
use crate::standin::ids::HostId;
use serde_json::json;
use std::net::Shutdown;

/// The group that all objects belong to.
const ALL_OBJECTS_GROUP: u32 = 17;
/// Time after a purge at which all hosts drop older copies.
const PURGE_SETTLE_TIME: Span = Span::from_secs(6);

impl StandInHosts {
    /// Starts a fault, if it is a fault of hosts.
    pub(super) fn begin_fault(&self, state: &mut HostsState, now: Instant, fault: FaultKind) {
        match fault {
            FaultKind::Silent { host, ms } => state.silent_until[host.0] = now + Span::from_millis(ms),
            FaultKind::Killed { host, ms } => {
                state.close_connections(host);
                state.fleet[host].copies.clear();
                state.fleet[host].is_dead = true;
                self.schedule(state, now + Span::from_millis(ms), ScheduledEvent::HostRestarts(host));
            }
            FaultKind::Reset { host } => state.close_connections(host),
            FaultKind::Slow { host, times, ms } => {
                state.fleet[host].slowdown = Slowdown { factor: times, until: now + Span::from_millis(ms) };
            }
            FaultKind::Errors { host, ms } => state.fleet[host].fails_until = now + Span::from_millis(ms),
            FaultKind::Garbled { host } => state.fleet[host].garbles_next_answer = true,
            FaultKind::Drained { host } => self.publish_health(state, host, "draining"),
            FaultKind::Removed { host } => self.publish_health(state, host, "removed"),
            FaultKind::Ready { host } => self.publish_health(state, host, "up"),
            FaultKind::PurgeObject { .. } | FaultKind::PurgeGroup => {
                self.0.feed.publish(json!({"purge": {"group": ALL_OBJECTS_GROUP, "at": unix_ms(now)}}));
                self.schedule(state, now + PURGE_SETTLE_TIME, ScheduledEvent::PurgeSettles(now));
            }
            // The other faults concern clients, the feed's connections, or the edge proxy's processes and
            // machine.
            _ => {}
        }
    }

    /// Sets a host's health and publishes it on the feed. The origin's is not published: on the feed it never
    /// changes.
    pub(super) fn publish_health(&self, state: &mut HostsState, host: HostId, health: &str) {
        let host = &mut state.fleet[host];
        host.entry["health"] = health.into();
        if host.tier != Tier::Origin {
            self.0.feed.publish_health(&host.entry, health);
        }
    }
}

impl HostsState {
    fn close_connections(&mut self, host: HostId) {
        self.connections.retain(|_, connection| {
            let is_kept = connection.host != host;
            if !is_kept {
                let _ = connection.stream.shutdown(Shutdown::Both);
            }
            is_kept
        });
        self.fleet[host].open_requests.clear();
    }
}

//! Faults of the hosts as they begin.

use super::event_queue::ScheduledEvent;
use super::{HostsState, StandInHosts};
use crate::interface::{Instant, Span};
use crate::standin::faults::FaultKind;
use crate::standin::host::{unix_ms, Slowdown, Tier};
use crate::standin::ids::HostId;
use serde_json::json;
use std::net::Shutdown;

/// The group of all objects.
const ALL_OBJECTS_GROUP: u32 = 17;
/// By this long after a purge, all hosts have dropped older copies.
const PURGE_SETTLE_TIME: Span = Span::from_secs(6);

impl StandInHosts {
    /// Begins a fault, if it is one of hosts.
    pub(super) fn begin_fault(&self, state: &mut HostsState, now: Instant, fault: FaultKind) {
        match fault {
            FaultKind::Silent { host, ms } => state.silent_until[host.0] = now + Span::from_millis(ms),
            FaultKind::Killed { host, ms } => {
                state.close_connections(host);
                state.fleet[host].copies.clear();
                state.fleet[host].dead = true;
                self.schedule(state, now + Span::from_millis(ms), ScheduledEvent::HostRestarts(host));
            }
            FaultKind::Reset { host } => state.close_connections(host),
            FaultKind::Slow { host, times, ms } => {
                state.fleet[host].slowdown = Slowdown { factor: times, until: now + Span::from_millis(ms) };
            }
            FaultKind::Errors { host, ms } => state.fleet[host].fails_until = now + Span::from_millis(ms),
            FaultKind::Garbled { host } => state.fleet[host].garbles_next = true,
            FaultKind::Drained { host } => self.publish_health(state, host, "draining"),
            FaultKind::Removed { host } => self.publish_health(state, host, "removed"),
            FaultKind::Ready { host } => self.publish_health(state, host, "up"),
            FaultKind::PurgeObject { .. } | FaultKind::PurgeGroup => {
                self.0.feed.publish(json!({"purge": {"group": ALL_OBJECTS_GROUP, "at": unix_ms(now)}}));
                self.schedule(state, now + PURGE_SETTLE_TIME, ScheduledEvent::PurgeSettles(now));
            }
            // The others are of clients, the feed's connections, and the edge proxy's processes and machine.
            _ => {}
        }
    }

    /// Publishes a host's health; the origin's does not change.
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
        self.fleet[host].open.clear();
    }
}

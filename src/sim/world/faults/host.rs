//! Faults of hosts and of connections to them.

use crate::interface::{Instant, Span};
use crate::net::fabric::HostBehaviour;
use crate::sim::world::event_queue::ScheduledEvent;
use crate::sim::world::{host_address, World};
use crate::standin::faults::system_error::SystemError;
use crate::standin::ids::{ConnectionId, HostId};

/// Time for which the process of a removed host still runs after its removal was published.
const REMOVED_HOST_RUN_TIME: Span = Span::from_secs(1);

impl World<'_> {
    pub(super) fn silence_host(&mut self, host: HostId, until: Instant) {
        if !self.fleet[host].is_dead {
            self.fabric.set_host_behaviour(host_address(host), HostBehaviour::SilentUntil(until));
        }
    }

    pub(super) fn kill_host_until(&mut self, host: HostId, until: Instant) {
        self.kill_host(host);
        self.event_queue.schedule(until, ScheduledEvent::HostRestarts(host));
    }

    pub(super) fn drain_host(&mut self, host: HostId) {
        let stated = self.publish_health(host, "draining");
        self.rules.host_drained(host, stated);
    }

    pub(super) fn remove_host(&mut self, host: HostId) {
        let stated = self.publish_health(host, "removed");
        self.rules.host_drained(host, stated);
        self.schedule_in(REMOVED_HOST_RUN_TIME, ScheduledEvent::HostDies(host));
    }

    /// Publishes that a host is up again; starts its process if that has ended.
    pub(super) fn mark_host_up(&mut self, host: HostId) {
        self.restart_host(host);
        self.rules.host_up_again(host);
        self.publish_health(host, "up");
    }

    pub(super) fn delay_connects(&mut self, host: HostId, late_ms: i64, until: Instant) {
        self.fabric.delay_connects(host_address(host), Span::from_millis(late_ms), until);
    }

    /// Closes a host's idle connections. Bytes that are on their way to it on them are not read.
    pub(super) fn close_idle_connections(&mut self, id: HostId) {
        let host = &mut self.fleet[id];
        let is_open = |connection: &ConnectionId| {
            host.open_requests.keys().any(|(open_connection, _)| open_connection == connection)
        };
        let idle: Vec<ConnectionId> =
            host.partial_inputs.keys().copied().filter(|connection| !is_open(connection)).collect();
        for connection in idle {
            host.partial_inputs.remove(&connection);
            self.fabric.close(connection.0);
        }
    }

    /// Breaks all connections of a host with the given system error instead of a plain reset.
    pub(super) fn fail_connections(&mut self, host: HostId, error: SystemError) {
        for connection in self.remove_connections(host) {
            self.fabric.reset_with_error(connection.0, error.errno());
        }
    }
}

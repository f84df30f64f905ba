//! Faults of the control feed, and the purges that it publishes.

use crate::interface::{Instant, Span};
use crate::net::fabric::HostBehaviour;
use crate::sim::rules::PurgeRule;
use crate::sim::world::clients::GROUP;
use crate::sim::world::event_queue::ScheduledEvent;
use crate::sim::world::traffic::object_id;
use crate::sim::world::{numbered_address, World, FEED};
use crate::standin::host::unix_ms;
use serde_json::json;

/// Time within which a purge must take effect after it was published (protocol page).
const PURGE_GRACE: Span = Span::from_millis(500);
/// Time after a purge by which all hosts have dropped older copies, in ms, where the settings state none.
const DEFAULT_PURGE_SETTLES_MS: f64 = 6000.0;

impl World<'_> {
    pub(super) fn silence_feed(&mut self, until: Instant) {
        self.fabric.set_host_behaviour(numbered_address(FEED), HostBehaviour::SilentUntil(until));
        self.cut_feed(until);
    }

    pub(super) fn reset_feed(&mut self) {
        for connection in self.feed.disconnect_all() {
            self.fabric.reset(connection.0);
        }
        self.cut_feed(self.now);
    }

    pub(super) fn lose_polls(&mut self) {
        self.feed.lose_polls();
        self.cut_feed(self.now);
    }

    /// Publishes a purge of one object, or of the group of all objects if `None`.
    pub(super) fn purge(&mut self, object: Option<String>) {
        let at_ms = unix_ms(self.now);
        let purged_at = Instant::from_micros(at_ms * 1000);
        let purge = match &object {
            Some(object) => json!({"key": object, "at": at_ms}),
            None => json!({"group": GROUP, "at": at_ms}),
        };
        let stated = self.publish(json!({"purge": purge}));
        let rule = PurgeRule { purged_at, holds_from: stated + PURGE_GRACE };
        for id in (0..self.plan.objects).map(|number| object_id(number as u64)) {
            if object.as_ref().is_none_or(|object| *object == id) {
                self.rules.purged(&id, rule);
            }
        }
        let settles_ms = self.base_config["settings"]["domain"]["purge_settles"].as_f64();
        let settles = Span::from_micros_f64(settles_ms.unwrap_or(DEFAULT_PURGE_SETTLES_MS) * 1000.0);
        self.schedule_in(settles, ScheduledEvent::PurgeSettles(object, purged_at));
    }
}

//! The endpoints of a point's clusters: its caches and its fill sources.

use super::point::Point;
use super::registry::{Server, ServerRegistry};
use super::site::Site;
use crate::control::resource::{Endpoint, PriorityLevel};
use crate::interface::{self, Instant, ServerId, ZoneId};
use std::collections::BTreeMap;

/// The weight of a capacity of 1, which is one transfer at top speed. Weights are whole numbers, so capacities are
/// scaled.
const WEIGHT_UNIT: f64 = 100.0;
/// A new weight is published only if it differs from the published one by at least this fraction of it, or if the
/// cache has reached its full capacity.
const MIN_WEIGHT_CHANGE: f64 = 0.1;
/// Number of priorities of fill sources: the point's hub, other hubs, the origin.
const FILL_LEVELS: usize = 3;

impl Point {
    /// Returns the point's caches, each weighted by its capacity according to the point's router.
    pub(super) fn cache_endpoints(
        &mut self,
        now: Instant,
        site: &Site,
        registry: &ServerRegistry,
    ) -> PriorityLevel {
        let capacities = self.router.capacities(now);
        let caches = registry.all_usable();
        let caches = caches.filter(|(id, server)| self.is_cache(*id, server));
        let mut weights = BTreeMap::new();
        let mut endpoints = Vec::new();
        for (id, server) in caches {
            let capacity = capacities.get(&id).copied().unwrap_or(0.0);
            let published = self.weights.get(&id).copied();
            let weight = weight_to_publish(published, capacity, server.member.weight);
            weights.insert(id, weight);
            endpoints.extend(endpoint(site, server, weight));
        }
        self.weights = weights;
        endpoints
    }

    fn is_cache(&self, id: ServerId, server: &Server) -> bool {
        self.router.is_cache(id) && server.member.zone == self.zone
    }

    /// Returns the point's fill sources by priority: the parents of its hub, other parents, the origin. Empty
    /// priorities are left out, so that the numbers have no gaps.
    pub(super) fn fill_levels(&self, site: &Site, registry: &ServerRegistry) -> Vec<PriorityLevel> {
        let hub = site.settings.topology.hub_by_zone.get(usize::from(self.zone.0)).copied();
        let mut levels = vec![PriorityLevel::new(); FILL_LEVELS];
        for (_, server) in registry.all_usable() {
            if let Some(level) = fill_level(site, hub, &server.member) {
                let weight = weight_of(server.member.weight);
                levels[level].extend(endpoint(site, server, weight));
            }
        }
        levels.retain(|level| !level.is_empty());
        levels
    }
}

/// Returns the priority of a server as a fill source, 0 being the highest; `None` if it is not a fill source.
fn fill_level(site: &Site, hub: Option<ZoneId>, member: &interface::Endpoint) -> Option<usize> {
    if member.kind == site.settings.topology.origin_kind {
        Some(2)
    } else if Some(member.kind) != site.settings.topology.parent_kind {
        None
    } else if Some(member.zone) == hub {
        Some(0)
    } else {
        Some(1)
    }
}

/// Returns the weight to publish for a capacity; `full` is the capacity of the cache after slow start.
fn weight_to_publish(published: Option<u32>, capacity: f64, full: f64) -> u32 {
    let weight = weight_of(capacity);
    if capacity >= full {
        return weight;
    }
    let is_near = |old: &u32| f64::from(weight.abs_diff(*old)) < MIN_WEIGHT_CHANGE * f64::from(*old);
    published.filter(is_near).unwrap_or(weight)
}

fn weight_of(capacity: f64) -> u32 {
    ((capacity * WEIGHT_UNIT).round() as u32).max(1)
}

fn endpoint(site: &Site, server: &Server, weight: u32) -> Option<Endpoint> {
    let addr = server.addr?;
    let zone = site.zone_name(server.member.zone);
    Some(Endpoint { name: server.name.clone(), addr, weight, zone })
}

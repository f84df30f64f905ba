//! Generates configurations of sites of any size, always the same for the same seed, so that tools can be
//! tried without a platform.

use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde_json::{json, Value};

/// The size of a generated site, and the seed of its random parts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shape {
    /// Number of points, which are zones with edge proxies and table caches.
    pub points: usize,
    /// Total number of edge proxies, which are assigned to the points in turn.
    pub proxies: usize,
    /// Total number of table caches, which are assigned to the points in turn.
    pub caches: usize,
    /// Number of hubs, which are zones with parents, without edge proxies and caches.
    pub hubs: usize,
    /// Number of parents of each hub.
    pub parents: usize,
    /// Seed of the servers' names and weights.
    pub seed: u64,
}

impl Default for Shape {
    fn default() -> Self {
        Shape { points: 3, proxies: 3, caches: 12, hubs: 2, parents: 2, seed: 1 }
    }
}

impl Shape {
    /// Returns the total number of servers: caches, parents and the origin.
    pub fn servers(&self) -> usize {
        self.caches + self.hubs * self.parents + 1
    }

    /// Returns the names of all zones: points, then hubs.
    fn zones(&self) -> Vec<String> {
        let points = (0..self.points).map(|number| zone_name(&POINT_NAMES, "point", number));
        let hubs = (0..self.hubs).map(|number| zone_name(&HUB_NAMES, "hub", number));
        points.chain(hubs).collect()
    }

    /// Returns the number of edge proxies of each zone.
    fn proxies_by_zone(&self) -> Vec<usize> {
        let at_point = |zone| self.proxies / self.points + usize::from(zone < self.proxies % self.points);
        let zones = 0..self.points + self.hubs;
        zones.map(|zone| if zone < self.points { at_point(zone) } else { 0 }).collect()
    }

    /// Returns the index of each zone's hub. A hub is its own hub.
    fn hub_by_zone(&self) -> Vec<usize> {
        let zones = 0..self.points + self.hubs;
        zones.map(|zone| if zone < self.points { self.points + zone % self.hubs } else { zone }).collect()
    }
}

/// Names of the first points and hubs. The names of further ones contain their number.
const POINT_NAMES: [&str; 4] = ["north", "south", "east", "west"];
const HUB_NAMES: [&str; 3] = ["harbour", "castle", "meadow"];

fn zone_name(names: &[&str], word: &str, number: usize) -> String {
    names.get(number).map_or_else(|| format!("{word}-{number}"), |name| (*name).to_owned())
}

/// Returns the configuration of the first edge proxy at the first point, as the platform writes it. `address`
/// returns the address of a server by its index: caches first, then parents, then the origin.
pub fn config(shape: &Shape, feed: &str, address: impl Fn(usize) -> String) -> Value {
    let zones = shape.zones();
    let hosts = hosts(shape, &zones, address);
    json!({
        "name": "n0", "listen": "127.0.0.1:0", "seed": format!("{:016x}", shape.seed),
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "feed": feed,
        "flow_bytes_per_s": 4_000_000, "link_bytes_per_s": 16_000_000,
        "known": {"n": 1, "events": [{"n": 1, "members": {"seq": 1, "whole": true, "hosts": hosts}}]},
        "settings": {
            "balancers": shape.proxies, "ordinal": 0, "my_zone": 0, "discovery": "automatic",
            "failure_domains": zones, "skus": ["std", "hub", "store"],
            "grades": [class("piece", "pure", 300.0, 1.0), class("replay", "pure", 1500.0, 2.0),
                class("standing", "pure", 600.0, 1.0), class("result", "token", 800.0, 4.0)],
            "limits": {"cancel": true, "max_attempts": 6, "max_retry_after": 2000.0, "may_probe": true,
                "parallel_tries": true, "peer_messages": false, "retry_after": true},
            "rules": {"ask_within": 10000.0, "cold_share": 0.3, "fall_multiple": 3.0, "overload_for": 1000.0,
                "warm_after": 18000.0},
            "report": {"names": []},
            "domain": domain(shape)
        }
    })
}

/// Returns the servers' entries in the endpoint list.
fn hosts(shape: &Shape, zones: &[String], address: impl Fn(usize) -> String) -> Vec<Value> {
    let Shape { points, caches, hubs, .. } = *shape;
    let parents_end = caches + hubs * shape.parents;
    let mut random = Pcg64Mcg::seed_from_u64(shape.seed);
    let host = |number: usize| {
        // A server's name on the platform ends in its number in hex, by which the policy identifies it.
        let id = random.next_u32() >> 4 << 4 | number as u32 & 0xf;
        let (zone, class, weight) = match number {
            n if n < caches => (&zones[n % points], "std", f64::from(2 + random.next_u32() % 3)),
            n if n < parents_end => (&zones[points + (n - caches) % hubs], "hub", 8.0),
            _ => (&zones[points], "store", 64.0),
        };
        json!({
            "host": format!("s-{id:08x}"), "dial": address(number), "site": zone, "class": class,
            "block": number % 4, "health": "up", "share": weight, "born_ms": 0
        })
    };
    (0..shape.servers()).map(host).collect()
}

/// Returns a class of the settings.
fn class(name: &str, effect: &str, latency_objective_ms: f64, priority_weight: f64) -> Value {
    json!({"name": name, "effect": effect, "target": latency_objective_ms,
        "deadline": 3.0 * latency_objective_ms, "points": priority_weight,
        "dedup_scope": "all", "window": 5000.0, "aim_stretch": 2.0})
}

/// Returns the settings of caching and the hierarchy.
fn domain(shape: &Shape) -> Value {
    json!({"class_grace": [0.0, 0.0, 2000.0, 0.0], "fresh_for": [0.0, 0.0, 3000.0, 0.0],
        "goes_through": [false, false, false, true], "collapses": true,
        "count_by_zone": shape.proxies_by_zone(), "hub_by_zone": shape.hub_by_zone(), "lateral": "location",
        "pace_kb_per_s": 4000.0, "parent_cold": 19000.0, "parent_floor": 0.1,
        "pipe_kb_per_s": vec![0.0; shape.points + shape.hubs], "purge_grace": 500.0, "purge_settles": 6000.0,
        "root_kind": 2, "second_tier_kind": 1, "straight": true, "tells": "all", "upper_fall_multiple": 2.0})
}

#[cfg(test)]
mod tests;

//! Made-up sites: a PROXY_CONFIG of any size, the same one for the same seed, to try tools on without a platform.

use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde_json::{json, Value};

/// How large a site is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shape {
    /// Points: zones with edge proxies and table caches.
    pub points: usize,
    /// Edge proxies in all, dealt to the points in turn.
    pub proxies: usize,
    /// Table caches in all, dealt to the points in turn.
    pub caches: usize,
    /// Hubs: zones with parents, no edge proxies and no caches.
    pub hubs: usize,
    /// Parents of each hub.
    pub parents: usize,
    /// The seed of names and weights.
    pub seed: u64,
}

impl Default for Shape {
    fn default() -> Self {
        Shape { points: 3, proxies: 3, caches: 12, hubs: 2, parents: 2, seed: 1 }
    }
}

/// The names that the first points and hubs get; further ones are numbered.
const POINTS: [&str; 4] = ["north", "south", "east", "west"];
const HUBS: [&str; 3] = ["harbour", "castle", "meadow"];

fn name(names: &[&str], word: &str, number: usize) -> String {
    names.get(number).map_or_else(|| format!("{word}-{number}"), |name| (*name).to_owned())
}

/// The configuration of the first edge proxy at the first point, as the platform would word it. `dial` gives the
/// address of each server by its number, from 0: caches, then parents, then the origin.
pub fn config(shape: &Shape, feed: &str, dial: impl Fn(usize) -> String) -> Value {
    let Shape { points, proxies, caches, hubs, parents, seed } = *shape;
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let mut zones: Vec<String> = (0..points).map(|n| name(&POINTS, "point", n)).collect();
    zones.extend((0..hubs).map(|n| name(&HUBS, "hub", n)));
    let by_zone = |zone: usize| proxies / points + usize::from(zone < proxies % points);
    let counts: Vec<usize> = (0..zones.len()).map(|z| if z < points { by_zone(z) } else { 0 }).collect();
    let hub_of: Vec<usize> =
        (0..zones.len()).map(|z| if z < points { points + z % hubs } else { z }).collect();
    let mut hosts = Vec::new();
    for number in 0..caches + hubs * parents + 1 {
        // The platform's names end in the server's number in hex, which is the module's number of it.
        let id = random.next_u32() >> 4 << 4 | number as u32 & 0xf;
        let (site, class, share) = match number {
            n if n < caches => (&zones[n % points], "std", f64::from(2 + random.next_u32() % 3)),
            n if n < caches + hubs * parents => (&zones[points + (n - caches) % hubs], "hub", 8.0),
            _ => (&zones[points], "store", 64.0),
        };
        hosts.push(json!({
            "host": format!("s-{id:08x}"), "dial": dial(number), "site": site, "class": class,
            "block": number % 4, "health": "up", "share": share, "born_ms": 0
        }));
    }
    let class = |name: &str, effect: &str, target: f64, points: f64| {
        json!({"name": name, "effect": effect, "target": target, "deadline": 3.0 * target, "points": points,
            "dedup_scope": "all", "window": 5000.0, "aim_stretch": 2.0})
    };
    json!({
        "name": "n0", "listen": "127.0.0.1:0", "seed": format!("{seed:016x}"),
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "feed": feed,
        "flow_bytes_per_s": 4_000_000, "link_bytes_per_s": 16_000_000,
        "known": {"n": 1, "events": [{"n": 1, "members": {"seq": 1, "whole": true, "hosts": hosts}}]},
        "settings": {
            "balancers": proxies, "ordinal": 0, "my_zone": 0, "discovery": "automatic",
            "failure_domains": zones, "skus": ["std", "hub", "store"],
            "grades": [class("piece", "pure", 300.0, 1.0), class("replay", "pure", 1500.0, 2.0),
                class("standing", "pure", 600.0, 1.0), class("result", "token", 800.0, 4.0)],
            "limits": {"cancel": true, "max_attempts": 6, "max_retry_after": 2000.0, "may_probe": true,
                "parallel_tries": true, "peer_messages": false, "retry_after": true},
            "rules": {"ask_within": 10000.0, "cold_share": 0.3, "fall_multiple": 3.0, "overload_for": 1000.0,
                "warm_after": 18000.0},
            "report": {"names": []},
            "domain": {"class_grace": [0.0, 0.0, 2000.0, 0.0], "fresh_for": [0.0, 0.0, 3000.0, 0.0],
                "goes_through": [false, false, false, true], "collapses": true, "count_by_zone": counts,
                "hub_by_zone": hub_of, "lateral": "location", "pace_kb_per_s": 4000.0, "parent_cold": 19000.0,
                "parent_floor": 0.1, "pipe_kb_per_s": vec![0.0; zones.len()], "purge_grace": 500.0,
                "purge_settles": 6000.0, "root_kind": 2, "second_tier_kind": 1, "straight": true, "tells": "all",
                "upper_fall_multiple": 2.0}
        }
    })
}

#[cfg(test)]
mod tests;

//! Tests of the generated configuration.

use super::*;
use crate::config::Config;

#[test]
fn generated_site_is_valid_and_determined_by_its_seed() {
    let shape = Shape { points: 7, proxies: 9, caches: 20, ..Shape::default() };
    let text = |shape: &Shape| config(shape, "127.0.0.1:1", |n| format!("127.0.0.1:{}", 2 + n)).to_string();
    let read = Config::parse(text(&shape).as_bytes()).expect("the configuration is valid");
    assert_eq!(read.initial_events.events[0].members.as_ref().map(|m| m.hosts.len()), Some(25));
    assert_eq!(read.settings.policy.topology.routers_by_zone, [2, 2, 1, 1, 1, 1, 1, 0, 0]);
    assert_eq!(text(&shape), text(&shape));
    assert_ne!(text(&shape), text(&Shape { seed: 2, ..shape }));
}

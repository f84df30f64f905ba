//! Tests of the answers of a fleet of stand-in hosts.

use super::super::line_protocol::Item;
use super::*;

const CACHE: HostId = HostId(0);
const PARENT: HostId = HostId(1);

fn fleet(served_status_only: bool) -> Fleet {
    let host = |name, tier| Host::new(tier, serde_json::json!({"host": name, "share": 1.0}));
    let hosts = vec![host("cache", Tier::Cache), host("parent", Tier::Parent), host("origin", Tier::Origin)];
    Fleet { hosts, served_status_only }
}

fn fill(class: &str, source: &str) -> FetchRequest {
    FetchRequest {
        class: class.into(),
        item: Item { object: "0f".into(), part: 0 },
        source: Some(source.into()),
        ..FetchRequest::default()
    }
}

#[test]
fn failing_parent_fails_the_fills_through_it() {
    let mut fleet = fleet(false);
    fleet[PARENT].fails_until = Instant::from_micros(1_000);
    for class in ["segment", "result"] {
        let answer = fleet.answer(CACHE, &fill(class, "parent"), Instant::ZERO, &|_, _| true);
        assert_eq!((answer.status, answer.fields.as_str()), ("500", "tell=cut_off,waited=0"));
        let answer = fleet.answer(CACHE, &fill(class, "origin"), Instant::ZERO, &|_, _| true);
        assert_eq!(answer.status, "200");
    }
}

#[test]
fn served_status_only_leaves_out_the_status_of_failures() {
    let mut fleet = fleet(true);
    let request = fill("segment", "parent");
    let unreachable = fleet.answer(CACHE, &request, Instant::ZERO, &|_, host| host != PARENT);
    assert_eq!(unreachable.fields, "");
    let filled = fleet.answer(CACHE, &request, Instant::ZERO, &|_, _| true);
    assert!(filled.status == "200" && filled.fields.ends_with("tell=pulled"), "{filled:?}");
    assert!(fleet.answer(CACHE, &request, Instant::ZERO, &|_, _| true).fields.ends_with("tell=local"));
}

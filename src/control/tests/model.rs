//! Tests of `model`.

use super::{name, parse_settings, Fixture, HOT, SECOND, START};
use crate::control::debounce::Urgency;
use crate::control::resource::{Content, ResourceType, Route, RouteCache};
use crate::control::snapshot::Snapshot;
use crate::interface::{ObjectId, Purge, Span};
use serde_json::{json, Value};

/// The shortest span, one microsecond.
const TICK: Span = Span::from_micros(1);

#[test]
fn drain_changes_only_its_points_endpoints_at_once() {
    let mut fixture = Fixture::new();
    let cache = fixture.cache(1);
    let before = fixture.snapshot();
    assert!(fixture.north_weights().contains_key(&name(&cache)));
    assert_eq!(fixture.set_health(&cache, "draining"), Urgency::Now);
    let after = fixture.snapshot();
    assert!(!fixture.north_weights().contains_key(&name(&cache)));
    let versions = |snapshot: &Snapshot, point: &str| {
        ResourceType::ALL.map(|kind| snapshot.points[point].get(kind).version)
    };
    let (old, new) = (versions(&before, "north"), versions(&after, "north"));
    assert_eq!(
        (new[0] == old[0], new[1] > old[1]),
        (true, true),
        "only the endpoints change, not the clusters"
    );
    assert_eq!(versions(&before, "south"), versions(&after, "south"));
    // An event that changes nothing makes no new version. The return of a server may wait for other changes.
    let again = fixture.snapshot();
    assert_eq!((again.sequence, versions(&again, "north")), (after.sequence, new));
    assert_eq!(fixture.set_health(&cache, "draining"), Urgency::Soon);
    assert_eq!(fixture.snapshot().sequence, after.sequence);
    assert_eq!(fixture.set_health(&cache, "up"), Urgency::Soon);
    assert!(
        fixture.snapshot().sequence > after.sequence && fixture.north_weights().contains_key(&name(&cache))
    );
    assert_eq!(fixture.set_health(&cache, "removed"), Urgency::Now);
    assert!(!fixture.north_weights().contains_key(&name(&cache)));
}

#[test]
fn full_list_without_a_server_is_urgent_like_a_removal() {
    let mut fixture = Fixture::new();
    let gone = name(&fixture.cache(0));
    let rest: Vec<Value> = fixture.hosts.iter().filter(|host| name(host) != gone).cloned().collect();
    let whole = json!({"n": 2, "members": {"whole": true, "hosts": rest}});
    assert_eq!(fixture.apply(whole), Urgency::Now);
    assert!(!fixture.north_weights().contains_key(&gone));
}

#[test]
fn hot_object_routes_follow_router_and_skip_left_servers() {
    let mut fixture = Fixture::new();
    let hot = |routes: &[Route]| routes.iter().find(|route| route.object.is_some()).cloned();
    let route = hot(&fixture.routes()).expect("a route for the hot object");
    assert_eq!(route.object.map(|o| format!("{:016x}", o.0)).as_deref(), Some(HOT));
    assert!((1..=3).contains(&route.caches.len()), "{route:?}");
    // A delegate's fill source is the object's home cache, which is a cache of the point too.
    let caches: Vec<String> = fixture.north_weights().into_keys().collect();
    let own = |route_cache: &RouteCache| {
        route_cache.fill.as_ref().is_some_and(|fill| caches.contains(fill) && *fill != route_cache.name)
    };
    assert!(route.caches.iter().all(own), "{route:?}");
    // The hot object's route comes before its class's route, since a proxy uses the first route that matches.
    let routes = fixture.routes();
    let place = |object: bool| routes.iter().position(|r| r.class == "piece" && r.object.is_some() == object);
    assert!(place(true) < place(false));
    for RouteCache { name: cache, .. } in route.caches {
        let host = fixture.hosts.iter().find(|host| name(host) == cache).cloned().expect("a listed host");
        fixture.set_health(&host, "draining");
        let left = hot(&fixture.routes()).map(|route| route.caches).unwrap_or_default();
        assert!(
            left.iter()
                .all(|route_cache| route_cache.name != cache && route_cache.fill.as_ref() != Some(&cache)),
            "{left:?} without {cache}"
        );
    }
    // A server that left is not used even before the router is queried again.
    let mut fixture = Fixture::new();
    let held = hot(&fixture.routes()).expect("a route for the hot object").caches[0].name.clone();
    let host = fixture.hosts.iter().find(|host| name(host) == held).cloned().expect("a listed host");
    let mut drained = host;
    drained["health"] = "draining".into();
    let gone = json!({"n": 2, "events": [{"n": 2, "members": {"hosts": [drained]}}]});
    let moment = fixture.moment();
    fixture.model.apply(moment, &serde_json::from_value(gone).expect("a batch"));
    let left = hot(&fixture.routes()).map(|route| route.caches).unwrap_or_default();
    assert!(left.iter().all(|route_cache| route_cache.name != held), "{left:?} without {held}");
    let mut refused = Fixture::new().model;
    for (class, wanted) in [("peice", "did you mean"), ("result", "is never cached")] {
        let file = parse_settings(&format!("hot \"{class}\" {{\n objects = [\"{HOT}\"]\n }}"));
        let error = refused.set_hot_objects(START, &file).expect_err(class).to_string();
        assert!(error.starts_with("3:2: ") && error.contains(wanted), "{error}");
    }
}

#[test]
fn purge_routes_come_first_at_once_and_expire() {
    let mut fixture = Fixture::new();
    let at = fixture.unix_ms();
    assert_eq!(fixture.apply(json!({"n": 2, "purge": {"key": HOT, "at": at}})), Urgency::Now);
    assert_eq!(fixture.apply(json!({"n": 3, "purge": {"group": 17, "at": at}})), Urgency::Now);
    let routes = fixture.routes();
    let purged: Vec<&Route> = routes.iter().take_while(|route| route.purge.is_some()).collect();
    assert_eq!(purged.len(), 6, "object and group, for each of three cached classes");
    assert!(purged.iter().all(|route| route.newer_than_ms == at + 1));
    assert!(purged
        .iter()
        .any(|r| r.purge == Some(Purge::Object(ObjectId(0x7f3a_9c21_e0b4_d655))) && !r.caches.is_empty()));
    // The newest purge of a group counts: an older one that arrives later changes nothing.
    fixture.apply(json!({"n": 4, "purge": {"group": 17, "at": at - 5000}}));
    assert_eq!(fixture.routes(), routes);
    fixture.now += 12 * SECOND - TICK;
    fixture.model.tick(fixture.now);
    assert!(fixture.routes()[0].purge.is_some());
    fixture.now += TICK;
    assert!(fixture.model.due() <= fixture.now && fixture.model.tick(fixture.now) == Urgency::Soon);
    assert!(fixture.routes().iter().all(|route| route.purge.is_none()));
}

#[test]
fn cold_cache_weight_starts_at_cold_share_and_grows() {
    let mut fixture = Fixture::new();
    let cache = fixture.cache(2);
    let full = fixture.north_weights()[&name(&cache)];
    let mut born = cache.clone();
    born["born_ms"] = fixture.unix_ms().into();
    fixture.set_health(&born, "up");
    let cold = fixture.north_weights()[&name(&cache)];
    assert_eq!(cold, full * 3 / 10, "the cold share of the settings");
    let (mut steps, mut last) = (0, cold);
    for _ in 0..25 {
        fixture.now += SECOND;
        assert!(
            fixture.model.due() <= fixture.now || last == full,
            "the weight is computed again during the warm-up"
        );
        fixture.model.tick(fixture.now);
        let weight = fixture.north_weights()[&name(&cache)];
        assert!(weight >= last);
        steps += u32::from(weight > last);
        last = weight;
    }
    assert_eq!(last, full);
    assert!((4..=12).contains(&steps), "{steps} weight changes, fewer than one per second");
}

#[test]
fn wall_clock_steps_do_not_affect_purges_or_slow_start() {
    const HOUR: Span = Span::from_secs(3600);
    for step in [HOUR, -HOUR] {
        let step_us = step.as_micros();
        let mut fixture = Fixture::new();
        let cache = fixture.cache(2);
        let full = fixture.north_weights()[&name(&cache)];
        let mut born = cache.clone();
        born["born_ms"] = fixture.unix_ms().into();
        fixture.set_health(&born, "up");
        let cold = fixture.north_weights()[&name(&cache)];
        fixture.apply(json!({"n": 2, "purge": {"group": 17, "at": fixture.unix_ms()}}));
        // The wall clock is stepped, and the list sends the same start time again.
        fixture.wall_step = step;
        fixture.now += SECOND;
        fixture.set_health(&born, "up");
        assert!(
            (cold..full).contains(&fixture.north_weights()[&name(&cache)]),
            "a step of the wall clock by {step_us} us"
        );
        assert!(fixture.routes()[0].purge.is_some(), "a step of the wall clock by {step_us} us");
        fixture.now += 11 * SECOND;
        fixture.model.tick(fixture.now);
        assert!(fixture.routes()[0].purge.is_none(), "a step of the wall clock by {step_us} us");
        fixture.now += 20 * SECOND;
        fixture.model.tick(fixture.now);
        assert_eq!(fixture.north_weights()[&name(&cache)], full, "a step of the wall clock by {step_us} us");
        // Later events are converted by the wall clock after the step.
        let unix_ms = fixture.unix_ms();
        born["born_ms"] = unix_ms.into();
        fixture.set_health(&born, "up");
        assert_eq!(fixture.north_weights()[&name(&cache)], cold, "a step of the wall clock by {step_us} us");
        fixture.apply(json!({"n": 3, "purge": {"group": 18, "at": unix_ms}}));
        assert_eq!(
            fixture.routes()[0].newer_than_ms,
            unix_ms + 1,
            "a step of the wall clock by {step_us} us"
        );
        fixture.now += 12 * SECOND;
        fixture.model.tick(fixture.now);
        assert!(fixture.routes()[0].purge.is_none(), "a step of the wall clock by {step_us} us");
    }
}

#[test]
fn route_fields_follow_class_and_fill_levels_have_no_gap() {
    let mut fixture = Fixture::new();
    let routes = fixture.routes();
    let class = |name: &str| routes.iter().find(|r| r.class == name && r.object.is_none()).expect("a route");
    assert!(class("piece").idempotent && !class("result").idempotent);
    assert_eq!((class("piece").rank, class("result").rank), (2, 0));
    let fills = |fixture: &mut Fixture| {
        let snapshot = fixture.snapshot();
        let Content::Endpoints(levels) =
            &snapshot.points["north"].get(ResourceType::Endpoints).resources["fill/north"].content
        else {
            panic!("no endpoints")
        };
        levels.iter().map(Vec::len).collect::<Vec<_>>()
    };
    assert_eq!(fills(&mut fixture), [2, 2, 1], "the hub, the other hub, the origin");
    let hub: Vec<Value> =
        fixture.hosts.iter().filter(|h| h["site"] == "harbour" && h["class"] == "hub").cloned().collect();
    hub.iter().for_each(|host| assert_eq!(fixture.set_health(host, "draining"), Urgency::Now));
    assert_eq!(fills(&mut fixture), [2, 1], "priorities have no gap");
}

//! Where misses are filled from, and how many fetches are out.

use crate::support::*;
use dahliatrack::*;

#[test]
fn routers_choose_the_same_parent_for_an_object_and_limited_fetches_only_use_its_cache() {
    let source = |seed: u64| {
        let mut router = Router::new(settings(), seed, Instant::ZERO).expect("usable");
        let mut out = Vec::new();
        router.handle(
            Instant::ZERO,
            Event::EndpointList { update: ListUpdate::Full, endpoints: fleet() },
            &mut out,
        );
        router.handle(Instant::ZERO, Event::Request(request(1, 7)), &mut out);
        get_of(&out).expect("an attempt").source
    };
    assert!((1..20).all(|seed| source(seed) == source(0)));
    let mut bench = Bench::new(settings(), fleet());
    for object in 1..80 {
        bench.now += 100 * MS;
        let get = bench.get(object);
        if !get.only_if_cached {
            let actions = bench.end(&get, 0, AttemptResult::Rejected, Some(CacheStatus::OriginFailed));
            if let Some(next) = get_of(&actions) {
                assert!(next.only_if_cached, "a request asks the failing origin once");
                bench.end(&next, 1, AttemptResult::Miss, Some(CacheStatus::SourceMiss));
            }
        }
    }
    let gets: Vec<FillAttempt> = (100..200).map(|object| bench.get(object)).collect();
    let looks = gets.iter().filter(|get| get.only_if_cached && get.source.0 > 10).count();
    assert!(looks > 50, "{looks} of 100 look at a parent");
}

#[test]
fn fills_come_from_the_quicker_hub_parent_then_from_others_then_from_the_origin() {
    let mut bench = Bench::new(settings(), fleet());
    for object in 1..40 {
        let get = bench.get(object);
        let waited = if get.source.0 == 11 { 300 * MS } else { 5 * MS };
        bench.event(Event::AttemptEnded(AttemptOutcome {
            request: get.request,
            attempt: 0,
            server: get.server,
            result: AttemptResult::Ok,
            cache_status: Some(CacheStatus::Filled),
            elapsed: 110 * MS,
            fill_wait: waited,
            transfer_time: Span::ZERO,
            finished: true,
            load_report: vec![],
        }));
    }
    assert!((40..60).all(|object| bench.served(object).source.0 == 12));
    let mut far = fleet();
    far.retain(|m| m.kind != PARENT);
    far.push(member(13, PARENT, 2));
    assert_eq!(Bench::new(settings(), far.clone()).get(1).source.0, 13);
    far.retain(|m| m.kind != PARENT);
    assert_eq!(Bench::new(settings(), far.clone()).get(1).source.0, 21);
    far.retain(|m| m.kind != ORIGIN);
    let get = Bench::new(settings(), far).get(1);
    assert_eq!(get.source, get.server, "nobody fills");
}

#[test]
fn stale_copies_are_served_while_no_fetch_may_start() {
    let mut ageing = settings();
    (ageing.classes[0].fresh_for, ageing.classes[0].stale_for) = (5 * SECOND, 20 * SECOND);
    let (mut bench, out) = slowed(ageing);
    let held = bench.get(300);
    assert_eq!((held.max_age, held.only_if_cached), (25 * SECOND, true));
    bench.end(&out[0], 0, AttemptResult::Ok, Some(CacheStatus::Filled));
    assert_eq!(bench.get(301).max_age, 5 * SECOND);
}

#[test]
fn a_miss_waits_for_a_fetch_to_end_and_is_rejected_well_before_its_deadline() {
    let (mut bench, out) = slowed(settings());
    let waiting: Vec<FillAttempt> = (300..303).map(|object| bench.get(object)).collect();
    assert!(waiting.iter().all(|get| get.only_if_cached), "what is held is still served");
    for get in &waiting {
        assert_eq!(bench.end(get, 0, AttemptResult::Miss, Some(CacheStatus::SourceMiss)), [], "it waits");
    }
    let sent = bench.end(&out[0], 0, AttemptResult::Ok, Some(CacheStatus::Filled));
    let sent = get_of(&sent).expect("the newest goes out in its place");
    assert_eq!((sent.request, sent.only_if_cached), (waiting[2].request, false));
    bench.now += 301 * MS; // half of the target
    let actions = bench.event(Event::Timer(0));
    for get in &waiting[..2] {
        let refused = |a: &Action| matches!(a, Action::Reject { request, .. } if *request == get.request);
        assert_eq!(actions.iter().filter(|a| refused(a)).count(), 1, "{actions:?}");
    }
}

/// What a fill waits for its source, and how slow it comes over the location's link, was booked as its cache's
/// lateness: homes moved, which made more fills.
#[test]
fn a_fill_that_waits_for_its_source_moves_no_home() {
    let mut bench = Bench::new(settings(), fleet());
    let homes: Vec<ServerId> = (1..60).map(|object| bench.served(object).server).collect();
    for object in 100..200 {
        let get = bench.get(object);
        bench.now += 20 * MS;
        let slow = get.server.0 == 1;
        bench.event(Event::AttemptEnded(AttemptOutcome {
            request: get.request,
            attempt: 0,
            server: get.server,
            result: AttemptResult::Ok,
            cache_status: Some(CacheStatus::Filled),
            elapsed: if slow { 2 * SECOND } else { 100 * MS },
            fill_wait: if slow { SECOND } else { 10 * MS },
            transfer_time: 90 * MS,
            finished: true,
            load_report: vec![],
        }));
    }
    let again: Vec<ServerId> = (1..60).map(|object| bench.served(object).server).collect();
    assert_eq!(homes, again);
}

//! Choice of the fill source, and the origin fetch limit.

use crate::support::*;
use dahliatrack::*;

#[test]
fn routers_agree_on_parents_and_limited_fetches_use_its_cache() {
    let source = |seed: u64| {
        let mut router = Router::new(settings(), seed, Instant::ZERO).expect("usable settings");
        let mut out = Vec::new();
        router.handle(
            Instant::ZERO,
            Event::EndpointList { update: ListUpdate::Full, endpoints: endpoints() },
            &mut out,
        );
        router.handle(Instant::ZERO, Event::Request(request(1, 7)), &mut out);
        attempt_in(&out).expect("an attempt").source
    };
    assert!((1..20).all(|seed| source(seed) == source(0)));
    let mut harness = Harness::new(settings(), endpoints());
    for object in 1..80 {
        harness.now += 100 * MS;
        let attempt = harness.first_attempt(object);
        if !attempt.only_if_cached {
            let actions =
                harness.end_attempt(&attempt, 0, AttemptResult::Rejected, Some(CacheStatus::OriginFailed));
            if let Some(next) = attempt_in(&actions) {
                assert!(
                    next.only_if_cached,
                    "only one attempt of a request may fetch from the failing origin"
                );
                harness.end_attempt(&next, 1, AttemptResult::Miss, Some(CacheStatus::SourceMiss));
            }
        }
    }
    let attempts: Vec<FillAttempt> = (100..200).map(|object| harness.first_attempt(object)).collect();
    let limited_to_cache =
        attempts.iter().filter(|attempt| attempt.only_if_cached && attempt.source.0 > 10).count();
    assert!(limited_to_cache > 50, "{limited_to_cache} of 100 fills are limited to the cache of a parent");
}

#[test]
fn fills_prefer_the_faster_hub_parent_then_others_then_origin() {
    let mut harness = Harness::new(settings(), endpoints());
    for object in 1..40 {
        let attempt = harness.first_attempt(object);
        let fill_wait = if attempt.source.0 == 11 { 300 * MS } else { 5 * MS };
        harness.event(Event::AttemptEnded(AttemptOutcome {
            request: attempt.request,
            attempt: 0,
            server: attempt.server,
            result: AttemptResult::Ok,
            cache_status: Some(CacheStatus::Filled),
            elapsed: 110 * MS,
            fill_wait,
            transfer_time: Span::ZERO,
            finished: true,
            load_report: vec![],
        }));
    }
    assert!((40..60).all(|object| harness.serve(object).source.0 == 12));
    let mut far = endpoints();
    far.retain(|m| m.kind != PARENT);
    far.push(endpoint(13, PARENT, 2));
    assert_eq!(Harness::new(settings(), far.clone()).first_attempt(1).source.0, 13);
    far.retain(|m| m.kind != PARENT);
    assert_eq!(Harness::new(settings(), far.clone()).first_attempt(1).source.0, 21);
    far.retain(|m| m.kind != ORIGIN);
    let attempt = Harness::new(settings(), far).first_attempt(1);
    assert_eq!(attempt.source, attempt.server, "there is no fill source");
}

#[test]
fn stale_copies_are_served_while_no_fetch_may_start() {
    let mut ageing = settings();
    (ageing.classes[0].fresh_for, ageing.classes[0].stale_for) = (5 * SECOND, 20 * SECOND);
    let (mut harness, in_flight) = harness_with_low_fetch_limit(ageing);
    let held = harness.first_attempt(300);
    assert_eq!((held.max_age, held.only_if_cached), (25 * SECOND, true));
    harness.end_attempt(&in_flight[0], 0, AttemptResult::Ok, Some(CacheStatus::Filled));
    assert_eq!(harness.first_attempt(301).max_age, 5 * SECOND);
}

#[test]
fn miss_waits_for_a_fetch_slot_and_is_rejected_in_time() {
    let (mut harness, in_flight) = harness_with_low_fetch_limit(settings());
    let waiting: Vec<FillAttempt> = (300..303).map(|object| harness.first_attempt(object)).collect();
    assert!(waiting.iter().all(|attempt| attempt.only_if_cached), "cached copies are still served");
    for attempt in &waiting {
        assert_eq!(
            harness.end_attempt(attempt, 0, AttemptResult::Miss, Some(CacheStatus::SourceMiss)),
            [],
            "the request waits"
        );
    }
    let sent = harness.end_attempt(&in_flight[0], 0, AttemptResult::Ok, Some(CacheStatus::Filled));
    let sent = attempt_in(&sent).expect("the newest waiting request is sent");
    assert_eq!((sent.request, sent.only_if_cached), (waiting[2].request, false));
    harness.now += 301 * MS; // half of the latency objective
    let actions = harness.event(Event::Timer(0));
    for attempt in &waiting[..2] {
        let rejected =
            |a: &Action| matches!(a, Action::Reject { request, .. } if *request == attempt.request);
        assert_eq!(actions.iter().filter(|a| rejected(a)).count(), 1, "{actions:?}");
    }
}

/// Guards against counting the wait for the fill source, or a slow fill over the location's link, as latency of the
/// cache: homes then moved, which caused more fills.
#[test]
fn slow_fill_sources_do_not_move_home_caches() {
    let mut harness = Harness::new(settings(), endpoints());
    let homes: Vec<ServerId> = (1..60).map(|object| harness.serve(object).server).collect();
    for object in 100..200 {
        let attempt = harness.first_attempt(object);
        harness.now += 20 * MS;
        let is_slow = attempt.server.0 == 1;
        harness.event(Event::AttemptEnded(AttemptOutcome {
            request: attempt.request,
            attempt: 0,
            server: attempt.server,
            result: AttemptResult::Ok,
            cache_status: Some(CacheStatus::Filled),
            elapsed: if is_slow { 2 * SECOND } else { 100 * MS },
            fill_wait: if is_slow { SECOND } else { 10 * MS },
            transfer_time: 90 * MS,
            finished: true,
            load_report: vec![],
        }));
    }
    let again: Vec<ServerId> = (1..60).map(|object| harness.serve(object).server).collect();
    assert_eq!(homes, again);
}

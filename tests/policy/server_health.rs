//! Servers that fail, become silent or are slow.

use crate::support::*;
use dahliatrack::*;

#[test]
fn removing_a_cache_moves_only_its_own_objects() {
    let mut harness = Harness::new(settings(), endpoints());
    let before: Vec<ServerId> = (1..60).map(|object| harness.serve(object).server).collect();
    harness.update_endpoints(
        ListUpdate::Delta,
        vec![Endpoint { state: ServerState::Removed, ..endpoint(2, CACHE, 0) }],
    );
    for (object, home) in (1..60).zip(before) {
        let now = harness.serve(object).server;
        assert!(now == home || home.0 == 2, "object {object} left {home:?} for {now:?}");
        assert_ne!(now.0, 2);
    }
}

#[test]
fn losing_a_whole_cell_leaves_the_other_cell_in_use() {
    let caches = |cell, ids: std::ops::RangeInclusive<u32>| {
        ids.map(move |id| Endpoint { cell, ..endpoint(id, CACHE, 0) }).collect::<Vec<_>>()
    };
    let mut list = [caches(1, 1..=4), caches(2, 5..=6)].concat();
    list.extend([endpoint(11, PARENT, 1), endpoint(21, ORIGIN, 1)]);
    let mut harness = Harness::new(settings(), list);
    let mut served = 0;
    for object in 1..40 {
        harness.now += 50 * MS;
        let (_, mut actions) = harness.send_request(object);
        for number in 0.. {
            let Some(attempt) = attempt_in(&actions) else { break };
            let lost = attempt.server.0 <= 4;
            served += u32::from(!lost && object > 20);
            let result = if lost { AttemptResult::ConnectFailed } else { AttemptResult::Ok };
            actions = harness.end_attempt(&attempt, number, result, Some(CacheStatus::Hit).filter(|_| !lost));
        }
    }
    assert!(served >= 18, "{served} of the last 19 served by the other cell");
}

#[test]
fn silent_cache_is_ejected_and_its_attempts_are_retried() {
    let mut harness = Harness::new(settings(), endpoints());
    let home = harness.serve(7).server;
    let waiting = [harness.first_attempt(7), harness.first_attempt(7)];
    let actions = harness.advance(900 * MS);
    for attempt in &waiting {
        assert!(actions.contains(&Action::Cancel { request: attempt.request, attempt: 0 }), "{actions:?}");
        let again = harness.end_attempt(attempt, 0, AttemptResult::Cancelled, None);
        assert_ne!(attempt_in(&again).expect("a retry elsewhere").server, home);
    }
    assert_ne!(harness.first_attempt(7).server, home);
    let refusals = actions.iter().filter(|a| matches!(a, Action::Reject { .. })).count();
    assert_eq!(refusals, 0);
}

#[test]
fn with_parallel_attempts_an_overdue_one_is_hedged() {
    let mut parallel = settings();
    parallel.limits.parallel_attempts = true;
    let mut harness = Harness::new(parallel, endpoints());
    let home = harness.serve(7).server;
    let first = harness.first_attempt(7);
    harness.first_attempt(7);
    let actions = harness.advance(900 * MS);
    let second = attempt_in(&actions).expect("a hedged request");
    assert_ne!(second.server, home);
    let actions = harness.end_attempt(&second, 1, AttemptResult::Ok, Some(CacheStatus::Filled));
    assert_eq!(
        actions,
        [Action::Cancel { request: first.request, attempt: 0 }],
        "the other attempt is cancelled"
    );
}

#[test]
fn silent_parent_is_ejected_and_its_caches_are_not() {
    let mut harness = Harness::new(settings(), endpoints());
    let mut waiting = Vec::new();
    for object in 1..40 {
        let attempt = harness.first_attempt(object);
        if attempt.source.0 == 11 {
            waiting.push(attempt);
        } else {
            harness.end_attempt(&attempt, 0, AttemptResult::Ok, Some(CacheStatus::Filled));
        }
    }
    harness.advance(860 * MS);
    assert!((100..140).all(|object| harness.serve(object).source.0 != 11));
    let servers: Vec<u32> = (200..240).map(|object| harness.serve(object).server.0).collect();
    assert!((1..=3).all(|id| servers.contains(&id)), "no cache was ejected: {servers:?}");
    let again =
        attempt_in(&harness.end_attempt(&waiting[0], 0, AttemptResult::Cancelled, None)).expect("a retry");
    assert_eq!((again.server, again.source.0, again.join_fill), (waiting[0].server, 12, false));
}

#[test]
fn failed_connection_ejects_a_cache_until_a_probe_succeeds() {
    let mut harness = Harness::new(settings(), endpoints());
    let attempt = harness.first_attempt(7);
    let again = attempt_in(&harness.end_attempt(&attempt, 0, AttemptResult::ConnectFailed, None))
        .expect("a retry elsewhere");
    assert_ne!(again.server, attempt.server);
    assert_ne!(harness.serve(7).server, attempt.server);
    harness.now += SECOND;
    // Its share of objects is small while its latency deviates, so the probe may be a request for another object.
    let probe = (300..900).map(|object| harness.first_attempt(object)).find(|g| g.server == attempt.server);
    let probe = probe.expect("one probe");
    assert!(
        (900..1200).all(|object| harness.first_attempt(object).server != attempt.server),
        "one probe at a time"
    );
    harness.end_attempt(&probe, 0, AttemptResult::Ok, Some(CacheStatus::Hit));
    assert!((1200..1500).any(
        |object| attempt_in(&harness.send_request(object).1).is_some_and(|g| g.server == attempt.server)
    ));
}

#[test]
fn fetch_limit_follows_the_speed_of_the_origin() {
    let at_once = |harness: &mut Harness| {
        let attempts: Vec<FillAttempt> = (1000..1100)
            .map(|object| harness.first_attempt(object))
            .take_while(|attempt| !attempt.only_if_cached)
            .collect();
        attempts.iter().for_each(|attempt| {
            drop(harness.end_attempt(attempt, 0, AttemptResult::Ok, Some(CacheStatus::Filled)))
        });
        attempts.len()
    };
    let mut harness = Harness::new(settings(), endpoints());
    let first = at_once(&mut harness);
    let mut run = |fill_wait: Span| {
        for object in 1..100 {
            harness.now += 50 * MS;
            let attempts: Vec<FillAttempt> =
                (0..9).map(|i| harness.first_attempt(2000 + 10 * object + i)).collect();
            for attempt in attempts.iter().filter(|attempt| !attempt.only_if_cached) {
                harness.event(Event::AttemptEnded(AttemptOutcome {
                    request: attempt.request,
                    attempt: 0,
                    server: attempt.server,
                    result: AttemptResult::Ok,
                    cache_status: Some(CacheStatus::FilledByOrigin),
                    elapsed: fill_wait + 100 * MS,
                    fill_wait,
                    transfer_time: Span::ZERO,
                    finished: true,
                    load_report: vec![],
                }));
            }
            for attempt in attempts.iter().filter(|attempt| attempt.only_if_cached) {
                harness.end_attempt(attempt, 0, AttemptResult::Ok, Some(CacheStatus::Hit));
            }
        }
        at_once(&mut harness)
    };
    let (slow, quick) = (run(550 * MS), run(50 * MS));
    assert!(2 * slow < first && quick >= first, "{first} at first, {slow} slow, {quick} quick");
}

#[test]
fn slow_hub_parent_is_replaced_by_a_farther_one() {
    let mut one = endpoints();
    one.retain(|m| m.server.0 != 12);
    one.push(endpoint(13, PARENT, 2));
    let mut harness = Harness::new(settings(), one);
    let mut last = Vec::new();
    for object in 1..400 {
        let attempt = harness.first_attempt(object);
        let fill_wait = if attempt.source.0 == 11 { 400 * MS } else { 30 * MS };
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
        last.push(attempt.source.0);
    }
    let far = last[350..].iter().filter(|source| **source == 13).count();
    assert!(far > 40, "{far} of the last 49");
    assert_eq!(last[0], 11, "the parent at the hub is used first");
}

/// Guards against ejecting a cache for one unreadable answer, which ends the connection with all attempts on it. The
/// other caches were then overloaded and rejected the requests.
#[test]
fn broken_connection_counts_once_and_is_retried_in_place() {
    let mut harness = Harness::new(settings(), endpoints());
    let home = harness.serve(7).server;
    let open: Vec<FillAttempt> = (300..340).map(|object| harness.first_attempt(object)).collect();
    let (lost, others): (Vec<FillAttempt>, Vec<FillAttempt>) =
        open.into_iter().partition(|attempt| attempt.server == home);
    assert!(lost.len() > 4);
    let again: Vec<FillAttempt> = lost
        .iter()
        .map(|attempt| {
            attempt_in(&harness.end_attempt(attempt, 0, AttemptResult::Reset, None)).expect("a retry")
        })
        .collect();
    for (attempt, again) in lost.iter().zip(&again) {
        assert_eq!(
            (again.server, again.source),
            (attempt.server, attempt.source),
            "neither the cache nor the source is at fault"
        );
    }
    assert_eq!(harness.serve(7).server, home, "new requests still go to the cache");
    let elsewhere = attempt_in(&harness.end_attempt(&again[0], 1, AttemptResult::Reset, None))
        .expect("a retry elsewhere");
    assert_ne!(elsewhere.server, home, "after two broken connections the request goes to another cache");
    for attempt in &others {
        harness.end_attempt(attempt, 0, AttemptResult::Ok, Some(CacheStatus::Hit));
    }
    // A cache whose connections keep breaking is ejected all the same.
    for object in 400..460 {
        let attempt = harness.first_attempt(object);
        harness.now += 10 * MS;
        let result = if attempt.server == home { AttemptResult::Reset } else { AttemptResult::Ok };
        harness.end_attempt(&attempt, 0, result, None);
    }
    assert!((460..500).all(|object| harness.first_attempt(object).server != home));
}

/// Guards against a client whose requests no cache can serve: it got every cache ejected and the fetch limit lowered.
#[test]
fn errors_at_every_cache_count_against_no_cache() {
    let mut harness = Harness::new(settings(), endpoints());
    for object in 100..200 {
        harness.serve(object);
    }
    for bad in 0..20 {
        let (_, mut actions) = harness.send_request(bad);
        let mut attempts = 0;
        while let Some(attempt) = attempt_in(&actions) {
            actions = harness.end_attempt(&attempt, attempts, AttemptResult::Error, None);
            attempts += 1;
        }
        assert!(
            attempts <= 3 && retry_after_in(&actions).is_some(),
            "three errors end the request: {actions:?}"
        );
    }
    let homes: std::collections::BTreeSet<ServerId> = (100..200).map(|o| harness.serve(o).server).collect();
    assert_eq!(homes.len(), 3);
    assert!((200..300).all(|object| !harness.serve(object).only_if_cached), "fills are not limited");
}

/// Guards against late probes: with a small share of the objects while it was ejected, a cache waited many seconds for
/// its probe.
#[test]
fn ejected_cache_is_probed_with_its_next_own_object() {
    let mut harness = Harness::new(settings(), endpoints());
    let (home, own) = (harness.serve(7).server, 7);
    let attempt = harness.first_attempt(own);
    harness.end_attempt(&attempt, 0, AttemptResult::ConnectFailed, None);
    assert_ne!(harness.serve(own).server, home);
    harness.now += SECOND;
    assert_eq!(harness.first_attempt(own).server, home);
}

/// Guards against unbounded growth: the state of removed caches would be kept for good where caches are replaced all
/// day.
#[test]
fn removed_server_is_forgotten_once_nothing_is_in_flight() {
    let mut harness = Harness::new(settings(), endpoints());
    let attempt = harness.first_attempt(7);
    let home = endpoints().into_iter().find(|m| m.server == attempt.server).expect("a listed cache");
    harness.update_endpoints(ListUpdate::Delta, vec![Endpoint { state: ServerState::Removed, ..home }]);
    harness.advance(2 * SECOND);
    assert_eq!(
        harness.router.capacities(Instant::ZERO).len(),
        endpoints().len(),
        "its attempt is still in flight"
    );
    harness.end_attempt(&attempt, 0, AttemptResult::Ok, Some(CacheStatus::Hit));
    harness.first_attempt(8);
    harness.advance(2 * SECOND);
    assert_eq!(harness.router.capacities(Instant::ZERO).len(), endpoints().len() - 1);
}

/// Guards against ejecting a cache for attempts that take no longer than usual. While all answers are slow (a shared
/// link is full), two attempts in flight for as long as others took are no sign of a silent cache. Each such ejection
/// moved homes and caused more fills (500 ejections in a quiet simulated day of 25 s).
#[test]
fn attempts_within_the_usual_time_do_not_make_a_cache_silent() {
    let mut harness = Harness::new(settings(), endpoints());
    let answer = |harness: &mut Harness, attempt: &FillAttempt, elapsed| {
        let (request, server) = (attempt.request, attempt.server);
        let (result, note, load) = (AttemptResult::Ok, Some(CacheStatus::Filled), vec![]);
        let (fill_wait, sending, finished) = (SECOND, 100 * MS, true);
        let outcome = AttemptOutcome {
            request,
            attempt: 0,
            server,
            result,
            cache_status: note,
            elapsed,
            fill_wait,
            transfer_time: sending,
            finished,
            load_report: load,
        };
        harness.event(Event::AttemptEnded(outcome));
    };
    for object in 0..60 {
        let attempt = harness.first_attempt(object);
        answer(&mut harness, &attempt, 1500 * MS + (object % 5) as i64 * 100 * MS);
    }
    let silent = |actions: &[Action]| {
        actions.iter().any(|a| matches!(a, Action::Log(line) if line.contains("silent")))
    };
    for object in 100..112 {
        let (_, actions) = harness.send_request_of_size(object, 0.0);
        assert!(attempt_in(&actions).is_some());
    }
    assert!(!silent(&harness.advance(1700 * MS)), "other answers took as long");
    assert!(silent(&harness.advance(3 * SECOND)), "the cache is silent by then");
}

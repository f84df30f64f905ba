//! Servers that fail, fall silent or are slow.

use crate::support::*;
use dahliatrack::*;

#[test]
fn only_the_objects_of_a_lost_home_move() {
    let mut bench = Bench::new(settings(), fleet());
    let before: Vec<ServerId> = (1..60).map(|object| bench.served(object).server).collect();
    bench.list(ListUpdate::Delta, vec![Endpoint { state: ServerState::Removed, ..member(2, CACHE, 0) }]);
    for (object, home) in (1..60).zip(before) {
        let now = bench.served(object).server;
        assert!(now == home || home.0 == 2, "object {object} left {home:?} for {now:?}");
        assert_ne!(now.0, 2);
    }
}

#[test]
fn a_cell_lost_at_once_leaves_the_rest_in_use() {
    let caches = |cell, ids: std::ops::RangeInclusive<u32>| {
        ids.map(move |id| Endpoint { cell, ..member(id, CACHE, 0) }).collect::<Vec<_>>()
    };
    let mut list = [caches(1, 1..=4), caches(2, 5..=6)].concat();
    list.extend([member(11, PARENT, 1), member(21, ORIGIN, 1)]);
    let mut bench = Bench::new(settings(), list);
    let mut served = 0;
    for object in 1..40 {
        bench.now += 50 * MS;
        let (_, mut actions) = bench.ask(object);
        for attempt in 0.. {
            let Some(get) = get_of(&actions) else { break };
            let lost = get.server.0 <= 4;
            served += u32::from(!lost && object > 20);
            let result = if lost { AttemptResult::ConnectFailed } else { AttemptResult::Ok };
            actions = bench.end(&get, attempt, result, Some(CacheStatus::Hit).filter(|_| !lost));
        }
    }
    assert!(served >= 18, "{served} of the last 19 served by the other cell");
}

#[test]
fn a_silent_cache_is_ejected_and_its_attempts_are_retried_elsewhere() {
    let mut bench = Bench::new(settings(), fleet());
    let home = bench.served(7).server;
    let waiting = [bench.get(7), bench.get(7)];
    let actions = bench.pass(900 * MS);
    for get in &waiting {
        assert!(actions.contains(&Action::Cancel { request: get.request, attempt: 0 }), "{actions:?}");
        let again = bench.end(get, 0, AttemptResult::Cancelled, None);
        assert_ne!(get_of(&again).expect("sent elsewhere").server, home);
    }
    assert_ne!(bench.get(7).server, home);
    let refusals = actions.iter().filter(|a| matches!(a, Action::Reject { .. })).count();
    assert_eq!(refusals, 0);
}

#[test]
fn with_parallel_attempts_an_overdue_one_is_hedged() {
    let mut parallel = settings();
    parallel.limits.parallel_attempts = true;
    let mut bench = Bench::new(parallel, fleet());
    let home = bench.served(7).server;
    let first = bench.get(7);
    bench.get(7);
    let actions = bench.pass(900 * MS);
    let second = get_of(&actions).expect("a double");
    assert_ne!(second.server, home);
    let over = bench.end(&second, 1, AttemptResult::Ok, Some(CacheStatus::Filled));
    assert_eq!(over, [Action::Cancel { request: first.request, attempt: 0 }], "the loser is called off");
}

#[test]
fn a_silent_parent_is_distinguished_from_its_caches() {
    let mut bench = Bench::new(settings(), fleet());
    let mut waiting = Vec::new();
    for object in 1..40 {
        let get = bench.get(object);
        if get.source.0 == 11 {
            waiting.push(get);
        } else {
            bench.end(&get, 0, AttemptResult::Ok, Some(CacheStatus::Filled));
        }
    }
    bench.pass(860 * MS);
    assert!((100..140).all(|object| bench.served(object).source.0 != 11));
    let servers: Vec<u32> = (200..240).map(|object| bench.served(object).server.0).collect();
    assert!((1..=3).all(|id| servers.contains(&id)), "no cache was blamed: {servers:?}");
    let again = get_of(&bench.end(&waiting[0], 0, AttemptResult::Cancelled, None)).expect("sent again");
    assert_eq!((again.server, again.source.0, again.join_fill), (waiting[0].server, 12, false));
}

#[test]
fn a_failed_connection_ejects_a_cache_until_a_probe_succeeds() {
    let mut bench = Bench::new(settings(), fleet());
    let get = bench.get(7);
    let again = get_of(&bench.end(&get, 0, AttemptResult::ConnectFailed, None)).expect("sent elsewhere");
    assert_ne!(again.server, get.server);
    assert_ne!(bench.served(7).server, get.server);
    bench.now += SECOND;
    // Its share of objects is small while its latency deviates, so the probe comes with another object.
    let trial = (300..900).map(|object| bench.get(object)).find(|g| g.server == get.server);
    let trial = trial.expect("one trial");
    assert!((900..1200).all(|object| bench.get(object).server != get.server), "one at a time");
    bench.end(&trial, 0, AttemptResult::Ok, Some(CacheStatus::Hit));
    assert!((1200..1500).any(|object| get_of(&bench.ask(object).1).is_some_and(|g| g.server == get.server)));
}

#[test]
fn the_fetch_limit_falls_with_a_slow_origin_and_rises_with_a_fast_one() {
    let at_once = |bench: &mut Bench| {
        let gets: Vec<FillAttempt> =
            (1000..1100).map(|object| bench.get(object)).take_while(|get| !get.only_if_cached).collect();
        gets.iter().for_each(|get| drop(bench.end(get, 0, AttemptResult::Ok, Some(CacheStatus::Filled))));
        gets.len()
    };
    let mut bench = Bench::new(settings(), fleet());
    let first = at_once(&mut bench);
    let mut run = |waited: Span| {
        for object in 1..100 {
            bench.now += 50 * MS;
            let gets: Vec<FillAttempt> = (0..9).map(|i| bench.get(2000 + 10 * object + i)).collect();
            for get in gets.iter().filter(|get| !get.only_if_cached) {
                bench.event(Event::AttemptEnded(AttemptOutcome {
                    request: get.request,
                    attempt: 0,
                    server: get.server,
                    result: AttemptResult::Ok,
                    cache_status: Some(CacheStatus::FilledByOrigin),
                    elapsed: waited + 100 * MS,
                    fill_wait: waited,
                    transfer_time: Span::ZERO,
                    finished: true,
                    load_report: vec![],
                }));
            }
            for get in gets.iter().filter(|get| get.only_if_cached) {
                bench.end(get, 0, AttemptResult::Ok, Some(CacheStatus::Hit));
            }
        }
        at_once(&mut bench)
    };
    let (slow, quick) = (run(550 * MS), run(50 * MS));
    assert!(2 * slow < first && quick >= first, "{first} at first, {slow} slow, {quick} quick");
}

#[test]
fn a_slow_hub_parent_is_replaced_by_a_farther_one() {
    let mut one = fleet();
    one.retain(|m| m.server.0 != 12);
    one.push(member(13, PARENT, 2));
    let mut bench = Bench::new(settings(), one);
    let mut last = Vec::new();
    for object in 1..400 {
        let get = bench.get(object);
        let waited = if get.source.0 == 11 { 400 * MS } else { 30 * MS };
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
        last.push(get.source.0);
    }
    let far = last[350..].iter().filter(|source| **source == 13).count();
    assert!(far > 40, "{far} of the last 49");
    assert_eq!(last[0], 11, "the hub's own is the ordinary one");
}

/// One answer that can't be read ends a connection with all that is open on it. That used to shut the cache, which
/// crowded the others and got their requests refused.
#[test]
fn a_broken_connection_counts_once_and_its_requests_stay_where_the_copies_are() {
    let mut bench = Bench::new(settings(), fleet());
    let home = bench.served(7).server;
    let open: Vec<FillAttempt> = (300..340).map(|object| bench.get(object)).collect();
    let (lost, others): (Vec<FillAttempt>, Vec<FillAttempt>) =
        open.into_iter().partition(|get| get.server == home);
    assert!(lost.len() > 4);
    let again: Vec<FillAttempt> = lost
        .iter()
        .map(|get| get_of(&bench.end(get, 0, AttemptResult::Reset, None)).expect("it is sent again"))
        .collect();
    for (get, again) in lost.iter().zip(&again) {
        assert_eq!((again.server, again.source), (get.server, get.source), "neither is to blame");
    }
    assert_eq!(bench.served(7).server, home, "and new ones come, too");
    let elsewhere = get_of(&bench.end(&again[0], 1, AttemptResult::Reset, None)).expect("elsewhere");
    assert_ne!(elsewhere.server, home, "what breaks twice there is not asked for there a third time");
    for get in &others {
        bench.end(get, 0, AttemptResult::Ok, Some(CacheStatus::Hit));
    }
    // One that breaks again and again is shut all the same.
    for object in 400..460 {
        let get = bench.get(object);
        bench.now += 10 * MS;
        let result = if get.server == home { AttemptResult::Reset } else { AttemptResult::Ok };
        bench.end(&get, 0, result, None);
    }
    assert!((460..500).all(|object| bench.get(object).server != home));
}

/// A client that sends requests that no cache can serve used to get every cache ejected, and the fetch limit lowered.
#[test]
fn errors_everywhere_are_the_requests_fault_and_count_against_no_cache() {
    let mut bench = Bench::new(settings(), fleet());
    for object in 100..200 {
        bench.served(object);
    }
    for bad in 0..20 {
        let (_, mut actions) = bench.ask(bad);
        let mut attempts = 0;
        while let Some(get) = get_of(&actions) {
            actions = bench.end(&get, attempts, AttemptResult::Error, None);
            attempts += 1;
        }
        assert!(attempts <= 3 && refused(&actions).is_some(), "three have said so: {actions:?}");
    }
    let homes: std::collections::BTreeSet<ServerId> = (100..200).map(|o| bench.served(o).server).collect();
    assert_eq!(homes.len(), 3);
    assert!((200..300).all(|object| !bench.served(object).only_if_cached), "and fills go on");
}

/// With its share of the objects small while it is ejected, a cache waited for its probe for many seconds.
#[test]
fn an_ejected_cache_is_probed_with_the_next_of_its_own_objects() {
    let mut bench = Bench::new(settings(), fleet());
    let (home, own) = (bench.served(7).server, 7);
    let get = bench.get(own);
    bench.end(&get, 0, AttemptResult::ConnectFailed, None);
    assert_ne!(bench.served(own).server, home);
    bench.now += SECOND;
    assert_eq!(bench.get(own).server, home);
}

/// With caches replaced all day long, what is kept of each that has gone would grow for good.
#[test]
fn a_removed_server_is_forgotten_once_nothing_is_in_flight_there() {
    let mut bench = Bench::new(settings(), fleet());
    let get = bench.get(7);
    let home = fleet().into_iter().find(|m| m.server == get.server).expect("it is listed");
    bench.list(ListUpdate::Delta, vec![Endpoint { state: ServerState::Removed, ..home }]);
    bench.pass(2 * SECOND);
    assert_eq!(bench.router.capacities(Instant::ZERO).len(), fleet().len(), "its attempt is still out");
    bench.end(&get, 0, AttemptResult::Ok, Some(CacheStatus::Hit));
    bench.get(8);
    bench.pass(2 * SECOND);
    assert_eq!(bench.router.capacities(Instant::ZERO).len(), fleet().len() - 1);
}

/// Where all answers take long for a while (a shared link is full), two that are out as long as others were are no sign
/// that their cache is silent: each such closing moved homes and made more fills (500 in a calm day of 25 s).
#[test]
fn attempts_within_the_usual_time_do_not_make_a_cache_silent() {
    let mut bench = Bench::new(settings(), fleet());
    let answer = |bench: &mut Bench, get: &FillAttempt, elapsed| {
        let (request, server) = (get.request, get.server);
        let (result, note, load) = (AttemptResult::Ok, Some(CacheStatus::Filled), vec![]);
        let (waited, sending, finished) = (SECOND, 100 * MS, true);
        let outcome = AttemptOutcome {
            request,
            attempt: 0,
            server,
            result,
            cache_status: note,
            elapsed,
            fill_wait: waited,
            transfer_time: sending,
            finished,
            load_report: load,
        };
        bench.event(Event::AttemptEnded(outcome));
    };
    for object in 0..60 {
        let get = bench.get(object);
        answer(&mut bench, &get, 1500 * MS + (object % 5) as i64 * 100 * MS);
    }
    let silent = |actions: &[Action]| {
        actions.iter().any(|a| matches!(a, Action::Log(line) if line.contains("silent")))
    };
    for object in 100..112 {
        let (_, actions) = bench.open(object, 0.0);
        assert!(get_of(&actions).is_some());
    }
    assert!(!silent(&bench.pass(1700 * MS)), "others took as long");
    assert!(silent(&bench.pass(3 * SECOND)), "by then they are silent");
}

//! Where an object is at home, and crowds there.

use crate::support::*;
use dahliatrack::*;

#[test]
fn an_object_keeps_its_home_and_objects_spread_over_the_own_location() {
    let mut bench = Bench::new(settings(), fleet());
    let homes: Vec<ServerId> = (1..60).map(|object| bench.served(object).server).collect();
    let again: Vec<ServerId> = (1..60).map(|object| bench.served(object).server).collect();
    assert_eq!(homes, again);
    for server in 1..=3 {
        assert!(homes.iter().filter(|home| home.0 == server).count() > 8, "{homes:?}");
    }
    assert!(homes.iter().all(|home| home.0 <= 3));
}

#[test]
fn with_many_routers_one_attempt_in_flight_is_no_overload() {
    let mut told = settings();
    (told.topology.routers, told.topology.routers_by_zone) = (240, vec![8, 0, 232]);
    let small = |server| Endpoint { weight: 4.0, ..member(server, CACHE, 0) };
    let mut bench = Bench::new(told, vec![small(1), member(11, PARENT, 1), member(21, ORIGIN, 1)]);
    bench.get(1);
    bench.get(2); // one out, times eight routers, is no reason to refuse at a cache of four
    for object in 10..40 {
        bench.ask(object);
        bench.now += 200 * MS;
    }
    assert!(refused(&bench.ask(50).1).is_some(), "what stays out for long is one");
}

#[test]
fn uncached_classes_pass_their_home_with_rank_0() {
    let mut never = settings();
    never.classes[0].uncached = true;
    let mut bench = Bench::new(never, fleet());
    for _ in 0..10 {
        let get = bench.served(7);
        assert_eq!(get.cache_rank, 0);
        assert!([11, 12].contains(&get.source.0));
    }
}

#[test]
fn over_the_budget_the_next_cache_in_hash_order_serves() {
    let mut cold = member(1, CACHE, 0);
    cold.started_at = Some(Instant::ZERO);
    let mut bench = Bench::new(settings(), vec![cold, member(2, CACHE, 0), member(21, ORIGIN, 1)]);
    let sent: Vec<u32> = (0..2000).map(|object| bench.served(object).server.0).collect();
    let to_cold = sent.iter().filter(|s| **s == 1).count();
    assert!(to_cold > 0 && to_cold as f64 * 0.1 < 2.0 * 0.25 * 100.0, "{to_cold} at 0.1 s each");
}

#[test]
fn an_empty_location_rejects_at_once_with_a_retry_after_within_the_limit() {
    let mut bench = Bench::new(settings(), vec![member(9, CACHE, 2), member(11, PARENT, 1)]);
    let wait = refused(&bench.ask(7).1).expect("refused");
    assert!(wait > Span::ZERO && wait <= 200 * MS);
    let mut direct = settings();
    direct.limits.direct_to_source = true;
    let get = Bench::new(direct, vec![member(11, PARENT, 1)]).get(7);
    assert_eq!(get.server.0, 11, "straight to the parent where that is allowed");
}

#[test]
fn an_overloaded_home_rejects_instead_of_moving_the_object() {
    let mut small = fleet();
    small.iter_mut().for_each(|m| m.weight = 2.0);
    let mut bench = Bench::new(settings(), small);
    let home = bench.get(7).server;
    let mut last = Vec::new();
    for _ in 0..60 {
        let (_, actions) = bench.ask(7);
        if let Some(get) = get_of(&actions) {
            assert!(get.server == home || get.source == home, "a delegate at most");
        }
        last = actions;
    }
    assert!(refused(&last).is_some());
}

#[test]
fn each_part_has_a_home_of_its_own() {
    let mut bench = Bench::new(settings(), fleet());
    let homes: Vec<u32> = (0..30)
        .filter_map(|part| {
            let request = Request { part, ..request(1000 + u64::from(part), 7) };
            get_of(&bench.event(Event::Request(request))).map(|get| get.server.0)
        })
        .collect();
    assert!((1..=3).all(|id| homes.contains(&id)), "{homes:?}");
}

#[test]
fn an_uncached_class_is_judged_by_its_own_time_and_not_as_overload() {
    // Its answers are all filled; when none of them counted, its first guess, a whole target, stayed for
    // good, and writes of a few milliseconds were refused at any cache that had work for its link.
    let mut told = settings();
    told.classes[0].uncached = true;
    let mut list = fleet();
    list.iter_mut().for_each(|member| member.weight = 2.0);
    let mut bench = Bench::new(told, list);
    let ask = |bench: &mut Bench, object| {
        bench.next += 1;
        let request = Request { size_kb: 0.0, ..request(bench.next, object) };
        bench.event(Event::Request(request))
    };
    for object in 0..60 {
        bench.now += 100 * MS;
        let get = get_of(&ask(&mut bench, object)).expect("an attempt");
        let outcome = AttemptOutcome {
            request: get.request,
            attempt: 0,
            server: get.server,
            result: AttemptResult::Ok,
            cache_status: Some(CacheStatus::FilledByOrigin),
            elapsed: 100 * MS,
            fill_wait: 90 * MS,
            transfer_time: Span::ZERO,
            finished: true,
            load_report: vec![],
        };
        bench.event(Event::AttemptEnded(outcome));
    }
    bench.now += SECOND;
    for out in 0..10 {
        let actions = ask(&mut bench, 7);
        assert!(get_of(&actions).is_some(), "refused with {out} out at one cache: {actions:?}");
    }
}

/// Attempts at caches whose links bear so many full-pace answers each: they share a link that has more.
struct Links {
    bears: f64,
    out: Vec<(Instant, FillAttempt)>,
}

impl Links {
    /// Asks for `each` new objects in every 100 ms of `span`; how many requests there were, and how many were rejected
    /// as overload.
    fn play(&mut self, bench: &mut Bench, span: Span, each: u64) -> (usize, usize) {
        const SENDING: Span = Span::from_millis(400);
        let (mut asked, mut refused, until) = (0, 0, bench.now + span);
        while bench.now < until {
            bench.now += 20 * MS;
            bench.event(Event::Timer(0));
            for _ in 0..if (bench.now - Instant::ZERO) % (100 * MS) == Span::ZERO { each } else { 0 } {
                let object = bench.next + 1000;
                let (id, actions) = bench.open(object, 0.0);
                asked += 1;
                let crowd = |a: &Action| matches!(a, Action::Reject { reason: RejectionReason::Overloaded, request, .. } if *request == id);
                refused += usize::from(actions.iter().any(crowd));
                self.out.extend(get_of(&actions).map(|get| (bench.now, get)));
            }
            let there = |server| self.out.iter().filter(|(_, get)| get.server == server).count() as f64;
            let takes = |get: &FillAttempt| {
                Span::from_micros_f64(SENDING.as_micros_f64() * (there(get.server) / self.bears).max(1.0))
            };
            let over = |(sent, get): &(Instant, FillAttempt)| *sent + takes(get) <= bench.now;
            let (ended, out): (Vec<_>, Vec<_>) = self.out.iter().cloned().partition(over);
            self.out = out;
            for (sent, get) in ended {
                bench.event(Event::AttemptEnded(AttemptOutcome {
                    request: get.request,
                    attempt: 0,
                    server: get.server,
                    result: AttemptResult::Ok,
                    cache_status: Some(CacheStatus::Hit),
                    elapsed: bench.now - sent,
                    fill_wait: Span::ZERO,
                    transfer_time: SENDING,
                    finished: true,
                    load_report: vec![],
                }));
            }
        }
        (asked, refused)
    }
}

/// red-sucursales, 2026-12-02: its weights are "silent", which means that all are 1; that was read as a link of one
/// full-pace answer, and 34 to 43 % of the tries were rejected as overload at idle caches.
#[test]
fn weights_that_state_nothing_cause_no_overload_and_link_capacity_is_measured() {
    let one = |member: Endpoint| Endpoint { weight: 1.0, ..member };
    let fleet = || fleet().into_iter().map(one).collect::<Vec<_>>();
    let played = |weighed, bears, each| {
        let mut settings = settings();
        settings.topology.weights_state_links = weighed;
        let mut bench = Bench::new(settings, fleet());
        let mut links = Links { bears, out: Vec::new() };
        links.play(&mut bench, 5 * SECOND, 4);
        links.play(&mut bench, 5 * SECOND, each)
    };
    let (asked, refused) = played(true, 8.0, 4);
    assert!(4 * refused > asked, "a told link of one is a crowd: {refused} of {asked}");
    let (asked, refused) = played(false, 8.0, 4);
    assert!(20 * refused < asked, "{refused} of {asked} at three links of eight that carry sixteen");
    let (asked, refused) = played(false, 3.0, 12);
    assert!(
        4 * refused > asked,
        "links of three that are asked for five times as much: {refused} of {asked}"
    );
}

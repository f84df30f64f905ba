//! Popular objects and their delegates.

use crate::support::*;
use dahliatrack::*;

#[test]
fn a_popular_object_gets_delegates_with_the_home_as_source() {
    let mut bench = Bench::new(settings(), fleet());
    let home = bench.popular(7);
    let first = bench.get(7);
    assert_ne!(first.server, home);
    assert_eq!(first.source, home);
    assert!(first.cache_rank > 0);
    assert_eq!(bench.get(7).server, home, "one at a time is started");
    bench.end(&first, 0, AttemptResult::Ok, Some(CacheStatus::Filled));
    let second = bench.get(7);
    assert!(second.server != home && second.server != first.server);
    bench.end(&second, 0, AttemptResult::Ok, Some(CacheStatus::Filled));
    let sends: Vec<ServerId> = (0..8).map(|_| bench.served(7).server).collect();
    for delegate in [first.server, second.server] {
        assert_eq!(sends.iter().filter(|s| **s == delegate).count(), 4, "least distributed first: {sends:?}");
    }
}

/// Delegates used to name an ejected home as their source, which postponed its probe each time: it never came back.
#[test]
fn an_ejected_home_of_popular_objects_is_no_source_and_gets_its_probe() {
    let mut bench = Bench::new(settings(), fleet());
    for object in 1..60 {
        bench.popular(object);
        for _ in 0..2 {
            bench.served(object);
        }
    }
    let lost =
        (100..200).map(|object| bench.get(object)).find(|get| get.server.0 == 1).expect("one goes there");
    bench.end(&lost, 0, AttemptResult::ConnectFailed, None);
    let mut tried_at = None;
    for step in 1..60 {
        bench.now += 50 * MS;
        for object in (1..60).chain([1000 + step]) {
            let get = bench.served(object);
            tried_at = tried_at.or((get.server.0 == 1).then_some(bench.now));
            assert!(get.source.0 != 1 || tried_at.is_some(), "it is shut");
        }
    }
    assert!(
        tried_at.is_some_and(|at| (SECOND..SECOND + 100 * MS).contains(&(at - Instant::ZERO))),
        "{tried_at:?}"
    );
}

#[test]
fn a_delegate_that_misses_ends_and_the_request_goes_home() {
    let mut bench = Bench::new(settings(), fleet());
    let home = bench.popular(7);
    let delegate = bench.get(7);
    let actions = bench.end(&delegate, 0, AttemptResult::Miss, Some(CacheStatus::SourceMiss));
    let again = get_of(&actions).expect("goes home");
    assert_eq!(again.server, home);
    assert!([11, 12].contains(&again.source.0), "the home fills from a parent");
}

#[test]
fn after_a_failed_delegate_none_is_started_for_a_second() {
    let mut bench = Bench::new(settings(), fleet());
    let home = bench.popular(7);
    let delegate = bench.get(7);
    assert_ne!(delegate.server, home);
    bench.end(&delegate, 0, AttemptResult::Rejected, Some(CacheStatus::NoFillSlot));
    bench.now += SECOND - MICROSECOND;
    assert_eq!(bench.served(7).server, home);
    bench.now += MICROSECOND;
    assert_ne!(bench.served(7).server, home);
}

#[test]
fn delegates_expire_after_30_seconds() {
    let mut bench = Bench::new(settings(), fleet());
    let home = bench.popular(7);
    let delegate = bench.served(7).server;
    assert_ne!(delegate, home);
    bench.get(8); // keeps the ticks going
    bench.pass(31 * SECOND);
    assert_eq!(bench.served(7).server, home, "its count is halved thrice by then, so none is started");
}

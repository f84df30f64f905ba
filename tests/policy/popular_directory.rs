//! Popular objects and their delegates.

use crate::support::*;
use dahliatrack::*;

#[test]
fn popular_object_gets_delegates_with_the_home_as_source() {
    let mut harness = Harness::new(settings(), endpoints());
    let home = harness.make_popular(7);
    let first = harness.first_attempt(7);
    assert_ne!(first.server, home);
    assert_eq!(first.source, home);
    assert!(first.cache_rank > 0);
    assert_eq!(harness.first_attempt(7).server, home, "only one delegate is started at a time");
    harness.end_attempt(&first, 0, AttemptResult::Ok, Some(CacheStatus::Filled));
    let second = harness.first_attempt(7);
    assert!(second.server != home && second.server != first.server);
    harness.end_attempt(&second, 0, AttemptResult::Ok, Some(CacheStatus::Filled));
    let sends: Vec<ServerId> = (0..8).map(|_| harness.serve(7).server).collect();
    for delegate in [first.server, second.server] {
        assert_eq!(sends.iter().filter(|s| **s == delegate).count(), 4, "least distributed first: {sends:?}");
    }
}

/// Guards against delegates that name an ejected home as their source: each fill postponed the probe of the home,
/// which never recovered.
#[test]
fn ejected_home_is_no_source_for_delegates_and_is_probed() {
    let mut harness = Harness::new(settings(), endpoints());
    for object in 1..60 {
        harness.make_popular(object);
        for _ in 0..2 {
            harness.serve(object);
        }
    }
    let lost = (100..200)
        .map(|object| harness.first_attempt(object))
        .find(|attempt| attempt.server.0 == 1)
        .expect("an object whose home is cache 1");
    harness.end_attempt(&lost, 0, AttemptResult::ConnectFailed, None);
    let mut probed_at = None;
    for step in 1..60 {
        harness.now += 50 * MS;
        for object in (1..60).chain([1000 + step]) {
            let attempt = harness.serve(object);
            probed_at = probed_at.or((attempt.server.0 == 1).then_some(harness.now));
            assert!(attempt.source.0 != 1 || probed_at.is_some(), "cache 1 is ejected");
        }
    }
    assert!(
        probed_at.is_some_and(|at| (SECOND..SECOND + 100 * MS).contains(&(at - Instant::ZERO))),
        "{probed_at:?}"
    );
}

#[test]
fn request_is_retried_at_the_home_after_a_delegate_miss() {
    let mut harness = Harness::new(settings(), endpoints());
    let home = harness.make_popular(7);
    let delegate = harness.first_attempt(7);
    let actions = harness.end_attempt(&delegate, 0, AttemptResult::Miss, Some(CacheStatus::SourceMiss));
    let again = attempt_in(&actions).expect("a retry at the home");
    assert_eq!(again.server, home);
    assert!([11, 12].contains(&again.source.0), "the home fills from a parent");
}

#[test]
fn no_delegate_is_used_for_1_s_after_one_failed() {
    let mut harness = Harness::new(settings(), endpoints());
    let home = harness.make_popular(7);
    let delegate = harness.first_attempt(7);
    assert_ne!(delegate.server, home);
    harness.end_attempt(&delegate, 0, AttemptResult::Rejected, Some(CacheStatus::NoFillSlot));
    harness.now += SECOND - MICROSECOND;
    assert_eq!(harness.serve(7).server, home);
    harness.now += MICROSECOND;
    assert_ne!(harness.serve(7).server, home);
}

#[test]
fn delegates_expire_after_30_seconds() {
    let mut harness = Harness::new(settings(), endpoints());
    let home = harness.make_popular(7);
    let delegate = harness.serve(7).server;
    assert_ne!(delegate, home);
    harness.first_attempt(8); // keeps the ticks going
    harness.advance(31 * SECOND);
    assert_eq!(
        harness.serve(7).server,
        home,
        "its count has been halved three times, so no delegate is started"
    );
}

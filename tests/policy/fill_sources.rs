//! Failing fill sources, where answers do not state which server failed.

use crate::support::*;
use dahliatrack::*;
use std::collections::BTreeSet;

const FAILING_PARENT: ServerId = ServerId(11);
const NON_IDEMPOTENT: ClassId = ClassId(1);

/// Returns settings where only served answers have a cache status, with a second class of non-idempotent requests.
fn settings_without_failure_status() -> Settings {
    let mut settings = settings();
    settings.limits.cache_status_detail = CacheStatusDetail::Served;
    let non_idempotent =
        Class { idempotency: Idempotency::Never, uncached: true, ..settings.classes[0].clone() };
    settings.classes.push(non_idempotent);
    settings
}

/// Sends requests for new objects one after another, each until its final answer. `fails` returns how an attempt
/// fails, if it does. Returns the number of served requests and of failed attempts.
fn play(
    harness: &mut Harness,
    objects: std::ops::Range<u64>,
    fails: impl Fn(&FillAttempt) -> Option<AttemptResult>,
) -> (usize, usize) {
    let (mut served, mut failed) = (0, 0);
    for object in objects {
        harness.now += 20 * MS;
        let (_, mut actions) = harness.send_request(object);
        for number in 0.. {
            let Some(attempt) = attempt_in(&actions) else { break };
            let failure = fails(&attempt);
            failed += usize::from(failure.is_some());
            served += usize::from(failure.is_none());
            let status = failure.is_none().then_some(CacheStatus::Filled);
            actions = harness.end_attempt(&attempt, number, failure.unwrap_or(AttemptResult::Ok), status);
        }
    }
    (served, failed)
}

fn ejected_caches(harness: &Harness) -> usize {
    harness.router.cache_counts().out_of_service
}

#[test]
fn failing_fills_eject_the_parent_but_no_cache() {
    let mut harness = Harness::new(settings_without_failure_status(), endpoints());
    let fails = |attempt: &FillAttempt| (attempt.source == FAILING_PARENT).then_some(AttemptResult::Error);
    let (served, failed) = play(&mut harness, 1..400, fails);
    assert_eq!(served, 399, "each request is served by a retry at the latest");
    // One probe a second for 8 s, and the failures until the first ejection.
    assert!(failed <= 12, "{failed} fills were sent to the failing parent");
    assert_eq!(ejected_caches(&harness), 0, "caches were ejected for failures of their source");
    let caches: BTreeSet<ServerId> = (500..560).map(|object| harness.serve(object).server).collect();
    assert_eq!(caches.len(), 3, "all caches are in use");
}

#[test]
fn parent_that_rejects_every_fill_is_ejected_but_no_cache() {
    let mut harness = Harness::new(settings_without_failure_status(), endpoints());
    let rejects =
        |attempt: &FillAttempt| (attempt.source == FAILING_PARENT).then_some(AttemptResult::Rejected);
    let (served, failed) = play(&mut harness, 1..400, rejects);
    assert_eq!(served, 399);
    assert!(failed <= 16, "{failed} fills were sent to the rejecting parent");
    assert_eq!(ejected_caches(&harness), 0);
}

#[test]
fn failed_fill_is_retried_at_the_same_cache_from_another_source() {
    let mut harness = Harness::new(settings_without_failure_status(), endpoints());
    let first = harness.first_attempt(7);
    let second = attempt_in(&harness.end_attempt(&first, 0, AttemptResult::Error, None)).expect("a retry");
    assert_eq!(second.server, first.server);
    assert_ne!(second.source, first.source);
    let third =
        attempt_in(&harness.end_attempt(&second, 1, AttemptResult::Error, None)).expect("a second retry");
    assert_ne!(third.server, first.server, "after failures with two sources the cache is at fault");
}

#[test]
fn cache_that_fails_half_its_attempts_is_ejected_alone() {
    let failing_cache = ServerId(2);
    let mut harness = Harness::new(settings_without_failure_status(), endpoints());
    let count = std::cell::Cell::new(0);
    let fails = |attempt: &FillAttempt| {
        count.set(count.get() + usize::from(attempt.server == failing_cache));
        // Two errors, then two answers, and so on.
        (attempt.server == failing_cache && count.get() % 4 < 2).then_some(AttemptResult::Error)
    };
    play(&mut harness, 1..300, fails);
    assert_eq!(ejected_caches(&harness), 1, "the failing cache alone is ejected");
    let sources: BTreeSet<ServerId> = (500..560).map(|object| harness.serve(object).source).collect();
    assert!(sources.contains(&ServerId(11)) && sources.contains(&ServerId(12)), "{sources:?}");
}

#[test]
fn requests_that_fail_everywhere_eject_no_server() {
    let mut harness = Harness::new(settings_without_failure_status(), endpoints());
    for object in 1..400 {
        harness.now += 20 * MS;
        let (_, mut actions) = harness.send_request(object);
        let malformed = object % 5 == 0;
        for number in 0.. {
            let Some(attempt) = attempt_in(&actions) else { break };
            let result = if malformed { AttemptResult::Error } else { AttemptResult::Ok };
            actions =
                harness.end_attempt(&attempt, number, result, (!malformed).then_some(CacheStatus::Filled));
        }
    }
    assert_eq!(ejected_caches(&harness), 0);
    let sources: BTreeSet<ServerId> = (500..560).map(|object| harness.serve(object).source).collect();
    assert!(sources.contains(&ServerId(11)) && sources.contains(&ServerId(12)), "{sources:?}");
}

#[test]
fn non_idempotent_requests_avoid_a_parent_that_failed_a_fill() {
    let mut harness = Harness::new(settings_without_failure_status(), endpoints());
    let fails = |attempt: &FillAttempt| (attempt.source == FAILING_PARENT).then_some(AttemptResult::Error);
    play(&mut harness, 1..60, fails);
    for object in 1000..1100 {
        harness.next_id += 1;
        let write = Request { class: NON_IDEMPOTENT, is_write: true, ..request(harness.next_id, object) };
        let attempt = attempt_in(&harness.event(Event::Request(write))).expect("an attempt");
        assert_ne!(attempt.source, FAILING_PARENT);
        harness.end_attempt(&attempt, 0, AttemptResult::Ok, Some(CacheStatus::Filled));
    }
}

//! Sources of fills that fail where the answers do not tell at which server.

use crate::support::*;
use dahliatrack::*;
use std::collections::BTreeSet;

const FAILING_PARENT: ServerId = ServerId(11);
const UNSAFE: ClassId = ClassId(1);

/// A site whose answers tell only how a served request came about, with a second class that must not run twice.
fn silent_failures() -> Settings {
    let mut settings = settings();
    settings.limits.cache_status_detail = CacheStatusDetail::Served;
    let unsafe_class =
        Class { idempotency: Idempotency::Never, uncached: true, ..settings.classes[0].clone() };
    settings.classes.push(unsafe_class);
    settings
}

/// Plays requests for new objects one after another until each has its final answer; `fails` tells how an
/// attempt fails, if it does. Gives the number of requests served and of attempts that failed.
fn play(
    bench: &mut Bench,
    objects: std::ops::Range<u64>,
    fails: impl Fn(&FillAttempt) -> Option<AttemptResult>,
) -> (usize, usize) {
    let (mut served, mut failed) = (0, 0);
    for object in objects {
        bench.now += 20 * MS;
        let (_, mut actions) = bench.ask(object);
        for attempt in 0.. {
            let Some(get) = get_of(&actions) else { break };
            let failure = fails(&get);
            failed += usize::from(failure.is_some());
            served += usize::from(failure.is_none());
            let note = failure.is_none().then_some(CacheStatus::Filled);
            actions = bench.end(&get, attempt, failure.unwrap_or(AttemptResult::Ok), note);
        }
    }
    (served, failed)
}

fn ejected_caches(bench: &Bench) -> usize {
    bench.router.cache_counts().avoided
}

#[test]
fn a_parent_whose_fills_err_is_ejected_and_no_cache_is() {
    let mut bench = Bench::new(silent_failures(), fleet());
    let errs = |get: &FillAttempt| (get.source == FAILING_PARENT).then_some(AttemptResult::Error);
    let (served, failed) = play(&mut bench, 1..400, errs);
    assert_eq!(served, 399, "each request is served by a retry at the latest");
    // One probe a second, over 8 s, and what it took to find out.
    assert!(failed <= 12, "{failed} fills were asked of the failing parent");
    assert_eq!(ejected_caches(&bench), 0, "caches were blamed for their source");
    let caches: BTreeSet<ServerId> = (500..560).map(|object| bench.served(object).server).collect();
    assert_eq!(caches.len(), 3, "all caches are in use");
}

#[test]
fn a_parent_that_rejects_every_fill_is_ejected_and_no_cache_is() {
    let mut bench = Bench::new(silent_failures(), fleet());
    let rejects = |get: &FillAttempt| (get.source == FAILING_PARENT).then_some(AttemptResult::Rejected);
    let (served, failed) = play(&mut bench, 1..400, rejects);
    assert_eq!(served, 399);
    assert!(failed <= 16, "{failed} fills were asked of the parent that rejects them");
    assert_eq!(ejected_caches(&bench), 0);
}

#[test]
fn the_retry_of_a_failed_fill_stays_at_the_cache_and_changes_the_source() {
    let mut bench = Bench::new(silent_failures(), fleet());
    let first = bench.get(7);
    let second = get_of(&bench.end(&first, 0, AttemptResult::Error, None)).expect("a retry");
    assert_eq!(second.server, first.server);
    assert_ne!(second.source, first.source);
    let third = get_of(&bench.end(&second, 1, AttemptResult::Error, None)).expect("a second retry");
    assert_ne!(third.server, first.server, "what failed with two sources is the cache's fault");
}

#[test]
fn a_cache_that_errs_half_the_time_is_ejected_and_its_sources_are_not() {
    let failing_cache = ServerId(2);
    let mut bench = Bench::new(silent_failures(), fleet());
    let count = std::cell::Cell::new(0);
    let errs = |get: &FillAttempt| {
        count.set(count.get() + usize::from(get.server == failing_cache));
        // Two errors, then two answers, and so on.
        (get.server == failing_cache && count.get() % 4 < 2).then_some(AttemptResult::Error)
    };
    play(&mut bench, 1..300, errs);
    assert_eq!(ejected_caches(&bench), 1, "the failing cache alone is ejected");
    let sources: BTreeSet<ServerId> = (500..560).map(|object| bench.served(object).source).collect();
    assert!(sources.contains(&ServerId(11)) && sources.contains(&ServerId(12)), "{sources:?}");
}

#[test]
fn requests_that_err_everywhere_eject_nobody() {
    let mut bench = Bench::new(silent_failures(), fleet());
    for object in 1..400 {
        bench.now += 20 * MS;
        let (_, mut actions) = bench.ask(object);
        let malformed = object % 5 == 0;
        for attempt in 0.. {
            let Some(get) = get_of(&actions) else { break };
            let result = if malformed { AttemptResult::Error } else { AttemptResult::Ok };
            actions = bench.end(&get, attempt, result, (!malformed).then_some(CacheStatus::Filled));
        }
    }
    assert_eq!(ejected_caches(&bench), 0);
    let sources: BTreeSet<ServerId> = (500..560).map(|object| bench.served(object).source).collect();
    assert!(sources.contains(&ServerId(11)) && sources.contains(&ServerId(12)), "{sources:?}");
}

#[test]
fn a_class_that_must_not_run_twice_avoids_a_parent_that_failed_a_fill() {
    let mut bench = Bench::new(silent_failures(), fleet());
    let errs = |get: &FillAttempt| (get.source == FAILING_PARENT).then_some(AttemptResult::Error);
    play(&mut bench, 1..60, errs);
    for object in 1000..1100 {
        bench.next += 1;
        let write = Request { class: UNSAFE, is_write: true, ..request(bench.next, object) };
        let get = get_of(&bench.event(Event::Request(write))).expect("an attempt");
        assert_ne!(get.source, FAILING_PARENT);
        bench.end(&get, 0, AttemptResult::Ok, Some(CacheStatus::Filled));
    }
}

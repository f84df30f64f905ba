//! Tests of `clock`.

use super::*;
use std::sync::atomic::{AtomicI64, Ordering};
use std::time::{Duration, UNIX_EPOCH};

const HOUR: Span = Span::from_secs(3_600);
/// Much longer than the test takes, much shorter than the steps of the wall clock.
const SLACK: Span = Span::from_secs(60);

#[test]
fn wall_clock_steps_do_not_change_monotonic_time() {
    let wall_us = Arc::new(AtomicI64::new((1_000 * HOUR).as_micros()));
    let read = Arc::clone(&wall_us);
    let wall: WallClockReader = Arc::new(move || {
        let since_epoch = Duration::from_micros(read.load(Ordering::SeqCst) as u64);
        UNIX_EPOCH + since_epoch
    });
    let clock = ServiceClock::with_wall_clock(wall);
    let start = clock.moment();
    let ahead = Span::from_micros(start.now.as_micros() - start.unix.as_micros());
    assert!((Span::ZERO..SLACK).contains(&ahead));
    for step in [HOUR, -2 * HOUR] {
        let before = clock.moment();
        wall_us.fetch_add(step.as_micros(), Ordering::SeqCst);
        let after = clock.moment();
        assert_eq!(after.unix - before.unix, step);
        let passed = after.now - before.now;
        assert!((Span::ZERO..SLACK).contains(&passed), "a step of the wall clock by {} us", step.as_micros());
    }
}

#[test]
fn unix_times_convert_by_age_and_never_to_the_future() {
    let moment = Moment { now: Instant::from_micros(500), unix: UnixTime::from_micros(7_000) };
    let converted = |unix_us: i64| {
        let unix = UnixTime::from_micros(unix_us);
        (moment.age_of(unix).as_micros(), moment.monotonic_of(unix).as_micros())
    };
    assert_eq!(converted(6_900), (100, 400));
    assert_eq!(converted(9_000), (0, 500));
}

#[test]
fn instant_at_follows_monotonic_time() {
    let clock = ServiceClock::system();
    let now = clock.now();
    let later = clock.instant_at(now + HOUR);
    assert_eq!(later - clock.instant_at(now), Duration::from_secs(3600));
    assert_eq!(clock.instant_at(now - HOUR), clock.instant_at(Instant::ZERO));
}

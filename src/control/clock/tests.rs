//! Tests of `clock`.

use crate::interface::{Span};
use super::*;
use std::sync::atomic::{AtomicI64, Ordering};
use std::time::UNIX_EPOCH;

const HOUR: Span = Span::from_secs(3_600);
/// Far longer than this test takes, far shorter than the steps.
const SLACK: Span = Span::from_secs(60);

#[test]
fn steps_of_the_wall_clock_neither_stop_nor_move_the_monotonic_time() {
    let wall_us = Arc::new(AtomicI64::new(1_000 * HOUR));
    let read = Arc::clone(&wall_us);
    let wall: WallClock = Arc::new(move || {
        let since_epoch = Duration::from_micros(read.load(Ordering::SeqCst) as u64);
        UNIX_EPOCH + since_epoch
    });
    let clock = Clock::with_wall_clock(wall);
    let start = clock.moment();
    assert!((0..SLACK).contains(&(start.now - start.unix)));
    for step in [HOUR, -2 * HOUR] {
        let before = clock.moment();
        wall_us.fetch_add(step, Ordering::SeqCst);
        let after = clock.moment();
        assert_eq!(after.unix - before.unix, step);
        assert!((0..SLACK).contains(&(after.now - before.now)), "a step of {step} us");
    }
}

#[test]
fn unix_times_are_converted_by_their_age_and_never_lie_in_the_future() {
    let moment = Moment { now: 500, unix: 7_000 };
    assert_eq!((moment.age_of(6_900), moment.monotonic_of(6_900)), (100, 400));
    assert_eq!((moment.age_of(9_000), moment.monotonic_of(9_000)), (0, 500));
}

#[test]
fn instants_follow_the_monotonic_time() {
    let clock = Clock::system();
    let now = clock.now();
    let later = clock.instant_at(now + HOUR);
    assert_eq!(later - clock.instant_at(now), Duration::from_secs(3600));
    assert_eq!(clock.instant_at(now - HOUR), clock.instant_at(0));
}

//! Tests of `clock`.

use super::*;

#[test]
fn monotonic_clock_is_not_unix_time_and_never_goes_back() {
    let (clock, wall) = (Clock::default(), WallClock::default());
    let (first, unix) = (clock.now(), wall.now());
    assert!((START..START + Span::from_secs(60)).contains(&first), "{first:?}");
    assert!(unix.as_micros() > START.as_micros() + 365 * 86_400 * 1_000_000, "{unix:?}");
    assert!(clock.now() >= first);
}

#[test]
fn wall_clock_steps_leave_the_monotonic_clock_unchanged() {
    let fabric =
        Fabric::new(Instant::ZERO + Span::from_secs(5), 1, Span::from_millis(1)..=Span::from_millis(1));
    let (clock, wall) = (Clock::simulated(&fabric), WallClock::simulated(&fabric));
    let both = || (clock.now(), wall.now());
    let at = |since_zero, unix| (Instant::ZERO + Span::from_secs(since_zero), UnixTime::from_secs(unix));
    assert_eq!(both(), at(5, 5));
    fabric.step_wall_clock(Span::from_secs(3_600));
    assert_eq!(both(), at(5, 3_605));
    fabric.step_wall_clock(-Span::from_secs(3_602));
    fabric.advance(Instant::ZERO + Span::from_secs(6));
    assert_eq!(both(), at(6, 4));
}

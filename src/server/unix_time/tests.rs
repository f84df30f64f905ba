//! Tests of `unix_time`.

use super::*;

const MS: Span = Span::from_millis(1);
const SECOND: Span = Span::from_secs(1);
const HOUR: Span = Span::from_secs(3600);
/// The reading of the monotonic clock at which the true Unix time is `UNIX`: second 100_000.
const NOW: Instant = Instant::from_micros(100_000_000_000);
const UNIX: UnixTime = UnixTime::from_secs(1_700_000_000);
const SERVER: ServerId = ServerId(7);
/// Steps of the wall clock.
const STEPS: [Span; 8] = [
    SECOND,
    Span::from_secs(2),
    Span::from_secs(5),
    HOUR,
    Span::from_secs(-1),
    Span::from_secs(-2),
    Span::from_secs(-5),
    Span::from_secs(-3600),
];

/// A time that is received in service, with the wall clock ahead by `ahead`.
fn in_service(ahead: Span) -> Reception {
    Reception { now: NOW, unix: UNIX + ahead, is_first: false }
}

/// A time that is received at the start.
fn at_start(ahead: Span) -> Reception {
    Reception { is_first: true, ..in_service(ahead) }
}

/// The converter of a process that started with the wall clock ahead by `ahead`.
fn started(ahead: Span) -> UnixTimeConverter {
    UnixTimeConverter::new(NOW - 9 * SECOND, UNIX + ahead - 9 * SECOND)
}

/// The same converter after it has recorded a copy that the origin generated 3 ms ago, for a request sent 8
/// ms ago.
fn with_bounds(ahead: Span) -> UnixTimeConverter {
    let mut converter = started(ahead);
    converter.observe_copy(NOW, (UNIX.as_millis() - 3) as u64, Some(NOW - 8 * MS));
    converter
}

#[test]
fn steady_clock_converts_times_exactly() {
    for mut converter in [started(Span::ZERO), with_bounds(Span::ZERO)] {
        assert_eq!(converter.convert_purge_time(in_service(Span::ZERO), UNIX - 2 * SECOND), NOW - 2 * SECOND);
        assert_eq!(
            converter.convert_start_time(in_service(Span::ZERO), SERVER, UNIX - 2 * SECOND),
            NOW - 2 * SECOND
        );
    }
    assert_eq!(
        with_bounds(Span::ZERO).convert_purge_time(in_service(Span::ZERO), UNIX - 900 * SECOND),
        NOW - 900 * SECOND
    );
}

#[test]
fn purge_is_never_dated_too_early_by_a_step_in_service() {
    for step in STEPS {
        for mut converter in [started(Span::ZERO), with_bounds(Span::ZERO)] {
            let made = converter.convert_purge_time(in_service(step), UNIX - 2 * SECOND);
            assert!((NOW - 2 * SECOND..=NOW).contains(&made), "step {step:?}: {made:?}");
            assert_eq!(
                converter.convert_purge_time(in_service(step), UNIX + 9 * HOUR),
                NOW,
                "step {step:?}: a purge in the future counts as now"
            );
        }
        let made = with_bounds(Span::ZERO).convert_purge_time(in_service(step), UNIX - 2 * SECOND);
        let latest = if step > Span::ZERO { NOW - 2 * SECOND + 3 * MS } else { made };
        assert_eq!(made, latest, "step {step:?}: no later than the bounds allow");
    }
}

#[test]
fn purge_is_never_dated_too_early_by_a_step_before_start() {
    for step in STEPS {
        let made = with_bounds(step).convert_purge_time(in_service(step), UNIX - 2 * SECOND);
        assert!((NOW - 2 * SECOND..=NOW).contains(&made), "step {step:?}: {made:?}");
        // Without bounds, a purge counts as now if the step makes it look old.
        let made = started(step).convert_purge_time(in_service(step), UNIX);
        assert!(made == NOW || (Span::ZERO..=MAX_FEED_DELAY).contains(&step), "step {step:?}: {made:?}");
        // A purge known at the start counts as now, whatever the wall clock reads.
        assert_eq!(started(step).convert_purge_time(at_start(step), UNIX - 2 * SECOND), NOW, "step {step:?}");
    }
}

#[test]
fn initial_purges_keep_their_distance_to_the_newest() {
    let mut converter = started(HOUR);
    converter.observe_stamp(NOW, UNIX - 10 * SECOND);
    let made = [30, 10].map(|ago| converter.convert_purge_time(at_start(HOUR), UNIX - ago * SECOND));
    assert_eq!(made, [NOW - 20 * SECOND, NOW]);
}

#[test]
fn server_start_is_converted_once_and_never_too_early() {
    // At the start, the wall clock is used, whatever it reads.
    let mut converter = started(Span::ZERO);
    assert_eq!(
        converter.convert_start_time(at_start(Span::ZERO), SERVER, UNIX - 60 * SECOND),
        NOW - 60 * SECOND
    );
    // If the same start is stated again after a step, the instant stays the same.
    assert_eq!(converter.convert_start_time(in_service(HOUR), SERVER, UNIX - 60 * SECOND), NOW - 60 * SECOND);
    // A start in the future counts as now.
    assert_eq!(started(Span::ZERO).convert_start_time(at_start(-HOUR), SERVER, UNIX), NOW);
    // A new start that a stepped clock makes look old, with and without bounds.
    for before in [Span::ZERO, HOUR] {
        let mut converter = started(before);
        assert_eq!(converter.convert_start_time(in_service(HOUR), SERVER, UNIX - SECOND), NOW);
        // The start of a server that was removed and came back is converted again.
        converter.remove(SERVER);
        assert_eq!(converter.convert_start_time(in_service(HOUR), SERVER, UNIX - SECOND), NOW);
        let latest = NOW - SECOND + 3 * MS;
        assert_eq!(with_bounds(before).convert_start_time(in_service(HOUR), SERVER, UNIX - SECOND), latest);
    }
}

#[test]
fn out_of_range_stamps_never_convert_to_the_future() {
    let [earliest, latest] = [i64::MIN, i64::MAX].map(UnixTime::from_micros);
    let mut converter = started(Span::ZERO);
    converter.observe_copy(NOW, 0, Some(NOW));
    converter.observe_copy(NOW, u64::MAX, Some(NOW));
    assert_eq!(converter.convert_purge_time(in_service(Span::ZERO), latest), NOW);
    assert!(converter.convert_purge_time(in_service(Span::ZERO), earliest) <= NOW);
    assert!(
        converter.convert_start_time(
            Reception { unix: UnixTime::EPOCH, ..in_service(Span::ZERO) },
            SERVER,
            latest
        ) <= NOW
    );
}

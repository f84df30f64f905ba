//! Tests of `instants`.

use super::*;

const MS: Span = Span::from_millis(1);
const SECOND: Span = Span::from_secs(1);
const HOUR: Span = Span::from_secs(3600);
/// The true Unix time at the monotonic clock's second 100_000.
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

/// Heard in service, with the wall clock this much ahead.
fn heard(ahead: Span) -> Reception {
    Reception { now: NOW, unix: UNIX + ahead, first: false }
}

/// Heard at the start.
fn first(ahead: Span) -> Reception {
    Reception { first: true, ..heard(ahead) }
}

/// Those of a process that started with the wall clock this much ahead.
fn started(ahead: Span) -> UnixTimeConverter {
    UnixTimeConverter::new(NOW - 9 * SECOND, UNIX + ahead - 9 * SECOND)
}

/// The same, to which a copy was told that the origin had given out 3 ms before, for a request sent 8 ms before.
fn witnessed(ahead: Span) -> UnixTimeConverter {
    let mut instants = started(ahead);
    instants.witness_copy(NOW, (UNIX.as_millis() - 3) as u64, Some(NOW - 8 * MS));
    instants
}

#[test]
fn on_a_steady_clock_times_are_exact() {
    for mut instants in [started(Span::ZERO), witnessed(Span::ZERO)] {
        assert_eq!(instants.purge(heard(Span::ZERO), UNIX - 2 * SECOND), NOW - 2 * SECOND);
        assert_eq!(instants.start(heard(Span::ZERO), SERVER, UNIX - 2 * SECOND), NOW - 2 * SECOND);
    }
    assert_eq!(witnessed(Span::ZERO).purge(heard(Span::ZERO), UNIX - 900 * SECOND), NOW - 900 * SECOND);
}

#[test]
fn a_purge_never_counts_as_older_than_it_is_if_the_clock_is_stepped_in_service() {
    for step in STEPS {
        for mut instants in [started(Span::ZERO), witnessed(Span::ZERO)] {
            let made = instants.purge(heard(step), UNIX - 2 * SECOND);
            assert!((NOW - 2 * SECOND..=NOW).contains(&made), "step {step:?}: {made:?}");
            assert_eq!(
                instants.purge(heard(step), UNIX + 9 * HOUR),
                NOW,
                "step {step:?}: one to come is now"
            );
        }
        let made = witnessed(Span::ZERO).purge(heard(step), UNIX - 2 * SECOND);
        let sure = if step > Span::ZERO { NOW - 2 * SECOND + 3 * MS } else { made };
        assert_eq!(made, sure, "step {step:?}: no later than what was heard says");
    }
}

#[test]
fn a_purge_never_counts_as_older_than_it_is_if_the_clock_was_stepped_before_the_start() {
    for step in STEPS {
        let made = witnessed(step).purge(heard(step), UNIX - 2 * SECOND);
        assert!((NOW - 2 * SECOND..=NOW).contains(&made), "step {step:?}: {made:?}");
        // As long as nothing was heard that bounds it, by a step that makes it look long ago.
        let made = started(step).purge(heard(step), UNIX);
        assert!(made == NOW || (Span::ZERO..=TOLD_WITHIN).contains(&step), "step {step:?}: {made:?}");
        // Known at the start: whatever the clock reads.
        assert_eq!(started(step).purge(first(step), UNIX - 2 * SECOND), NOW, "step {step:?}");
    }
}

#[test]
fn of_what_is_known_at_the_start_the_newest_purge_counts_as_now_and_the_others_keep_their_distance() {
    let mut instants = started(HOUR);
    instants.witness(NOW, UNIX - 10 * SECOND);
    let made = [30, 10].map(|ago| instants.purge(first(HOUR), UNIX - ago * SECOND));
    assert_eq!(made, [NOW - 20 * SECOND, NOW]);
}

#[test]
fn a_start_is_converted_once_and_one_that_is_told_in_service_is_no_older_than_sure() {
    // At the start: at the clock's word, whatever it is.
    let mut instants = started(Span::ZERO);
    assert_eq!(instants.start(first(Span::ZERO), SERVER, UNIX - 60 * SECOND), NOW - 60 * SECOND);
    // Told again, after a step: the same instant.
    assert_eq!(instants.start(heard(HOUR), SERVER, UNIX - 60 * SECOND), NOW - 60 * SECOND);
    // A start to come counts as now.
    assert_eq!(started(Span::ZERO).start(first(-HOUR), SERVER, UNIX), NOW);
    // A new start, which a stepped clock makes look long ago, with and without a bound.
    for before in [Span::ZERO, HOUR] {
        let mut instants = started(before);
        assert_eq!(instants.start(heard(HOUR), SERVER, UNIX - SECOND), NOW);
        // A server that came back is heard of anew.
        instants.forget(SERVER);
        assert_eq!(instants.start(heard(HOUR), SERVER, UNIX - SECOND), NOW);
        let sure = NOW - SECOND + 3 * MS;
        assert_eq!(witnessed(before).start(heard(HOUR), SERVER, UNIX - SECOND), sure);
    }
}

#[test]
fn stamps_that_make_no_sense_are_harmless() {
    let [earliest, latest] = [i64::MIN, i64::MAX].map(UnixTime::from_micros);
    let mut instants = started(Span::ZERO);
    instants.witness_copy(NOW, 0, Some(NOW));
    instants.witness_copy(NOW, u64::MAX, Some(NOW));
    assert_eq!(instants.purge(heard(Span::ZERO), latest), NOW);
    assert!(instants.purge(heard(Span::ZERO), earliest) <= NOW);
    assert!(instants.start(Reception { unix: UnixTime::EPOCH, ..heard(Span::ZERO) }, SERVER, latest) <= NOW);
}

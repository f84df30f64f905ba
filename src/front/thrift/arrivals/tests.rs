//! Tests of `arrivals`.

use super::*;

fn at(micros: i64) -> Instant {
    Instant::from_micros(micros)
}

/// Guards against clients that send their requests byte by byte: the record of when each byte arrived used up the memory
/// of the process.
#[test]
fn record_of_single_bytes_is_bounded() {
    let mut arrivals = Arrivals::default();
    for micros in 0..10_000 {
        arrivals.add(1, at(micros));
    }
    assert!(arrivals.0.len() <= MAX_ARRIVALS);
    assert_eq!(arrivals.take(9_999), Some(at(0)));
    let last = arrivals.take(1);
    assert!(last.is_some_and(|last| last <= at(9_999)), "a byte does not count as arrived later than it did");
    assert_eq!(arrivals.take(1), None);
}

#[test]
fn bytes_keep_their_arrival_time() {
    let mut arrivals = Arrivals::default();
    arrivals.add(5, at(10));
    arrivals.add(5, at(20));
    assert_eq!(arrivals.take(5), Some(at(10)));
    assert_eq!(arrivals.take(5), Some(at(20)));
}

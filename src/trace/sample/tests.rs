//! Tests of sampling: which times are in a slice, and the rate of the sample.

use super::*;

/// Returns the slices of a trace; times and spans are in microseconds.
fn slices(first: i64, last: i64, window: i64, slices: usize, seed: u64) -> Slices {
    let [first, last] = [first, last].map(Instant::from_micros);
    Slices::new(first, last, Span::from_micros(window), slices, seed)
}

fn replay_time(slices: &Slices, at: i64) -> Option<i64> {
    slices.replay_time(Instant::from_micros(at)).map(Span::as_micros)
}

#[test]
fn short_trace_is_taken_whole_and_longer_one_in_slices() {
    let whole = slices(100, 199, 100, 5, 1);
    assert_eq!(
        (
            replay_time(&whole, 100),
            replay_time(&whole, 199),
            replay_time(&whole, 200),
            whole.length().as_micros()
        ),
        (Some(0), Some(99), None, 100)
    );
    let sampled = slices(1000, 100_999, 10_000, 10, 1);
    assert_eq!((sampled.count(), sampled.length().as_micros()), (10, 10_000));
    let times: Vec<i64> = (0..101_000).filter_map(|at| replay_time(&sampled, at)).collect();
    assert_eq!(times, (0..10_000).collect::<Vec<_>>(), "each time of the test occurs once, in order");
    assert_eq!(sampled, slices(1000, 100_999, 10_000, 10, 1));
    assert_ne!(sampled, slices(1000, 100_999, 10_000, 10, 2));
}

/// Guards against a sample whose mean rate differs from the trace's. The rate of the trace rises tenfold and falls
/// again, so a sample that is too dense or too sparse anywhere would have another mean.
#[test]
fn sample_keeps_the_mean_rate() {
    let mut worst: f64 = 0.0;
    for seed in 0..20 {
        let (mut rates, slices) = (Rates::default(), slices(0, 3_600_000_000, 600_000_000, 20, seed));
        let mut at = 0;
        while at <= 3_600_000_000 {
            let class = if at % 7 < 2 { "result" } else { "piece" };
            *rates.trace_rows.entry(class.into()).or_default() += 1;
            if replay_time(&slices, at).is_some() {
                *rates.sampled_rows.entry(class.into()).or_default() += 1;
            }
            let part = at as f64 / 3.6e9;
            at += 1_000_000 / (5.0 + 45.0 * (std::f64::consts::PI * part).sin()) as i64 + at % 3;
        }
        (rates.trace_span, rates.sampled_span) = (Span::from_secs(3_600), slices.length());
        let RateComparison { trace, sample, error } = rates.compare()[ALL];
        assert!((sample / trace - 1.0 - error).abs() < 1e-9);
        worst = worst.max(error.abs());
    }
    assert!(worst < 0.03, "{worst}");
}

//! Tests of `refused_connections`.

use super::*;

#[test]
fn refusals_are_logged_once_a_second_with_a_count() {
    let start = Instant::from_micros(5_000_000);
    let mut log = RefusalLog::default();
    assert_eq!(log.record_refusal(start), Some(0));
    for ms in 1..=10 {
        assert_eq!(log.record_refusal(start + Span::from_millis(ms)), None);
    }
    assert_eq!(log.record_refusal(start + LOG_INTERVAL), Some(10));
    assert_eq!(log.record_refusal(start + LOG_INTERVAL), None);
}

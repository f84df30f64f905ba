//! Tests of `refused_connections`.

use super::*;

#[test]
fn a_flood_of_refusals_is_logged_once_a_second_with_the_number_of_the_others() {
    let start = Instant::from_micros(5_000_000);
    let mut log = RefusalLog::default();
    assert_eq!(log.next_line(start), Some(0));
    for ms in 1..=10 {
        assert_eq!(log.next_line(start + Span::from_millis(ms)), None);
    }
    assert_eq!(log.next_line(start + LOG_INTERVAL), Some(10));
    assert_eq!(log.next_line(start + LOG_INTERVAL), None);
}

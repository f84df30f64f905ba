//! Tests of `event_source`.

use super::*;

#[test]
fn each_source_has_its_own_number() {
    for (number, source) in EventSource::BY_NUMBER.into_iter().enumerate() {
        assert_eq!(source.number(), number);
        assert_eq!(EventSource::from_number(number), Some(source));
    }
    assert_eq!(EventSource::from_number(EventSource::BY_NUMBER.len()), None);
}

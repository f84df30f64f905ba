//! Tests of `used_trace_ids`.

use super::*;

const ID: &str = "9b1f03aa5c7e2d41";

fn at(span: Span) -> Instant {
    Instant::ZERO + span
}

#[test]
fn id_is_remembered_for_a_while() {
    let mut used = UsedTraceIds::default();
    assert!(!used.contains(ID));
    used.record(Instant::ZERO, ID);
    used.record(at(RETENTION - Span::from_millis(1)), "1");
    assert!(used.contains(ID) && used.contains("1"));
    used.record(at(RETENTION), "2");
    assert!(!used.contains(ID) && used.contains("1") && used.contains("2"));
}

/// Guards against clients that use up the memory with ids that are always new.
#[test]
fn number_of_ids_is_bounded() {
    let mut used = UsedTraceIds::default();
    used.record(Instant::ZERO, ID);
    for number in 0..2 * MAX_IDS {
        used.record(Instant::ZERO, &format!("{number:016x}"));
        assert!(used.ids.len() <= MAX_IDS && used.by_age.len() == used.ids.len());
    }
    assert!(!used.contains(ID), "the oldest is forgotten first");
}

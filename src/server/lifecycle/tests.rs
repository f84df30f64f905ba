//! Tests of `lifecycle`.

use super::*;

const START: Instant = Instant::from_micros(1_000_000);
const MS: Span = Span::from_millis(1);

#[test]
fn later_phases_keep_the_time_of_the_signal() {
    let mut phase = Phase::Accepting;
    assert!(!phase.is_shutting_down() && !phase.is_closed_to_clients());
    phase.begin_shutdown(START);
    assert!(phase.is_shutting_down() && !phase.is_closed_to_clients());
    phase.begin_closing(START + 800 * MS);
    assert!(phase.is_closed_to_clients() && !phase.is_stopped());
    phase.stop(START + 900 * MS);
    assert!(phase.is_closed_to_clients() && phase.is_stopped());
    assert_eq!(phase.shutdown_since(), Some(START));
}

#[test]
fn clients_have_time_to_close_after_the_last_answer() {
    let mut phase = Phase::Closing { since: START, answered_since: None };
    phase.set_answered(true, START);
    phase.set_answered(false, START + 100 * MS);
    assert!(!phase.is_answered());
    phase.set_answered(true, START + 200 * MS);
    phase.set_answered(true, START + 300 * MS);
    assert!(phase.is_answered());
    assert!(!phase.clients_had_time_to_close(START + 699 * MS));
    assert!(phase.clients_had_time_to_close(START + 700 * MS));
}

//! Tests of `shutdown_schedule`.

use super::*;

const SIGNALLED_AT: Instant = Instant::from_micros(1_000_000);
const MS: Span = Span::from_millis(1);

fn schedule(deadline_ms: i64, has_newer: bool) -> ShutdownSchedule {
    ShutdownSchedule { signalled_at: SIGNALLED_AT, max_client_deadline: deadline_ms * MS, has_newer }
}

#[test]
fn process_ends_before_the_kill_time() {
    for (deadline_ms, forced_ms) in [(500, 1200), (3000, 3700), (9000, 3700)] {
        for has_newer in [false, true] {
            let schedule = schedule(deadline_ms, has_newer);
            assert_eq!(schedule.kill_at(), SIGNALLED_AT + forced_ms * MS);
            assert!(schedule.final_answers_at() < schedule.latest_end());
            assert!(schedule.latest_end() < schedule.kill_at());
        }
    }
}

#[test]
fn clients_are_accepted_for_a_while_after_the_signal() {
    for (deadline_ms, accept_ms) in [(3000, 800), (300, 700), (0, 600)] {
        assert_eq!(schedule(deadline_ms, false).stop_accepting_at(), SIGNALLED_AT + accept_ms * MS);
    }
}

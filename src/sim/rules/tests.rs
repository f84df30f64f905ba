//! Tests of the rules: each one is broken just beyond its bound, and kept at the bound.

use super::*;

const FIRST: HostId = HostId(0);
const SECOND: HostId = HostId(1);
/// Connection of the first host; that of the second has the next number.
const FIRST_CONNECTION: ConnectionId = ConnectionId(7);

fn at(micros: i64) -> Instant {
    Instant::from_micros(micros)
}

fn broken_rules(rules: &Rules) -> Vec<&'static str> {
    rules.breaches.iter().map(|breach| breach.rule).collect()
}

fn attempt(host: HostId, trace: &str, sent: Instant) -> ReceivedAttempt<'_> {
    let connection = ConnectionId(FIRST_CONNECTION.0 + host.0 as u64);
    ReceivedAttempt { host, host_name: "a", connection, trace, sent, is_write: false }
}

fn write(host: HostId, trace: &str, sent: Instant) -> ReceivedAttempt<'_> {
    ReceivedAttempt { is_write: true, ..attempt(host, trace, sent) }
}

#[test]
fn repeated_write_that_may_have_run_is_a_breach() {
    let mut rules = Rules::new(at(0));
    // A write that did not run may be sent to another host. A write that may have run must not be sent again.
    // Requests that are not writes may be sent any number of times.
    rules.attempt_received(at(1), &write(FIRST, "t1", at(1)));
    rules.did_not_run(FIRST, FIRST_CONNECTION, "t1");
    rules.attempt_received(at(2), &write(SECOND, "t1", at(2)));
    rules.attempt_received(at(3), &attempt(FIRST, "t2", at(3)));
    rules.attempt_received(at(4), &attempt(SECOND, "t2", at(4)));
    assert_eq!(broken_rules(&rules), [""; 0]);
    rules.attempt_received(at(5), &write(FIRST, "t1", at(5)));
    assert_eq!(broken_rules(&rules), ["result-twice"]);
}

#[test]
fn keyed_write_is_repeated_only_within_its_window() {
    let mut rules = Rules::new(at(0)).with_dedup_window(Some(Span::from_millis(600)));
    rules.attempt_received(at(1), &write(FIRST, "t1", at(1)));
    rules.attempt_received(at(2), &write(SECOND, "t1", at(600_001) + SOCKET_SLACK));
    assert_eq!(broken_rules(&rules), [""; 0]);
    rules.attempt_received(at(3), &write(FIRST, "t1", at(600_002) + SOCKET_SLACK));
    assert_eq!(broken_rules(&rules), ["late-repeat"]);
}

#[test]
fn attempt_long_after_its_client_left_is_a_breach() {
    let mut rules = Rules::new(at(0));
    rules.client_left(at(1000), "t1");
    rules.attempt_received(at(2), &attempt(FIRST, "t1", at(1000) + CANCEL_BOUND + MAX_TRANSIT));
    assert_eq!(broken_rules(&rules), [""; 0]);
    rules.attempt_received(at(3), &attempt(FIRST, "t1", at(1001) + CANCEL_BOUND + MAX_TRANSIT));
    assert_eq!(broken_rules(&rules), ["after-leaving"]);
}

#[test]
fn drained_host_gets_attempts_only_until_its_deadline() {
    let mut rules = Rules::new(at(0));
    rules.host_drained(FIRST, at(0));
    rules.attempt_received(at(0) + DRAIN_BOUND + MAX_TRANSIT, &attempt(FIRST, "t", at(0) + DRAIN_BOUND));
    rules.host_up_again(FIRST);
    rules.attempt_received(at(0) + 9 * DRAIN_BOUND, &attempt(FIRST, "t", at(0) + 9 * DRAIN_BOUND));
    assert_eq!(broken_rules(&rules), [""; 0]);
    rules.host_drained(FIRST, at(0));
    rules.feed_cut_off(at(0), at(500_000));
    let (in_time, late) = (at(500_000) + DRAIN_BOUND, at(500_001) + DRAIN_BOUND);
    rules.attempt_received(in_time + MAX_TRANSIT, &attempt(FIRST, "t", in_time));
    assert_eq!(broken_rules(&rules), [""; 0], "the deadline moves while the feed is cut off");
    rules.attempt_received(late, &attempt(FIRST, "t", late));
    assert_eq!(broken_rules(&rules), ["drain"]);
}

#[test]
fn purged_copy_and_late_answer_are_breaches() {
    let mut rules = Rules::new(at(0));
    rules.purged("o", PurgeRule { purged_at: at(100), holds_from: at(110) + Span::from_micros(500) });
    rules.served(at(9), "o", at(50), at(610) + MAX_TRANSIT);
    rules.served(at(9), "o", at(100), at(99_999_999));
    rules.served(at(9), "p", at(50), at(99_999_999));
    rules.answered(at(1000) + ANSWER_GRACE + MAX_TRANSIT, "r", at(0), Span::from_millis(1));
    assert_eq!(broken_rules(&rules), [""; 0]);
    rules.served(at(9), "o", at(99), at(611) + MAX_TRANSIT);
    rules.answered(at(1001) + ANSWER_GRACE + MAX_TRANSIT, "r", at(0), Span::from_millis(1));
    assert_eq!(broken_rules(&rules), ["purge", "late"]);
}

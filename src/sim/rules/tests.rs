//! Tests of `rules`.

use super::*;

const FIRST: HostId = HostId(0);
const SECOND: HostId = HostId(1);
/// Each host has one connection.
const FIRST_LINK: ConnectionId = ConnectionId(7);

fn at(micros: i64) -> Instant {
    Instant::from_micros(micros)
}

fn broken(rules: &Rules) -> Vec<&'static str> {
    rules.breaches.iter().map(|breach| breach.rule).collect()
}

fn attempt(host: HostId, trace: &str, sent: Instant) -> ReceivedAttempt<'_> {
    let link = ConnectionId(FIRST_LINK.0 + host.0 as u64);
    ReceivedAttempt { host, host_name: "a", link, trace, sent, is_write: false }
}

fn write(host: HostId, trace: &str, sent: Instant) -> ReceivedAttempt<'_> {
    ReceivedAttempt { is_write: true, ..attempt(host, trace, sent) }
}

#[test]
fn a_write_that_may_have_run_is_not_sent_again() {
    let mut rules = Rules::new(at(0));
    // Did not run, and sent elsewhere: allowed. May have run, and sent again: not.
    rules.attempt_received(at(1), &write(FIRST, "t1", at(1)));
    rules.did_not_run(FIRST, FIRST_LINK, "t1");
    rules.attempt_received(at(2), &write(SECOND, "t1", at(2)));
    rules.attempt_received(at(3), &attempt(FIRST, "t2", at(3)));
    rules.attempt_received(at(4), &attempt(SECOND, "t2", at(4)));
    assert_eq!(broken(&rules), [""; 0]);
    rules.attempt_received(at(5), &write(FIRST, "t1", at(5)));
    assert_eq!(broken(&rules), ["result-twice"]);
}

#[test]
fn a_write_with_a_key_is_repeated_within_its_window_only() {
    let mut rules = Rules::new(at(0)).with_dedup_window(Some(Span::from_millis(600)));
    rules.attempt_received(at(1), &write(FIRST, "t1", at(1)));
    rules.attempt_received(at(2), &write(SECOND, "t1", at(600_001) + SOCKET_SLACK));
    assert_eq!(broken(&rules), [""; 0]);
    rules.attempt_received(at(3), &write(FIRST, "t1", at(600_002) + SOCKET_SLACK));
    assert_eq!(broken(&rules), ["late-repeat"]);
}

#[test]
fn no_attempt_begins_well_after_its_client_left() {
    let mut rules = Rules::new(at(0));
    rules.client_left(at(1000), "t1");
    rules.attempt_received(at(2), &attempt(FIRST, "t1", at(1000) + CANCEL_BOUND + MAX_TRANSIT));
    assert_eq!(broken(&rules), [""; 0]);
    rules.attempt_received(at(3), &attempt(FIRST, "t1", at(1001) + CANCEL_BOUND + MAX_TRANSIT));
    assert_eq!(broken(&rules), ["after-leaving"]);
}

#[test]
fn a_drained_host_is_sent_to_within_the_bound_only_and_again_once_it_is_back() {
    let mut rules = Rules::new(at(0));
    rules.host_left(FIRST, at(0));
    rules.attempt_received(at(0) + DRAIN_BOUND + MAX_TRANSIT, &attempt(FIRST, "t", at(0) + DRAIN_BOUND));
    rules.host_returned(FIRST);
    rules.attempt_received(at(0) + 9 * DRAIN_BOUND, &attempt(FIRST, "t", at(0) + 9 * DRAIN_BOUND));
    assert_eq!(broken(&rules), [""; 0]);
    rules.host_left(FIRST, at(0));
    rules.feed_cut(at(0), at(500_000));
    let (in_time, late) = (at(500_000) + DRAIN_BOUND, at(500_001) + DRAIN_BOUND);
    rules.attempt_received(in_time + MAX_TRANSIT, &attempt(FIRST, "t", in_time));
    assert_eq!(broken(&rules), [""; 0], "the feed was cut off");
    rules.attempt_received(late, &attempt(FIRST, "t", late));
    assert_eq!(broken(&rules), ["drain"]);
}

#[test]
fn a_copy_older_than_its_purge_and_a_late_answer_are_breaches() {
    let mut rules = Rules::new(at(0));
    rules.purged("o", PurgeRule { purged_at: at(100), holds_from: at(110) + Span::from_micros(500) });
    rules.served(at(9), "o", at(50), at(610) + MAX_TRANSIT);
    rules.served(at(9), "o", at(100), at(99_999_999));
    rules.served(at(9), "p", at(50), at(99_999_999));
    rules.answered(at(1000) + ANSWER_GRACE + MAX_TRANSIT, "r", at(0), Span::from_millis(1));
    assert_eq!(broken(&rules), [""; 0]);
    rules.served(at(9), "o", at(99), at(611) + MAX_TRANSIT);
    rules.answered(at(1001) + ANSWER_GRACE + MAX_TRANSIT, "r", at(0), Span::from_millis(1));
    assert_eq!(broken(&rules), ["purge", "late"]);
}

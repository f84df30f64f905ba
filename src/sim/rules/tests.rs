//! Tests of `rules`.

use super::*;

fn at(micros: i64) -> Instant {
    Instant::from_micros(micros)
}

fn words(rules: &Rules) -> Vec<&'static str> {
    rules.breaches.iter().map(|breach| breach.rule).collect()
}

#[test]
fn planted_breaches_are_found_and_what_is_allowed_is_not() {
    let mut rules = Rules::new(at(0));
    // Never ran, and sent elsewhere: allowed. May have run, and sent again: not.
    rules.fetched(at(1), at(1), (0, "a"), 7, "t1", true);
    rules.never_ran(0, 7, "t1");
    rules.fetched(at(2), at(2), (1, "b"), 8, "t1", true);
    rules.fetched(at(3), at(3), (0, "a"), 7, "t2", false);
    rules.fetched(at(4), at(4), (1, "b"), 8, "t2", false);
    assert_eq!(words(&rules), [""; 0]);
    rules.fetched(at(5), at(5), (0, "a"), 7, "t1", true);
    assert_eq!(words(&rules), ["result-twice"]);
    // Where repeats have a window, one within it is allowed, and one after it not.
    let mut rules = Rules::new(at(0)).with_window(Some(Span::from_millis(600)));
    rules.fetched(at(1), at(1), (0, "a"), 7, "t1", true);
    rules.fetched(at(2), at(600_001) + SLACK, (1, "b"), 8, "t1", true);
    assert_eq!(words(&rules), [""; 0]);
    rules.fetched(at(3), at(600_002) + SLACK, (0, "a"), 7, "t1", true);
    assert_eq!(words(&rules), ["late-repeat"]);
    // What was under way as its client left is no breach, what begins well after it is.
    let mut rules = Rules::new(at(0));
    rules.client_left(at(1000), "t1");
    rules.fetched(at(2), at(1000) + LEFT + WAY, (0, "a"), 7, "t1", false);
    assert_eq!(words(&rules), [""; 0]);
    rules.fetched(at(3), at(1001) + LEFT + WAY, (0, "a"), 7, "t1", false);
    assert_eq!(words(&rules), ["after-leaving"]);
    // Within a second of the drain a host may still be sent to; and again once it is back.
    let mut rules = Rules::new(at(0));
    rules.left(0, at(0));
    rules.fetched(at(0) + DRAIN + WAY, at(0) + DRAIN, (0, "a"), 7, "t", false);
    rules.came(0);
    rules.fetched(at(0) + 9 * DRAIN, at(0) + 9 * DRAIN, (0, "a"), 7, "t", false);
    assert_eq!(words(&rules), [""; 0]);
    rules.left(0, at(0));
    rules.feed_cut(at(0), at(500_000));
    rules.fetched(at(500_000) + DRAIN + WAY, at(500_000) + DRAIN, (0, "a"), 7, "t", false);
    assert_eq!(words(&rules), [""; 0], "the feed was cut off");
    rules.fetched(at(500_001) + DRAIN, at(500_001) + DRAIN, (0, "a"), 7, "t", false);
    assert_eq!(words(&rules), ["drain"]);
    let mut rules = Rules::new(at(0));
    rules.purged("o", at(100), at(110), Span::from_micros(500));
    rules.served(at(9), "o", at(50), at(610) + WAY);
    rules.served(at(9), "o", at(100), at(99_999_999));
    rules.served(at(9), "p", at(50), at(99_999_999));
    rules.answered(at(1000) + LATE + WAY, "r", at(0), Span::from_millis(1));
    assert_eq!(words(&rules), [""; 0]);
    rules.served(at(9), "o", at(99), at(611) + WAY);
    rules.answered(at(1001) + LATE + WAY, "r", at(0), Span::from_millis(1));
    assert_eq!(words(&rules), ["purge", "late"]);
}

//! Tests of `rules`.

use super::*;

fn words(rules: &Rules) -> Vec<&'static str> {
    rules.breaches.iter().map(|breach| breach.rule).collect()
}

#[test]
fn planted_breaches_are_found_and_what_is_allowed_is_not() {
    let mut rules = Rules::new(0);
    // Never ran, and sent elsewhere: allowed. May have run, and sent again: not.
    rules.fetched(1, 1, (0, "a"), 7, "t1", true);
    rules.never_ran(0, 7, "t1");
    rules.fetched(2, 2, (1, "b"), 8, "t1", true);
    rules.fetched(3, 3, (0, "a"), 7, "t2", false);
    rules.fetched(4, 4, (1, "b"), 8, "t2", false);
    assert_eq!(words(&rules), [""; 0]);
    rules.fetched(5, 5, (0, "a"), 7, "t1", true);
    assert_eq!(words(&rules), ["result-twice"]);
    // Where repeats have a window, one within it is allowed, and one after it not.
    let mut rules = Rules::new(0).with_window(Some(600_000));
    rules.fetched(1, 1, (0, "a"), 7, "t1", true);
    rules.fetched(2, 600_001 + SLACK, (1, "b"), 8, "t1", true);
    assert_eq!(words(&rules), [""; 0]);
    rules.fetched(3, 600_002 + SLACK, (0, "a"), 7, "t1", true);
    assert_eq!(words(&rules), ["late-repeat"]);
    // What was under way as its client left is no breach, what begins well after it is.
    let mut rules = Rules::new(0);
    rules.client_left(1000, "t1");
    rules.fetched(2, 1000 + LEFT + WAY, (0, "a"), 7, "t1", false);
    assert_eq!(words(&rules), [""; 0]);
    rules.fetched(3, 1001 + LEFT + WAY, (0, "a"), 7, "t1", false);
    assert_eq!(words(&rules), ["after-leaving"]);
    // Within a second of the drain a host may still be sent to; and again once it is back.
    let mut rules = Rules::new(0);
    rules.left(0, 0);
    rules.fetched(DRAIN + WAY, DRAIN, (0, "a"), 7, "t", false);
    rules.came(0);
    rules.fetched(9 * DRAIN, 9 * DRAIN, (0, "a"), 7, "t", false);
    assert_eq!(words(&rules), [""; 0]);
    rules.left(0, 0);
    rules.feed_cut(0, 500_000);
    rules.fetched(DRAIN + WAY + 500_000, DRAIN + 500_000, (0, "a"), 7, "t", false);
    assert_eq!(words(&rules), [""; 0], "the feed was cut off");
    rules.fetched(DRAIN + 500_001, DRAIN + 500_001, (0, "a"), 7, "t", false);
    assert_eq!(words(&rules), ["drain"]);
    let mut rules = Rules::new(0);
    rules.purged("o", 100, 110, 500);
    rules.served(9, "o", 50, 610 + WAY);
    rules.served(9, "o", 100, 99_999_999);
    rules.served(9, "p", 50, 99_999_999);
    rules.answered(1000 + LATE + WAY, "r", 0, 1000);
    assert_eq!(words(&rules), [""; 0]);
    rules.served(9, "o", 99, 611 + WAY);
    rules.answered(1001 + LATE + WAY, "r", 0, 1000);
    assert_eq!(words(&rules), ["purge", "late"]);
}

//! Tests of `debounce`.

use super::*;

#[test]
fn what_may_wait_is_told_when_it_is_quiet_or_late_and_drains_at_once() {
    let mut debounce = Debounce::new(50, 250);
    assert!(!debounce.changed(0, Urgency::Soon) && debounce.due() == Some(50));
    // Changes that keep coming put it off, but not for good.
    for at in (40..=240).step_by(40) {
        assert!(!debounce.ripe(at) && !debounce.changed(at, Urgency::Soon), "at {at}");
    }
    assert_eq!(debounce.due(), Some(250));
    assert!(debounce.ripe(250) && debounce.due().is_none());
    // A drain takes along what waits.
    assert!(!debounce.changed(300, Urgency::Soon) && debounce.changed(310, Urgency::Now));
    assert!(debounce.due().is_none() && !debounce.changed(320, Urgency::None));
    let mut at_once = Debounce::new(0, 0);
    assert!(at_once.changed(5, Urgency::Soon));
}

//! Tests of `debounce`.

use super::*;

#[test]
fn soon_changes_are_debounced_and_now_publishes_at_once() {
    let ms = Duration::from_millis;
    let start = Instant::now();
    let mut debounce = Debounce::new(ms(50), ms(250));
    assert!(!debounce.changed(start, Urgency::Soon));
    assert_eq!(debounce.due(), Some(start + ms(50)));
    // Further changes delay the publication, but only up to the maximum delay.
    for after in (40..=240).step_by(40) {
        let now = start + ms(after);
        assert!(!debounce.take_due(now) && !debounce.changed(now, Urgency::Soon), "after {after} ms");
    }
    assert_eq!(debounce.due(), Some(start + ms(250)));
    assert!(debounce.take_due(start + ms(250)) && debounce.due().is_none());
    // An urgent change publishes the pending changes with it.
    assert!(!debounce.changed(start + ms(300), Urgency::Soon));
    assert!(debounce.changed(start + ms(310), Urgency::Now));
    assert!(debounce.due().is_none() && !debounce.changed(start + ms(320), Urgency::None));
    let mut at_once = Debounce::new(ms(0), ms(0));
    assert!(at_once.changed(start, Urgency::Soon));
}

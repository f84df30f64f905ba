//! Tests of `slots`.

use super::*;

#[test]
fn stale_keys_never_match_a_reused_slot() {
    let mut slots = Slots::default();
    let old = slots.insert('a');
    assert_eq!(slots.remove(old), Some('a'));
    let new = slots.insert('b');
    assert_eq!(slots.remove(old), None);
    assert_eq!((old.index, slots.get(old)), (new.index, None));
    assert_eq!((slots.get(new), slots.len()), (Some(&'b'), 1));
    assert_eq!(Key::from_number(new.number()), new);
}

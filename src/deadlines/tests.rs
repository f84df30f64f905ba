//! Tests of `deadlines`.

use super::*;

#[test]
fn they_fall_in_order_and_not_when_taken_back() {
    let mut deadlines: Deadlines<char> = Deadlines::default();
    let schedule: &mut dyn Schedule<char> = &mut deadlines;
    schedule.add(20, 'c');
    let gone = schedule.add(10, 'x');
    schedule.add(10, 'a');
    schedule.add(10, 'b');
    schedule.remove(gone);
    assert_eq!(deadlines.next(), Some(10));
    let fallen: Vec<char> = std::iter::from_fn(|| deadlines.pop(15)).collect();
    assert_eq!((fallen, deadlines.pop(19), deadlines.pop(20)), (vec!['a', 'b'], None, Some('c')));
}

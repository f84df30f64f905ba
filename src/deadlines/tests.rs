//! Tests of `deadlines`.

use super::*;

fn at(micros: i64) -> Instant {
    Instant::from_micros(micros)
}

#[test]
fn deadlines_pass_in_order_unless_removed() {
    let mut deadlines: Deadlines<char> = Deadlines::default();
    let schedule: &mut dyn Schedule<char> = &mut deadlines;
    schedule.add(at(20), 'c');
    let removed = schedule.add(at(10), 'x');
    schedule.add(at(10), 'a');
    schedule.add(at(10), 'b');
    schedule.remove(removed);
    assert_eq!(deadlines.next(), Some(at(10)));
    let passed: Vec<char> = std::iter::from_fn(|| deadlines.pop(at(15))).collect();
    assert_eq!((passed, deadlines.pop(at(19)), deadlines.pop(at(20))), (vec!['a', 'b'], None, Some('c')));
}

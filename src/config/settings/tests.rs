//! Tests of `settings`.

use super::*;

fn parsed(classes: &[(&str, Span, Idempotency)]) -> SiteSettings {
    let text = include_str!("example.json");
    let mut parsed = parse(text.as_bytes()).expect("usable");
    let like = parsed.settings.classes[0].clone();
    let class = |(_, deadline, effect): &(_, _, _)| Class {
        client_deadline: *deadline,
        idempotency: *effect,
        ..like.clone()
    };
    parsed.settings.classes = classes.iter().map(class).collect();
    parsed.names.classes = classes.iter().map(|(name, ..)| (*name).to_owned()).collect();
    parsed.names.deadlines = classes.iter().map(|(_, deadline, _)| *deadline).collect();
    parsed.names.writes = classes.iter().map(|(.., effect)| *effect != Idempotency::Always).collect();
    parsed.names.retired = vec![false; classes.len()];
    parsed
}

/// The numbers that the names have, and how many records there are.
fn numbers(parsed: &SiteSettings) -> (Vec<Option<u16>>, usize) {
    let number = |name| parsed.names.class(name).map(|class| class.0);
    let n = parsed.settings.classes.len();
    assert!([parsed.names.classes.len(), parsed.names.writes.len(), parsed.names.deadlines.len()] == [n; 3]);
    let retired = parsed.settings.classes.iter().map(|class| class.retired);
    assert!(retired.eq(parsed.names.retired.iter().copied()));
    (["a", "b", "c"].map(number).to_vec(), n)
}

#[test]
fn a_class_keeps_its_number_as_long_as_its_rules() {
    use Idempotency::{Always, Never};
    let [five, six, seven] = [5, 6, 7].map(Span::from_micros);
    let first = parsed(&[("a", five, Always), ("b", six, Always)]);
    let steps = [
        (vec![("b", six, Always), ("a", five, Always)], (vec![Some(0), Some(1), None], 2)),
        (vec![("a", five, Never), ("b", six, Always)], (vec![Some(2), Some(1), None], 3)),
        (vec![("c", six, Always)], (vec![None, None, Some(3)], 4)),
        (vec![("a", five, Always), ("c", six, Always)], (vec![Some(4), None, Some(3)], 5)),
        (vec![("a", five, Always), ("c", seven, Always)], (vec![Some(4), None, Some(5)], 6)),
    ];
    let mut now = first;
    for (classes, wanted) in steps {
        let (next, moved) = parsed(&classes).following(&now).expect("usable");
        assert_eq!((numbers(&next), moved), (wanted, false), "{classes:?}");
        now = next;
    }
    assert_eq!(now.settings.classes[0].idempotency, Always, "open requests go on by the old record");
    let mut moved = parsed(&[("a", five, Always)]);
    (moved.settings.topology.zone, moved.settings.limits.max_attempts) = (ZoneId(0), 1);
    let (next, moved) = moved.following(&now).expect("usable");
    assert_eq!(
        (next.settings.topology.zone, next.settings.limits.max_attempts, moved),
        (now.settings.topology.zone, 1, true)
    );
}

//! Tests of `settings`.

use super::*;
use crate::interface::{Class, Idempotency, Span, ZoneId};

/// Returns the settings of the example with the given classes (name, deadline, idempotency).
fn settings_with(classes: &[(&str, Span, Idempotency)]) -> SiteSettings {
    let text = include_str!("example.json");
    let mut settings = SiteSettings::parse(text.as_bytes()).expect("the settings are usable");
    let template = settings.policy.classes[0].clone();
    let class = |(_, client_deadline, idempotency): &(_, _, _)| Class {
        client_deadline: *client_deadline,
        idempotency: *idempotency,
        ..template.clone()
    };
    settings.policy.classes = classes.iter().map(class).collect();
    let named = classes.iter().zip(&settings.policy.classes);
    settings.program.classes =
        named.map(|((name, ..), class)| ClassInfo::new((*name).to_owned(), class)).collect();
    settings
}

/// Returns the numbers of the classes `a`, `b` and `c`, and the number of all classes.
fn class_numbers(settings: &SiteSettings) -> (Vec<Option<u16>>, usize) {
    let SiteSettings { policy, program } = settings;
    assert_eq!(program.classes.len(), policy.classes.len());
    for (info, class) in program.classes.iter().zip(&policy.classes) {
        let expected = ClassInfo { retired: class.retired, ..ClassInfo::new(info.name.clone(), class) };
        assert_eq!(*info, expected);
    }
    let number = |name| program.class(name).map(|class| class.0);
    (["a", "b", "c"].map(number).to_vec(), policy.classes.len())
}

#[test]
fn class_keeps_its_number_while_its_rules_are_unchanged() {
    use Idempotency::{Always, Never};
    let [five, six, seven] = [5, 6, 7].map(Span::from_micros);
    let first = settings_with(&[("a", five, Always), ("b", six, Always)]);
    let steps = [
        (vec![("b", six, Always), ("a", five, Always)], (vec![Some(0), Some(1), None], 2)),
        (vec![("a", five, Never), ("b", six, Always)], (vec![Some(2), Some(1), None], 3)),
        (vec![("c", six, Always)], (vec![None, None, Some(3)], 4)),
        (vec![("a", five, Always), ("c", six, Always)], (vec![Some(4), None, Some(3)], 5)),
        (vec![("a", five, Always), ("c", seven, Always)], (vec![Some(4), None, Some(5)], 6)),
    ];
    let mut running = first;
    for (classes, expected) in steps {
        let Reconfiguration { settings, needs_restart } =
            settings_with(&classes).reconfigure(&running).expect("the settings are usable");
        assert_eq!((class_numbers(&settings), needs_restart), (expected, false), "{classes:?}");
        running = settings;
    }
    assert_eq!(running.policy.classes[0].idempotency, Always, "open requests keep the old rules");
    let mut moved = settings_with(&[("a", five, Always)]);
    (moved.policy.topology.zone, moved.policy.limits.max_attempts) = (ZoneId(0), 1);
    let Reconfiguration { settings, needs_restart } =
        moved.reconfigure(&running).expect("the settings are usable");
    let (topology, limits) = (&settings.policy.topology, &settings.policy.limits);
    assert_eq!((topology.zone, limits.max_attempts, needs_restart), (running.policy.topology.zone, 1, true));
}

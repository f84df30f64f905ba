//! Tests of `faults`.

use super::*;

#[test]
fn a_seed_has_one_script_and_a_file_weighs_its_kinds() {
    let plan = Plan::default();
    assert_eq!(plan.script(7), plan.script(7));
    assert_ne!(plan.script(7), plan.script(8));
    let read = |text: &str| Plan::parse(Doc { file: "f.hcl", text }).map_err(|error| error.to_string());
    let zeros: String =
        KINDS.iter().filter(|(kind, _)| *kind != "crash").map(|(k, _)| format!("  {k} = 0\n")).collect();
    let only = read(&format!("sim {{\n faults = 20\n weights {{\n{zeros} }}\n}}")).expect("usable");
    let drawn: Vec<Fault> = (0..20).flat_map(|seed| only.script(seed)).collect();
    assert!(drawn.len() > 50 && drawn.iter().all(|fault| fault.what == What::Crash));
    let hosts = Plan::default().of_hosts();
    let others = |fault: &Fault| {
        matches!(fault.what, What::Crash | What::Upgrade | What::FeedReset | What::ClientGone { .. })
    };
    assert!((0..50).flat_map(|seed| hosts.script(seed)).all(|fault| !others(&fault)));
    for (text, wanted) in [
        ("sim {\n caches = 0\n}", "f.hcl:2:11: caches wants a whole number from 1 to 50"),
        (
            "sim {\n weights {\n  sillent = 1\n }\n}",
            "f.hcl:3:3: no key \"sillent\"; did you mean \"silent\"?",
        ),
        ("", "f.hcl:1:1: no sim block"),
    ] {
        assert_eq!(read(text), Err(wanted.to_owned()));
    }
}

//! Tests of which faults a seed and a faults file produce.

use super::host_faults::HOST_FAULTS;
use super::system_faults::{HOUR_MS, SYSTEM_FAULTS};
use super::*;
use crate::config::hcl_document::HclDocument;

fn is_system_fault(fault: &Fault) -> bool {
    matches!(
        fault.kind,
        FaultKind::ClockStep { .. }
            | FaultKind::AcceptFails { .. }
            | FaultKind::Exhausted { .. }
            | FaultKind::ConnectFails { .. }
            | FaultKind::LinksFail { .. }
            | FaultKind::ShortIo { .. }
            | FaultKind::Interrupted { .. }
    )
}

#[test]
fn system_faults_do_not_change_the_other_faults() {
    let (plan, without) = (RunPlan::default(), RunPlan::default().without_system_faults());
    let mut drawn = 0;
    for seed in 0..200 {
        let (system, others): (Vec<Fault>, Vec<Fault>) =
            plan.script(seed).into_iter().partition(is_system_fault);
        assert_eq!(others, without.script(seed), "seed {seed}");
        drawn += system.len();
    }
    assert!(drawn > 200, "{drawn}");
    let steps = (0..500).flat_map(|seed| plan.script(seed)).filter_map(|fault| match fault.kind {
        FaultKind::ClockStep { ms } => Some(ms),
        _ => None,
    });
    let steps: Vec<i64> = steps.collect();
    assert!([HOUR_MS, -HOUR_MS].iter().all(|hour| steps.contains(hour)), "{steps:?}");
    let seconds = |ms: &i64| (1000..=10_000).contains(&ms.abs());
    assert!(steps.iter().any(|ms| seconds(ms) && *ms > 0) && steps.iter().any(|ms| seconds(ms) && *ms < 0));
}

#[test]
fn seed_determines_the_faults_and_the_file_their_weights() {
    let plan = RunPlan::default();
    assert_eq!(plan.script(7), plan.script(7));
    assert_ne!(plan.script(7), plan.script(8));
    let read =
        |text: &str| RunPlan::parse(HclDocument { file: "f.hcl", text }).map_err(|error| error.to_string());
    let host_faults = HOST_FAULTS.iter().map(|kind| kind.name);
    let all = host_faults.chain(SYSTEM_FAULTS.iter().map(|kind| kind.name));
    let all = all.filter(|name| *name != "crash");
    let zeros: String = all.map(|name| format!("  {name} = 0\n")).collect();
    let only = read(&format!("sim {{\n faults = 20\n weights {{\n{zeros} }}\n}}"))
        .expect("the faults file is valid");
    let drawn: Vec<Fault> = (0..20).flat_map(|seed| only.script(seed)).collect();
    assert!(drawn.len() > 50 && drawn.iter().all(|fault| fault.kind == FaultKind::Crash));
    let hosts = RunPlan::default().only_host_faults();
    let others = |fault: &Fault| {
        is_system_fault(fault)
            || matches!(
                fault.kind,
                FaultKind::Crash | FaultKind::Upgrade | FaultKind::FeedReset | FaultKind::ClientGone { .. }
            )
    };
    assert!((0..50).flat_map(|seed| hosts.script(seed)).all(|fault| !others(&fault)));
    for (text, wanted) in [
        ("sim {\n caches = 0\n}", "f.hcl:2:11: caches must be a whole number from 1 to 50"),
        (
            "sim {\n weights {\n  sillent = 1\n }\n}",
            "f.hcl:3:3: no key \"sillent\"; did you mean \"silent\"?",
        ),
        ("", "f.hcl:1:1: the file has no sim block"),
    ] {
        assert_eq!(read(text), Err(wanted.to_owned()));
    }
}

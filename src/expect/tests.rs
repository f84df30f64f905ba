use super::expectation::{Reweighting, Scenario};
use super::explore::{explore, scenario_at_point, ExploreInput};
use super::lint::Finding;
use super::verdict::{Choices, Verdict};
use super::*;
use crate::config::hcl_document::Position;
use crate::interface::{ClassId, ObjectId, ServerId, ZoneId};
use crate::standin::site::{config, Shape};
use serde_json::Value;

/// Returns a configuration with three points of four caches each, two hubs of two parents each, and the
/// origin.
fn site_config() -> Value {
    config(&Shape::default(), "127.0.0.1:1", |n| format!("127.0.0.1:{}", 2 + n))
}

fn parse_site(text: &Value) -> Site {
    Site::from_config(&Config::parse(text.to_string().as_bytes()).expect("it is usable"))
}

fn check_text(site: &Site, text: &str) -> Result<Report, String> {
    let suite = parse(HclDocument { file: "e.hcl", text }, site);
    let suite = suite.map_err(|errors| ExpectError::Expectations(errors).to_string())?;
    Ok(check_site(site, &suite, "e.hcl").expect("a router can start"))
}

fn single_verdict(site: &Site, text: &str) -> Verdict {
    let report = check_text(site, text).expect("the expectations are usable");
    let [verdict] = &report.verdicts[..] else { panic!("{} verdicts", report.verdicts.len()) };
    verdict.clone()
}

/// Returns an object's home at the first point, and the cache that is its home when that one is draining.
fn home_and_next(site: &Site, object: ObjectId) -> [ServerId; 2] {
    let mut found = Vec::new();
    let mut scenario = Scenario::default();
    for _ in 0..2 {
        let input =
            ExploreInput { point: ZoneId(0), class: ClassId(0), objects: &[object], repeats: 1, seed: 1 };
        let trace = explore(site, &scenario, input).expect("a router can start");
        let home = trace.checked_decisions().next().expect("a decision was made").server;
        scenario.drained.push(home);
        found.push(home);
    }
    [found[0], found[1]]
}

const OBJECT: ObjectId = ObjectId(0x7f3a_9c21_e0b4_d655);

#[test]
fn broken_rule_names_its_scenario_position_and_server() {
    let site = parse_site(&site_config());
    let [home, next] = home_and_next(&site, OBJECT).map(|server| site.name(server).to_owned());
    let body = format!("class = \"piece\"\n objects = [\"7f3a9c21e0b4d655\"]\n from_point = \"north\"\n goes_to = [\"{home}\"]");
    assert!(single_verdict(&site, &format!("expect \"e\" {{\n {body}\n}}")).passed);
    let verdict =
        single_verdict(&site, &format!("expect \"e\" {{\n {body}\n when {{ each_drained = \"cache\" }}\n}}"));
    let [broken] = &verdict.broken[..] else { panic!("{verdict:?}") };
    let at = Position { line: 5, column: 12 };
    assert_eq!((broken.rule, broken.at, broken.server.as_deref()), ("goes_to", at, Some(next.as_str())));
    let start = format!(
        "piece 7f3a9c21e0b4d655 at point north, when drained {home}: it goes to {next} (cache:north)"
    );
    assert!(broken.reason.starts_with(&start), "{}", broken.reason);
    assert_eq!(verdict.choices, Choices::Fixed);
}

#[test]
fn failure_by_random_choice_repeats_with_its_seed() {
    let site = parse_site(&site_config());
    let [_, next] = home_and_next(&site, OBJECT).map(|server| site.name(server).to_owned());
    let text = |rule: &str, seeds: u64| {
        format!(
            "explore {{\n seeds = {seeds}\n}}\nexpect \"e\" {{\n class = \"piece\"\n objects = [\"7f3a9c21e0b4d655\"]\n \
             from_point = \"north\"\n popular = true\n {rule}\n}}"
        )
    };
    // The next cache becomes a delegate with some seeds only.
    let never = format!("never_goes_to = [\"{next}\"]");
    let failed = single_verdict(&site, &text(&never, 16));
    let [broken] = &failed.broken[..] else { panic!("{failed:?}") };
    assert_eq!(broken.server.as_deref(), Some(next.as_str()));
    assert_eq!(format!("{failed:?}"), format!("{:?}", single_verdict(&site, &text(&never, 16))));
    let one_seed = text(&never, 1).replace("explore {", &format!("explore {{\n seed = {}", broken.seed));
    assert!(!single_verdict(&site, &one_seed).passed, "the seed in the report reproduces the failure");
    // A verdict states whether random choices that were not explored could break the rule.
    let home_too = single_verdict(&site, &text("caches_at_most = 3", 8));
    assert!(home_too.passed);
    assert!(matches!(home_too.choices, Choices::Explored { seeds: [1, 8], eligible: 4, .. }), "{home_too:?}");
    let any = single_verdict(&site, &text("goes_to = \"own-cache\"", 8));
    assert!(any.passed);
    assert_eq!(any.choices, Choices::Bounded { eligible: 4 });
}

#[test]
fn unusable_expectations_are_errors_with_line_and_column() {
    let site = parse_site(&site_config());
    let errors = |text: &str| check_text(&site, text).map(|report| report.passed);
    let cases = [
        (
            "expect \"e\" {\n  class = \"peice\"\n  acyclic = true\n}",
            "e.hcl:2:11: no class \"peice\"; did you mean \"piece\"?",
        ),
        ("expect \"e\" {\n  goes_to = [\"origin\", \"cache-7\"]\n}", "e.hcl:2:24: no server \"cache-7\"; "),
        (
            "expect \"e\" {\n  never_goes_to = \"hub:north\"\n}",
            "e.hcl:2:19: hub:north matches no server of the endpoint list",
        ),
        (
            "expect \"e\" {\n  from_point = \"castle\"\n  acyclic = true\n}",
            "e.hcl:2:16: zone \"castle\" is not a point: it has no edge proxies",
        ),
        (
            "expect \"e\" {\n  goes_to = \"cache:nroth\"\n}",
            "e.hcl:2:13: no zone \"nroth\"; did you mean \"north\"?",
        ),
        ("expect \"e\" {\n  class = \"piece\"\n}", "e.hcl:1:1: expectation \"e\" has no rule"),
        ("expect \"e\" {\n  acyclic = true\n  when { }\n}", "e.hcl:3:3: this when block changes no server"),
        (
            "expect \"e\" {\n  acyclic = true\n  when { late = true }\n}",
            "e.hcl:3:3: this when block changes no server",
        ),
        (
            "expect \"e\" {\n  rank_at_most = 4\n}",
            "e.hcl:2:18: rank_at_most must be a whole number from 0 to 3",
        ),
        ("expect \"e\" {\n  answer = \"maybe\"\n}", "e.hcl:2:12: answer must be served, refused or failed"),
        (
            "expect \"e\" {\n  objects = [\"7f\"]\n  acyclic = true\n}",
            "e.hcl:2:14: \"7f\" is not 16 hex digits",
        ),
        (
            "expect \"e\" {\n  acyclic = true\n  when {\n    drained = \"own-cache\"\n  }\n}",
            "e.hcl:4:15: own-cache and own-hub depend on the point; ",
        ),
        (
            "expect \"e\" {\n  acyclic = true\n}\nexpect \"e\" {\n  acyclic = true\n}",
            "e.hcl:4:1: expectation \"e\" is defined twice",
        ),
        ("expect {\n  acyclic = true\n}", "e.hcl:1:1: an expect block must have exactly one label"),
        ("explore {\n  seeds = 0\n}", "e.hcl:2:11: seeds must be a whole number from 1 to 1000"),
        ("", "e.hcl:1:1: the file has no expect block"),
        (
            "expect \"e\" {\n  goes_to = origin\n}",
            "e.hcl:2:13: goes_to must be a string, or a list of strings",
        ),
        ("expect \"e\" {\n  acyclic = true\n  colour = 1\n}", "e.hcl:3:3: no key \"colour\"; there are "),
    ];
    for (text, expected) in cases {
        let error = errors(text).expect_err(text);
        assert!(error.starts_with(expected), "{text:?}: {error:?}, not {expected:?}");
    }
    // All errors of a file are reported at once, in the file's order.
    let two =
        errors("expect \"a\" {\n class = \"x\"\n acyclic = true\n}\nexpect \"b\" {\n goes_to = \"y\"\n}")
            .expect_err("both blocks are unusable");
    assert_eq!(two.lines().count(), 2, "{two}");
}

/// Sets a field of the matching hosts in a configuration's list.
fn set_host_field(text: &mut Value, fits: impl Fn(&Value) -> bool, key: &str, value: Value) {
    let hosts =
        text["known"]["events"][0]["members"]["hosts"].as_array_mut().expect("the configuration has a list");
    hosts.iter_mut().filter(|host| fits(host)).for_each(|host| host[key] = value.clone());
}

#[test]
fn class_that_fills_through_a_drained_hub_is_rejected() {
    let mut text = site_config();
    let good = parse_site(&text);
    assert_eq!(lint(&good), Vec::<Finding>::new());
    set_host_field(
        &mut text,
        |host| host["site"] == "castle" && host["class"] == "hub",
        "health",
        "draining".into(),
    );
    let site = parse_site(&text);
    let report = check_text(&site, "expect \"e\" {\n class = \"piece\"\n answer = \"served\"\n}")
        .expect("it is usable");
    assert!(report.verdicts[0].passed && !report.passed);
    let [finding] = &report.findings[..] else { panic!("{:?}", report.findings) };
    assert_eq!((finding.severity, finding.code), (Severity::Error, "hub-unready"));
    let start = "classes piece, replay, standing of point south fill through hub castle, which has no ready parent (s-";
    assert!(finding.text.starts_with(start) && finding.text.contains("is draining"), "{}", finding.text);
    // An expectation of the operator finds the same fault.
    let fills =
        "expect \"e\" {\n class = \"piece\"\n from_point = \"south\"\n fills_from = \"hub:castle\"\n}";
    assert!(single_verdict(&good, fills).passed);
    assert!(
        single_verdict(&site, fills).broken[0].reason.contains("is filled from"),
        "it must fill from another hub"
    );
}

#[test]
fn lint_finds_contradictory_lists_and_classes() {
    type Break = fn(&mut Value);
    let cases: [(&str, Break); 7] = [
        ("point-unserved", |t| {
            t["settings"]["domain"]["straight"] = false.into();
            set_host_field(t, |h| h["site"] == "east", "health", "removed".into());
        }),
        ("point-direct", |t| set_host_field(t, |h| h["site"] == "east", "health", "draining".into())),
        ("list-odd", |t| set_host_field(t, |h| h["site"] == "east", "dial", "127.0.0.1:2".into())),
        ("list-odd", |t| set_host_field(t, |h| h["site"] == "east", "class", "stdd".into())),
        ("weight-zero", |t| set_host_field(t, |h| h["site"] == "east", "share", 0.into())),
        ("target-past-deadline", |t| t["settings"]["grades"][0]["target"] = 9999.into()),
        ("no-source", |t| set_host_field(t, |h| h["class"] != "std", "health", "draining".into())),
    ];
    for (code, change) in cases {
        let mut text = site_config();
        change(&mut text);
        let findings = lint(&parse_site(&text));
        assert!(findings.iter().any(|finding| finding.code == code), "{code}: {findings:?}");
    }
}

#[test]
fn fill_cycle_across_two_endpoint_lists_is_rejected() {
    let site = parse_site(&site_config());
    let [home, _] = home_and_next(&site, OBJECT);
    // Some edge proxies already have the list in which the home's weight is nearly 0: for them the next cache is
    // the home, and the old home is a delegate that fills from it. With the old list the next cache is the
    // delegate.
    let text = |late: bool| {
        format!(
            "explore {{\n seeds = 16\n}}\nexpect \"e\" {{\n class = \"piece\"\n objects = [\"7f3a9c21e0b4d655\"]\n \
             from_point = \"north\"\n popular = true\n acyclic = true\n when {{\n reweighted = {{ \"{}\" = 0.01 }}\n late = {late}\n }}\n}}",
            site.name(home)
        )
    };
    assert!(single_verdict(&site, &text(false)).passed, "there is no cycle with either list alone");
    let verdict = single_verdict(&site, &text(true));
    let [broken] = &verdict.broken[..] else { panic!("{verdict:?}") };
    assert!(broken.reason.contains("its fills form a cycle: "), "{}", broken.reason);
    assert!(broken.reason.matches(site.name(home)).count() >= 2 && broken.object.is_some());
}

#[test]
fn drained_delegates_get_no_requests() {
    let site = parse_site(&site_config());
    let [_, next] = home_and_next(&site, OBJECT).map(|server| site.name(server).to_owned());
    let text = |when: &str| {
        format!(
            "explore {{\n seeds = 16\n}}\nexpect \"e\" {{\n class = \"piece\"\n objects = [\"7f3a9c21e0b4d655\"]\n \
             from_point = \"north\"\n popular = true\n never_goes_to = [\"{next}\"]\n answer = \"served\"\n {when}\n}}"
        )
    };
    assert!(!single_verdict(&site, &text("")).passed);
    for state in ["drained", "removed"] {
        assert!(
            single_verdict(&site, &text(&format!("when {{ {state} = [\"{next}\"] }}"))).passed,
            "{state}"
        );
    }
    // The list does not show that it is down, so it gets an attempt, and the request is served elsewhere.
    let down = single_verdict(&site, &text(&format!("when {{ down = [\"{next}\"] }}")));
    assert_eq!(down.broken.iter().map(|broken| broken.rule).collect::<Vec<_>>(), ["never_goes_to"]);
}

#[test]
fn uncached_requests_reach_the_origin_through_any_server() {
    let site = parse_site(&site_config());
    let check = |rule: &str| {
        single_verdict(&site, &format!("expect \"result direct\" {{\n class = \"result\"\n {rule}\n}}"))
            .passed
    };
    assert!(check("goes_to = \"origin\"") && check("rank_at_most = 0") && check("attempts_at_most = 1"));
    assert!(!check("never_goes_to = \"own-cache\""));
    assert!(
        !single_verdict(&site, "expect \"e\" {\n class = \"piece\"\n goes_to = \"origin\"\n}").passed,
        "a cached copy may answer"
    );
}

#[test]
fn homes_do_not_move_when_another_cache_is_removed() {
    let site = parse_site(&site_config());
    let moves =
        "expect \"e\" {\n class = \"replay\"\n moves_at_most = 0\n when { each_removed = \"cache\" }\n}";
    assert!(single_verdict(&site, moves).passed);
    let share = |most: f64| {
        format!("expect \"e\" {{\n class = \"piece\"\n from_point = \"north\"\n share_at_most = {most}\n}}")
    };
    assert!(single_verdict(&site, &share(0.9)).passed);
    assert!(single_verdict(&site, &share(0.2)).broken[0].reason.contains("of 32 objects"));
}

/// Changes at other points are left out of a scenario before it is explored. This must not change the
/// module's decisions.
#[test]
fn scenario_at_another_point_changes_no_decision_here() {
    let site = parse_site(&site_config());
    let point = ZoneId(0);
    let objects = [OBJECT, ObjectId(1), ObjectId(2)];
    let elsewhere: Vec<ServerId> =
        site.servers.values().filter(|m| site.is_cache(m) && m.zone != point).map(|m| m.server).collect();
    let here = site.servers.values().find(|m| m.zone == point).expect("the point has a cache").server;
    for seed in 0..20 {
        let pick = |n: usize| elsewhere[(seed as usize * 3 + n) % elsewhere.len()];
        let scenario = Scenario {
            drained: vec![pick(0), here],
            removed: vec![pick(1)],
            down: vec![pick(2)],
            cold: vec![pick(3)],
            reweighted: vec![Reweighting { server: pick(4), weight: 0.5 }],
            ..Scenario::default()
        };
        let short = scenario_at_point(&site, &scenario, point);
        assert_eq!((short.drained.as_slice(), short.changes_nothing()), (&[here][..], false));
        let input = ExploreInput { point, class: ClassId(0), objects: &objects, repeats: 12, seed };
        assert_eq!(explore(&site, &scenario, input), explore(&site, &short, input), "seed {seed}");
    }
}

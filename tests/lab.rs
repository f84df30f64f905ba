//! The `lab` commands: replay a synthetic trace over the real front and report the results by class.

use std::process::{Command, Output};

fn run_lab(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_dahliatrack")).arg("lab").args(args).output().expect("run the program")
}

fn parse_report(output: &Output) -> serde_json::Value {
    assert_eq!(output.status.code(), Some(0), "{}", String::from_utf8_lossy(&output.stderr));
    serde_json::from_slice(&output.stdout).expect("the report is JSON")
}

#[test]
fn replay_reports_one_result_per_request() {
    let folder = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join("lab-replay");
    std::fs::create_dir_all(&folder).expect("create the folder");
    let (trace, map, page) = (folder.join("t.csv"), folder.join("map.hcl"), folder.join("r.html"));
    let made = run_lab(&["trace", "--seconds", "400", "--rate", "40", "--objects", "200"]).stdout;
    std::fs::write(&trace, &made).expect("write the trace");
    assert_eq!(made, run_lab(&["trace", "--seconds", "400", "--rate", "40", "--objects", "200"]).stdout);
    let text = std::fs::read_to_string("deploy/trace-map.hcl").expect("read the example map");
    std::fs::write(&map, text.replace("window_s  = 600", "window_s = 40")).expect("write the map");
    let [trace, map, page] = [&trace, &map, &page].map(|path| path.display().to_string());
    let args = ["replay", &trace, "--map", &map, "--speed", "10", "--format", "json", "--html", &page];
    let output = run_lab(&args);
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    let json = text.lines().next().expect("the output has a line");
    assert_eq!(output.status.code(), Some(0), "{}", String::from_utf8_lossy(&output.stderr));
    let report: serde_json::Value = serde_json::from_str(json).expect("the report is JSON");
    assert_eq!((&report["trace_s"], &report["slices"]), (&40.0.into(), &20.into()));
    let classes = report["classes"].as_array().expect("classes is a list");
    let count = |class: &serde_json::Value, key: &str| class[key].as_u64().expect("the count is an integer");
    for class in classes {
        let ends: u64 =
            ["served", "refused", "failed", "unanswered"].iter().map(|key| count(class, key)).sum();
        assert_eq!((ends, count(class, "unanswered")), (count(class, "sent"), 0), "{class}");
        // A class has only a few hundred requests, which come in bursts, so its rate in the sample is only
        // near its rate in the trace. Over all classes the two are closer.
        assert!(class["rate"][2].as_f64().expect("the rate error is a number").abs() < 0.5, "{class}");
    }
    let all = |key: &str| classes.iter().map(|class| count(class, key)).sum::<u64>();
    assert!(all("sent") > 1000 && all("served") * 10 > all("sent") * 9, "{report}");
    let html = std::fs::read_to_string(&page).expect("read the page");
    assert!(html.contains("<svg") && html.contains("<td>result</td>") && !html.contains("{{"));
}

#[test]
fn demo_with_faults_writes_a_report() {
    let report = parse_report(&run_lab(&["demo", "--seconds", "4", "--faults", "3", "--format", "json"]));
    let classes = report["classes"].as_array().expect("classes is a list");
    assert_eq!(classes.len(), 4);
    assert!(!report["faults"].as_array().expect("faults is a list").is_empty());
    assert!(report["upstream"][0].as_u64().expect("the count is an integer") > 100);
}

#[test]
fn unusable_trace_maps_are_rejected() {
    let folder = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join("lab-errors");
    std::fs::create_dir_all(&folder).expect("create the folder");
    let (trace, map) = (folder.join("t.csv"), folder.join("map.hcl"));
    std::fs::write(&trace, "app,func,end_timestamp,duration\na,f,2,1\n").expect("write the trace");
    let names = [&trace, &map].map(|path| path.display().to_string());
    for (text, code, wanted) in [
        ("trace {\n format = \"azure\"\n}", 2, "map.hcl:2:11: no format \"azure\""),
        (
            "trace {\n format = \"azure-functions-2021\"\n class \"pieces\" {}\n}",
            1,
            "class \"pieces\" is not defined in the stand-in site",
        ),
    ] {
        std::fs::write(&map, text).expect("write the map");
        let output = run_lab(&["replay", &names[0], "--map", &names[1]]);
        let error = String::from_utf8_lossy(&output.stderr).into_owned();
        assert_eq!(output.status.code(), Some(code), "{error}");
        assert!(error.contains(wanted), "{error}");
    }
}

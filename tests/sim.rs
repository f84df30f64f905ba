//! Command line of the simulator: each failure is printed with the command that reproduces it.

use std::process::{Command, Output};

fn sim(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_dahliatrack"))
        .arg("sim")
        .args(args)
        .output()
        .expect("failed to start dahliatrack")
}

fn utf8(bytes: &[u8]) -> String {
    String::from_utf8(bytes.to_vec()).expect("the output is not UTF-8")
}

#[test]
fn failure_names_the_command_that_reproduces_it() {
    let clean = sim(&["--seeds", "0..5"]);
    assert_eq!(clean.status.code(), Some(0), "{}", utf8(&clean.stdout));
    let found = sim(&["--seeds", "0..40", "--sabotage", "result-twice", "--most", "1"]);
    let text = utf8(&found.stdout);
    assert_eq!(found.status.code(), Some(1), "{text}");
    let command = text
        .lines()
        .find_map(|line| line.trim().strip_prefix("again: dahliatrack sim "))
        .expect("no line with the command");
    let trace = text
        .lines()
        .find_map(|line| line.trim().strip_prefix("its trace: "))
        .expect("no line with the trace");
    let mut args: Vec<&str> = command.split(' ').collect();
    args.extend(["--sabotage", "result-twice"]);
    let (first, second) = (sim(&args), sim(&args));
    assert_eq!((first.status.code(), &first.stdout), (Some(1), &second.stdout));
    let outcome: serde_json::Value = serde_json::from_slice(&first.stdout).expect("the output is not JSON");
    assert_eq!(outcome["trace"].as_u64(), u64::from_str_radix(trace, 16).ok());
    assert_eq!(outcome["breaches"][0]["rule"], "result-twice");
}

#[test]
fn empty_seed_range_and_missing_file_are_errors() {
    assert_eq!(sim(&["--seeds", "5..5"]).status.code(), Some(2));
    let missing = sim(&["--faults", "/nowhere.hcl"]);
    assert_eq!(missing.status.code(), Some(2));
    assert!(utf8(&missing.stderr).contains("/nowhere.hcl"));
}

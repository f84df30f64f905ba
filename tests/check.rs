//! Tests of the commands `check` and `config validate`: verdicts, exit codes and JSON output.

use std::path::{Path, PathBuf};
use std::process::{Command, Output};

fn run(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_dahliatrack")).args(args).output().expect("the program can be started")
}

fn utf8(bytes: &[u8]) -> &str {
    std::str::from_utf8(bytes).expect("the output is UTF-8")
}

/// Creates a folder for one test, with a generated site's configuration; returns the folder and the file's
/// path.
fn create_site_folder(name: &str) -> (PathBuf, String) {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::create_dir_all(&folder).expect("the folder can be created");
    let site = folder.join("site.json");
    std::fs::write(&site, run(&["lab", "site", "--points", "2", "--caches", "6"]).stdout)
        .expect("the file can be written");
    let site = site.display().to_string();
    (folder, site)
}

#[test]
fn check_reports_verdicts_by_exit_code_and_as_json() {
    let (folder, site) = create_site_folder("verdicts");
    let check = |text: &str, more: &[&str]| {
        let file = folder.join("expect.hcl");
        std::fs::write(&file, text).expect("the file can be written");
        run(&[&["check", &site, "--expect", &file.display().to_string()], more].concat())
    };
    let good = "expect \"direct\" {\n  class = \"result\"\n  goes_to = \"origin\"\n}\n";
    let bad = "expect \"home\" {\n  class = \"piece\"\n  never_goes_to = \"own-cache\"\n}\n";
    let passed = check(good, &[]);
    assert_eq!(passed.status.code(), Some(0), "{}", utf8(&passed.stderr));
    assert!(utf8(&passed.stdout).contains("passed \"direct\""));
    let failed = check(&format!("{good}{bad}"), &["--format", "json"]);
    assert_eq!(failed.status.code(), Some(1));
    let json: serde_json::Value = serde_json::from_slice(&failed.stdout).expect("the output is JSON");
    assert_eq!((&json["passed"], &json["verdicts"][0]["passed"]), (&false.into(), &true.into()));
    let broken = &json["verdicts"][1]["broken"][0];
    assert_eq!(
        (&broken["rule"], &broken["class"], &broken["at"][0]),
        (&"never_goes_to".into(), &"piece".into(), &7.into())
    );
    let only = check(&format!("{good}{bad}"), &["--only", "direct"]);
    assert_eq!(only.status.code(), Some(0));
    let unusable = check("expect \"x\" {\n  class = \"peice\"\n  acyclic = true\n}\n", &[]);
    assert_eq!(unusable.status.code(), Some(2));
    assert!(
        utf8(&unusable.stderr).contains("expect.hcl:2:11: no class \"peice\""),
        "{}",
        utf8(&unusable.stderr)
    );
    assert_eq!(check(good, &["--only", "nothing"]).status.code(), Some(2));
}

#[test]
fn config_validate_checks_the_server_list() {
    let (folder, site) = create_site_folder("validate");
    let good = run(&["config", "validate", &site]);
    assert_eq!(
        (good.status.code(), utf8(&good.stdout).lines().count()),
        (Some(0), 2),
        "{}",
        utf8(&good.stdout)
    );
    let text = std::fs::read_to_string(&site).expect("the file can be read");
    let broken = folder.join("broken.json");
    std::fs::write(&broken, text.replace("\"health\":\"up\"", "\"health\":\"draining\""))
        .expect("the file can be written");
    let broken = run(&["config", "validate", &broken.display().to_string()]);
    assert_eq!(broken.status.code(), Some(2));
    assert!(utf8(&broken.stdout).contains("error [no-source]"), "{}", utf8(&broken.stdout));
}

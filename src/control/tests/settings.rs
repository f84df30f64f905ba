//! Tests of the operator's file.

use super::parse_settings;
use crate::config::hcl_document::HclDocument;
use crate::control::settings::ControlSettings;

#[test]
fn invalid_files_are_reported_with_position() {
    for (text, wanted) in [
        ("control {\n}", "c.hcl:1:1: control names no listen"),
        ("", "c.hcl:1:1: no control block"),
        ("control {\n listen = \"here\"\n}", "c.hcl:2:11: listen is no address"),
        (
            "control {\n listen = \"127.0.0.1:0\"\n debounce_ms = 500\n}",
            "c.hcl:3:16: debounce_ms is over debounce_most_ms",
        ),
        ("control {\n listen = \"127.0.0.1:0\"\n hot {\n }\n}", "c.hcl:3:2: hot names one class"),
        (
            "control {\n listen = \"127.0.0.1:0\"\n hot \"a\" {\n objects = [\"7\"]\n }\n}",
            "c.hcl:4:13: \"7\" is not 16 hex digits",
        ),
        (
            "control {\n listen = \"127.0.0.1:0\"\n most_clients = 0\n}",
            "c.hcl:3:17: most_clients must be a whole number",
        ),
    ] {
        let error = ControlSettings::parse(HclDocument { file: "c.hcl", text }).expect_err(text).to_string();
        assert!(error.starts_with(wanted), "{error:?}, not {wanted:?}");
    }
}

#[test]
fn example_file_holds_the_defaults() {
    let text = include_str!("../../../deploy/control.hcl");
    let read = ControlSettings::parse(HclDocument { file: "deploy/control.hcl", text }).expect("usable");
    let usual = parse_settings("");
    assert_eq!(read, ControlSettings { listen: read.listen, ..usual });
}

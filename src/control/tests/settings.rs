//! Tests of `settings`: the operator's file.

use super::parse_settings;
use crate::config::hcl_document::HclDocument;
use crate::control::settings::ControlSettings;

#[test]
fn invalid_files_are_reported_with_position() {
    for (text, wanted) in [
        ("control {\n}", "c.hcl:1:1: the control block has no listen address"),
        ("", "c.hcl:1:1: the file has no control block"),
        ("control {\n listen = \"here\"\n}", "c.hcl:2:11: listen \"here\" is not an address"),
        (
            "control {\n listen = \"127.0.0.1:0\"\n debounce_ms = 500\n}",
            "c.hcl:3:16: debounce_ms (500) is greater than debounce_most_ms (250)",
        ),
        (
            "control {\n listen = \"127.0.0.1:0\"\n hot {\n }\n}",
            "c.hcl:3:2: a hot block must name exactly one class",
        ),
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
        assert!(error.starts_with(wanted), "{error:?} does not start with {wanted:?}");
    }
}

#[test]
fn example_file_holds_the_defaults() {
    let text = include_str!("../../../deploy/control.hcl");
    let read =
        ControlSettings::parse(HclDocument { file: "deploy/control.hcl", text }).expect("valid settings");
    let defaults = parse_settings("");
    assert_eq!(read, ControlSettings { listen: read.listen, ..defaults });
}

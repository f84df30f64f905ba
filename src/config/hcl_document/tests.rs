//! Tests of `hcl_document`.

use super::*;

#[test]
fn errors_name_file_line_and_column() {
    let read = |text: &str| -> Result<f64, HclError> {
        let doc = HclDocument { file: "a.hcl", text };
        let body = doc.parse()?;
        let mut reader = doc.reader(&body);
        let part = reader.number("part", 0.0, 1.0)?.map_or(0.5, |part| part.value);
        reader.strings("words")?;
        reader.block("inner")?;
        reader.finish()?;
        Ok(part)
    };
    assert_eq!(read("part = 0.25\nwords = [\"a\"]\ninner {}\n"), Ok(0.25));
    for (text, expected) in [
        ("part = 2", "a.hcl:1:8: part must be a number from 0 to 1"),
        ("\n  words = [1]", "a.hcl:2:11: words must be a string, or a list of strings that is not empty"),
        ("words = []", "a.hcl:1:9: words must be a string, or a list of strings that is not empty"),
        ("part = 1\npaart = 1", "a.hcl:2:1: no key \"paart\"; did you mean \"part\"?"),
        ("inner {}\n  inner {}", "a.hcl:2:3: a second inner block"),
    ] {
        assert_eq!(read(text).map_err(|e| e.to_string()), Err(expected.to_owned()), "{text:?}");
    }
    let broken = read("part = 1\nwords = [\"a\"").expect_err("the text is not HCL");
    assert!(broken.to_string().starts_with("a.hcl:2:"), "{broken}");
}

//! Tests of `key_paths`.

use super::*;

/// Guards against a complete file that is taken for an incomplete one because a new class lacks an optional key that
/// all earlier classes have.
#[test]
fn optional_keys_are_not_reported_as_missing() {
    let keys = |text: &str| key_paths(&serde_json::from_str(text).expect("the text is JSON"));
    let all = keys(r#"{"admin": 1, "grades": [{"name": 1, "aim_stretch": 2}]}"#);
    let fewer = keys(r#"{"grades": [{"name": 1, "aim_stretch": 2}, {"name": 1}]}"#);
    assert_eq!(all, fewer);
    let lacking = keys(r#"{"grades": [{"name": 1}, {"deadline": 1}]}"#);
    assert_eq!(all.difference(&lacking).collect::<Vec<_>>(), ["grades.name"]);
}

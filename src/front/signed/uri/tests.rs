//! Tests of `uri`.

use super::*;

#[test]
fn equivalent_uris_have_one_normal_form() {
    let cases = [
        ("/a/b?x=1", "https://h.example/a/b?x=1"),
        ("/a/./c/../b/", "https://h.example/a/b/"),
        ("/../../a/..", "https://h.example/"),
        ("/%61%2f%7e?%53ig=%c3", "https://h.example/a%2F~?Sig=%C3"),
        ("/%2e%2e/a", "https://h.example/a"),
        ("//a?&", "malformed: a parameter comes twice"),
        ("//a", "https://h.example//a"),
        ("/a?x", "https://h.example/a?x"),
        ("HTTPS://Other.example:443/z", "https://other.example/z"),
        ("https://h.example?x=1", "malformed: no absolute path"),
        ("/a?x=1&%78=2", "malformed: a parameter comes twice"),
        ("/%zz", "malformed: an escape"),
        ("/a%0", "malformed: an escape"),
        ("/a%00", "malformed: an escape"),
        ("/a#b", "malformed: a fragment"),
        ("/a\"b", "malformed: a byte that belongs in no URI"),
        ("/\u{e9}", "malformed: a byte that belongs in no URI"),
        ("a", "malformed: no absolute path"),
        ("*", "malformed: no absolute path"),
    ];
    for (target, wanted) in cases {
        let got = Uri::parse("https", Some("H.example:443"), target)
            .map_or_else(|error| format!("malformed: {error}"), |uri| uri.to_string());
        assert_eq!(got, wanted, "{target}");
    }
    for host in [None, Some(""), Some("a b"), Some("u@h")] {
        assert!(Uri::parse("http", host, "/").is_err(), "{host:?}");
    }
}

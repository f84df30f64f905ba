//! Tests of parsing and normalizing URIs.

use super::*;

#[test]
fn equivalent_uris_have_one_normal_form() {
    let cases = [
        ("/a/b?x=1", "https://h.example/a/b?x=1"),
        ("/a/./c/../b/", "https://h.example/a/b/"),
        ("/../../a/..", "https://h.example/"),
        ("/%61%2f%7e?%53ig=%c3", "https://h.example/a%2F~?Sig=%C3"),
        ("/%2e%2e/a", "https://h.example/a"),
        ("//a?&", "malformed: a query parameter occurs twice"),
        ("//a", "https://h.example//a"),
        ("/a?x", "https://h.example/a?x"),
        ("HTTPS://Other.example:443/z", "https://other.example/z"),
        ("https://h.example?x=1", "malformed: the path is not absolute"),
        ("/a?x=1&%78=2", "malformed: a query parameter occurs twice"),
        ("/%zz", "malformed: a percent escape is invalid"),
        ("/a%0", "malformed: a percent escape is invalid"),
        ("/a%00", "malformed: a percent escape is invalid"),
        ("/a#b", "malformed: the URI has a fragment"),
        ("/a\"b", "malformed: the URI has an invalid byte"),
        ("/\u{e9}", "malformed: the URI has an invalid byte"),
        ("a", "malformed: the path is not absolute"),
        ("*", "malformed: the path is not absolute"),
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

//! Tests of the shared HTTP/1.1 code.

use super::*;

#[test]
fn each_status_has_its_rfc_reason_phrase() {
    for (status, reason) in [
        (200, "OK"),
        (304, "Not Modified"),
        (400, "Bad Request"),
        (403, "Forbidden"),
        (404, "Not Found"),
        (405, "Method Not Allowed"),
        (408, "Request Timeout"),
        (421, "Misdirected Request"),
        (431, "Request Header Fields Too Large"),
        (502, "Bad Gateway"),
        (503, "Service Unavailable"),
        (504, "Gateway Timeout"),
    ] {
        let head = status_and_date(status, UnixTime::EPOCH);
        let line = head.lines().next();
        assert_eq!(line, Some(&*format!("HTTP/1.1 {status} {reason}")));
    }
}

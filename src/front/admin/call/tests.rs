//! Tests of parsing admin calls.

use super::*;

#[test]
fn parses_calls_that_arrive_byte_by_byte() {
    let cases = [
        ("GET /healthcheck HTTP/1.1\r\nHost: h\r\n\r\n", Ok(Some(AdminCall::Healthcheck))),
        ("GET /federation HTTP/1.1\r\n\r\n", Ok(Some(AdminCall::Federation))),
        ("GET /stats HTTP/1.0\r\n\r\n", Ok(Some(AdminCall::Stats))),
        ("GET /stats?all HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n", Ok(Some(AdminCall::Stats))),
        ("GET / HTTP/1.1\r\nHost: h\r\n\r\n", Err(404)),
        ("POST /stats HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\n", Err(405)),
        ("GET /stats HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\n", Err(400)),
        ("\u{1} /stats HTTP/1.1\r\n\r\n", Err(400)),
        ("GET /stats HTTP/1.1\r\nHo", Ok(None)),
    ];
    for (text, wanted) in cases {
        let (mut input, mut read) = (BytesMut::new(), Ok(None));
        for byte in text.bytes() {
            assert_eq!(read, Ok(None), "{text:?} is complete before its last byte");
            input.extend_from_slice(&[byte]);
            read = take_call(&mut input);
            if read.is_err() {
                break;
            }
        }
        assert_eq!(read, wanted, "{text:?}");
    }
    let long = format!("GET /{} HTTP/1.1\r\n", "x".repeat(http::MAX_HEAD_BYTES));
    assert_eq!(take_call(&mut BytesMut::from(&long[..])), Err(431));
}

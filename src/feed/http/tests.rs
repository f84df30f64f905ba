//! Tests of `http`.

use super::*;

#[test]
fn complete_responses_are_parsed_for_each_body_length_kind() {
    let cases: [(&[u8], bool, bool); 4] = [
        (b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi", false, false),
        (b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n1\r\nh\r\n1\r\ni\r\n0\r\n\r\n", false, false),
        (b"HTTP/1.1 200 OK\r\nConnection: close\r\ncontent-length: 2\r\n\r\nhi", false, true),
        (b"HTTP/1.1 200 OK\r\n\r\nhi", true, true),
    ];
    for (text, is_at_end, closes_connection) in cases {
        for cut in 0..text.len() {
            assert_eq!(parse_response(&mut BytesMut::from(&text[..cut]), false), Ok(None), "cut at {cut}");
        }
        let mut input = BytesMut::from(text);
        let read = parse_response(&mut input, is_at_end);
        assert_eq!(read, Ok(Some(HttpResponse { status: 200, body: b"hi".to_vec(), closes_connection })));
        assert!(input.is_empty());
    }
}

#[test]
fn invalid_responses_are_malformed() {
    let cases: [&[u8]; 3] = [
        b"nonsense\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
    ];
    for text in cases {
        assert_eq!(parse_response(&mut BytesMut::from(text), false), Err(MalformedResponse));
    }
}

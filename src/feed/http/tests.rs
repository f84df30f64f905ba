//! Tests of `http`.

use super::*;

#[test]
fn answers_are_read_whole_in_each_form() {
    let cases: [(&[u8], bool, bool); 4] = [
        (b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi", false, false),
        (b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n1\r\nh\r\n1\r\ni\r\n0\r\n\r\n", false, false),
        (b"HTTP/1.1 200 OK\r\nConnection: close\r\ncontent-length: 2\r\n\r\nhi", false, true),
        (b"HTTP/1.1 200 OK\r\n\r\nhi", true, true),
    ];
    for (text, end, close) in cases {
        for cut in 0..text.len() {
            assert_eq!(answer(&mut BytesMut::from(&text[..cut]), false), Ok(None), "cut at {cut}");
        }
        let mut input = BytesMut::from(text);
        let read = answer(&mut input, end);
        assert_eq!(read, Ok(Some(Answer { status: 200, body: b"hi".to_vec(), close })));
        assert!(input.is_empty());
    }
}

#[test]
fn what_is_no_answer_is_bad() {
    let cases: [&[u8]; 3] = [
        b"nonsense\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
    ];
    for text in cases {
        assert_eq!(answer(&mut BytesMut::from(text), false), Err(Bad));
    }
}

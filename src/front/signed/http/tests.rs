//! Tests of parsing request heads and encoding answers.

use super::*;

fn read(text: &str) -> Result<Option<RequestHead>, RequestError> {
    take_head(&mut BytesMut::from(text), "http")
}

#[test]
fn parses_request_heads() {
    let cases = [
        ("GET /a HTTP/1.1\r\nHost: h\r\n\r\n", "GET http://h/a keep"),
        ("HEAD /a HTTP/1.1\r\nHost: h\r\nConnection: Close\r\n\r\n", "HEAD http://h/a close"),
        ("GET /a HTTP/1.0\r\nHost: h\r\n\r\n", "GET http://h/a close"),
        ("GET /a HTTP/1.0\r\nHost: h\r\nConnection: keep-alive\r\n\r\n", "GET http://h/a keep"),
        ("GET http://o/b HTTP/1.1\r\nHost: h\r\n\r\n", "GET http://o/b keep"),
        ("GET /a HTTP/1.1\r\nHost: h\r\nIf-None-Match: \"x\", W/\"y\"\r\n\r\n", "GET http://h/a keep x y"),
        ("GET /a HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n", "GET http://h/a keep"),
        ("POST /a HTTP/1.1\r\nHost: h\r\n\r\n", "Head(Method { keep_alive: true })"),
        ("GET /a HTTP/1.1\r\n\r\n", "Host"),
        ("GET /a HTTP/1.1\r\nHost: h\r\nHost: h\r\n\r\n", "Host"),
        ("GET /a HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\n", "Head(Body)"),
        ("POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n", "Head(Body)"),
        ("GET /a?x=1&x=2 HTTP/1.1\r\nHost: h\r\n\r\n", "Uri(RepeatedParameter)"),
        (
            "GET /a HTTP/1.1\r\nHost: h\r\nCookie: URISigningPackage=a; URISigningPackage=b\r\n\r\n",
            "SeveralCredentials",
        ),
        ("nonsense\r\n\r\n", "Head(Syntax)"),
        ("GET /a HTTP/1.1\r\nHo", "partial"),
    ];
    for (text, wanted) in cases {
        for cut in (0..text.len()).filter(|_| !wanted.contains("Syntax")) {
            assert_eq!(read(&text[..cut]), Ok(None), "{text:?} cut at {cut}");
        }
        let got = match read(text) {
            Ok(None) => "partial".into(),
            Err(bad) => format!("{bad:?}"),
            Ok(Some(head)) => {
                let method = if head.head_only { "HEAD" } else { "GET" };
                let keep = if head.keep_alive { "keep" } else { "close" };
                let etags: String = head.etags.iter().map(|etag| format!(" {etag}")).collect();
                format!("{method} {} {keep}{etags}", head.uri)
            }
        };
        assert_eq!(got, wanted, "{text:?}");
    }
    let long = format!("GET /{} HTTP/1.1\r\n", "x".repeat(MAX_HEAD_BYTES));
    let many = format!("GET / HTTP/1.1\r\n{}\r\n", "A: b\r\n".repeat(65));
    assert_eq!(
        (read(&long), read(&many)),
        (Err(HeadError::Oversize.into()), Err(HeadError::Oversize.into()))
    );
}

#[test]
fn answers_have_the_headers_of_their_status() {
    let text = |given: HttpAnswer, head_only, keep| {
        String::from_utf8(encode_answer(&given, head_only, keep, UnixTime::EPOCH).concat()).expect("text")
    };
    let served = HttpAnswer {
        body: Bytes::from_static(b"hi"),
        etag: Some("t".into()),
        age: Some(3),
        ..HttpAnswer::status_only(200)
    };
    let date = "Date: Thu, 01 Jan 1970 00:00:00 GMT\r\n";
    let kind = "Content-Type: application/octet-stream\r\nContent-Length: 2\r\n";
    let head = format!("HTTP/1.1 200 OK\r\n{date}{kind}ETag: \"t\"\r\nAge: 3\r\n\r\n");
    assert_eq!(text(served.clone(), false, true), format!("{head}hi"));
    assert_eq!(text(served, true, true), head);
    let none = "Cache-Control: no-store\r\nContent-Length: 0\r\n";
    let refused = HttpAnswer { retry_after: Some(1), ..HttpAnswer::status_only(503) };
    let wanted = format!(
        "HTTP/1.1 503 Service Unavailable\r\n{date}{none}Retry-After: 1\r\nConnection: close\r\n\r\n"
    );
    assert_eq!(text(refused, false, false), wanted);
    let wanted = format!("HTTP/1.1 405 Method Not Allowed\r\n{date}{none}Allow: GET, HEAD\r\n\r\n");
    assert_eq!(text(HttpAnswer::status_only(405), false, true), wanted);
}

//! Heads of HTTP/1.1 requests as a server reads them, and its answers.

use super::gate::PACKAGE;
use super::uri::{Malformed, Uri};
use crate::front::http;
pub use crate::front::http::{Bad, MOST_HEAD};
use bytes::{Bytes, BytesMut};

/// A request without a body, read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Head {
    /// Whether only the answer's head is wanted.
    pub only_head: bool,
    /// What is asked for.
    pub uri: Uri,
    /// The token in a cookie.
    pub cookie: Option<String>,
    /// The tags of the client's copies.
    pub tags: Vec<String>,
    /// Whether more requests may follow.
    pub keep: bool,
}

/// Takes the next head; `None` if it is not whole.
pub fn head(input: &mut BytesMut, scheme: &str) -> Result<Option<Head>, Bad> {
    http::head(input, |head| request(head, scheme))
}

fn request(head: &httparse::Request, scheme: &str) -> Result<Head, Bad> {
    let named = |name| http::named(head, name);
    let words = |name| named(name).flat_map(|value| value.split(',')).map(str::trim);
    if http::has_body(head) {
        return Err(Bad::Malformed("a body"));
    }
    let latest = head.version == Some(1);
    let says = |word| words("connection").any(|known| known.eq_ignore_ascii_case(word));
    let keep = if latest { !says("close") } else { says("keep-alive") };
    let only_head = match head.method {
        Some("GET") => false,
        Some("HEAD") => true,
        _ => return Err(Bad::Method { keep }),
    };
    let mut hosts = named("host");
    let host = hosts.next();
    if hosts.next().is_some() || (latest && host.is_none()) {
        return Err(Bad::Malformed("host"));
    }
    let uri = Uri::parse(scheme, host, head.path.unwrap_or_default());
    let uri = uri.map_err(|Malformed(why)| Bad::Malformed(why))?;
    let cookies = named("cookie").flat_map(|value| value.split(';')).filter_map(|pair| pair.split_once('='));
    let mut tokens = cookies.filter(|(name, _)| name.trim() == PACKAGE).map(|(_, value)| value.trim());
    let cookie = tokens.next().map(str::to_owned);
    if tokens.next().is_some() {
        return Err(Bad::Malformed("several credentials"));
    }
    let strong = |tag: &str| tag.trim_start_matches("W/").trim_matches('"').to_owned();
    let tags = words("if-none-match").filter(|tag| !tag.is_empty()).map(strong).collect();
    Ok(Head { only_head, uri, cookie, tags, keep })
}

/// An answer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Answer {
    /// Its status.
    pub status: u16,
    /// Its body.
    pub body: Bytes,
    /// The copy's tag.
    pub tag: Option<String>,
    /// The copy's age, in seconds.
    pub age: Option<i64>,
    /// How long to stay away, in seconds.
    pub retry_after: Option<i64>,
}

impl Answer {
    /// An answer that is all said by its status.
    pub fn bare(status: u16) -> Self {
        Answer { status, ..Answer::default() }
    }
}

/// An answer's bytes, at a Unix time in microseconds.
pub fn answer(answer: &Answer, only_head: bool, keep: bool, now: i64) -> [Bytes; 2] {
    let mut head = http::start(answer.status, now);
    let mut line = |name: &str, value: &dyn std::fmt::Display| http::line(&mut head, name, value);
    match answer.status {
        200 => {
            line("Content-Type", &"application/octet-stream");
            line("Content-Length", &answer.body.len());
        }
        304 => {}
        // What is denied or failed now may be served the next moment.
        _ => {
            line("Cache-Control", &"no-store");
            line("Content-Length", &0);
        }
    }
    if answer.status == 405 {
        line("Allow", &"GET, HEAD");
    }
    if let Some(tag) = &answer.tag {
        line("ETag", &format!("\"{tag}\""));
    }
    if let Some(age) = answer.age {
        line("Age", &age);
    }
    if let Some(seconds) = answer.retry_after {
        line("Retry-After", &seconds);
    }
    if !keep {
        line("Connection", &"close");
    }
    head.push_str("\r\n");
    let body = if only_head || answer.status != 200 { Bytes::new() } else { answer.body.clone() };
    [head.into(), body]
}

#[cfg(test)]
mod tests {
    use super::*;

    fn read(text: &str) -> Result<Option<Head>, Bad> {
        head(&mut BytesMut::from(text), "http")
    }

    #[test]
    fn requests_are_read_as_the_table_says() {
        let cases = [
            ("GET /a HTTP/1.1\r\nHost: h\r\n\r\n", "GET http://h/a keep"),
            ("HEAD /a HTTP/1.1\r\nHost: h\r\nConnection: Close\r\n\r\n", "HEAD http://h/a close"),
            ("GET /a HTTP/1.0\r\nHost: h\r\n\r\n", "GET http://h/a close"),
            ("GET /a HTTP/1.0\r\nHost: h\r\nConnection: keep-alive\r\n\r\n", "GET http://h/a keep"),
            ("GET http://o/b HTTP/1.1\r\nHost: h\r\n\r\n", "GET http://o/b keep"),
            (
                "GET /a HTTP/1.1\r\nHost: h\r\nIf-None-Match: \"x\", W/\"y\"\r\n\r\n",
                "GET http://h/a keep x y",
            ),
            ("GET /a HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n", "GET http://h/a keep"),
            ("POST /a HTTP/1.1\r\nHost: h\r\n\r\n", "Method { keep: true }"),
            ("GET /a HTTP/1.1\r\n\r\n", "Malformed(\"host\")"),
            ("GET /a HTTP/1.1\r\nHost: h\r\nHost: h\r\n\r\n", "Malformed(\"host\")"),
            ("GET /a HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\n", "Malformed(\"a body\")"),
            ("POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n", "Malformed(\"a body\")"),
            ("GET /a?x=1&x=2 HTTP/1.1\r\nHost: h\r\n\r\n", "Malformed(\"a parameter comes twice\")"),
            (
                "GET /a HTTP/1.1\r\nHost: h\r\nCookie: URISigningPackage=a; URISigningPackage=b\r\n\r\n",
                "Malformed(\"several credentials\")",
            ),
            ("nonsense\r\n\r\n", "Malformed(\"head\")"),
            ("GET /a HTTP/1.1\r\nHo", "partial"),
        ];
        for (text, wanted) in cases {
            for cut in (0..text.len()).filter(|_| !wanted.contains("head")) {
                assert_eq!(read(&text[..cut]), Ok(None), "{text:?} cut at {cut}");
            }
            let got = match read(text) {
                Ok(None) => "partial".into(),
                Err(bad) => format!("{bad:?}"),
                Ok(Some(head)) => {
                    let method = if head.only_head { "HEAD" } else { "GET" };
                    let keep = if head.keep { "keep" } else { "close" };
                    let tags: String = head.tags.iter().map(|tag| format!(" {tag}")).collect();
                    format!("{method} {} {keep}{tags}", head.uri)
                }
            };
            assert_eq!(got, wanted, "{text:?}");
        }
        let long = format!("GET /{} HTTP/1.1\r\n", "x".repeat(MOST_HEAD));
        let many = format!("GET / HTTP/1.1\r\n{}\r\n", "A: b\r\n".repeat(65));
        assert_eq!((read(&long), read(&many)), (Err(Bad::Oversize), Err(Bad::Oversize)));
    }

    #[test]
    fn answers_say_what_their_status_needs() {
        let text = |given: Answer, only_head, keep| {
            String::from_utf8(answer(&given, only_head, keep, 0).concat()).expect("text")
        };
        let served = Answer {
            body: Bytes::from_static(b"hi"),
            tag: Some("t".into()),
            age: Some(3),
            ..Answer::bare(200)
        };
        let date = "Date: Thu, 01 Jan 1970 00:00:00 GMT\r\n";
        let kind = "Content-Type: application/octet-stream\r\nContent-Length: 2\r\n";
        let head = format!("HTTP/1.1 200 OK\r\n{date}{kind}ETag: \"t\"\r\nAge: 3\r\n\r\n");
        assert_eq!(text(served.clone(), false, true), format!("{head}hi"));
        assert_eq!(text(served, true, true), head);
        let none = "Cache-Control: no-store\r\nContent-Length: 0\r\n";
        let refused = Answer { retry_after: Some(1), ..Answer::bare(503) };
        let wanted = format!(
            "HTTP/1.1 503 Service Unavailable\r\n{date}{none}Retry-After: 1\r\nConnection: close\r\n\r\n"
        );
        assert_eq!(text(refused, false, false), wanted);
        let wanted = format!("HTTP/1.1 405 Method Not Allowed\r\n{date}{none}Allow: GET, HEAD\r\n\r\n");
        assert_eq!(text(Answer::bare(405), false, true), wanted);
    }
}

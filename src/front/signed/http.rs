//! Heads of HTTP/1.1 requests as a server reads them, and its answers.

use super::gate::PACKAGE;
use super::uri::{Malformed, Uri};
use crate::front::http;
pub use crate::front::http::{HeadError, MOST_HEAD};
use crate::interface::UnixTime;
use bytes::{Bytes, BytesMut};

/// A request without a body, read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestHead {
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
pub fn head(input: &mut BytesMut, scheme: &str) -> Result<Option<RequestHead>, HeadError> {
    http::head(input, |head| request(head, scheme))
}

fn request(head: &httparse::Request, scheme: &str) -> Result<RequestHead, HeadError> {
    let named = |name| http::named(head, name);
    let words = |name| named(name).flat_map(|value| value.split(',')).map(str::trim);
    if http::has_body(head) {
        return Err(HeadError::Malformed("a body"));
    }
    let latest = head.version == Some(1);
    let says = |word| words("connection").any(|known| known.eq_ignore_ascii_case(word));
    let keep = if latest { !says("close") } else { says("keep-alive") };
    let only_head = match head.method {
        Some("GET") => false,
        Some("HEAD") => true,
        _ => return Err(HeadError::Method { keep }),
    };
    let mut hosts = named("host");
    let host = hosts.next();
    if hosts.next().is_some() || (latest && host.is_none()) {
        return Err(HeadError::Malformed("host"));
    }
    let uri = Uri::parse(scheme, host, head.path.unwrap_or_default());
    let uri = uri.map_err(|Malformed(why)| HeadError::Malformed(why))?;
    let cookies = named("cookie").flat_map(|value| value.split(';')).filter_map(|pair| pair.split_once('='));
    let mut tokens = cookies.filter(|(name, _)| name.trim() == PACKAGE).map(|(_, value)| value.trim());
    let cookie = tokens.next().map(str::to_owned);
    if tokens.next().is_some() {
        return Err(HeadError::Malformed("several credentials"));
    }
    let strong = |tag: &str| tag.trim_start_matches("W/").trim_matches('"').to_owned();
    let tags = words("if-none-match").filter(|tag| !tag.is_empty()).map(strong).collect();
    Ok(RequestHead { only_head, uri, cookie, tags, keep })
}

/// An answer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HttpAnswer {
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

impl HttpAnswer {
    /// An answer that is all said by its status.
    pub fn bare(status: u16) -> Self {
        HttpAnswer { status, ..HttpAnswer::default() }
    }
}

/// An answer's bytes, at a Unix time.
pub fn answer(answer: &HttpAnswer, only_head: bool, keep: bool, now: UnixTime) -> [Bytes; 2] {
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
mod tests;

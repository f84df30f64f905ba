//! Parsing of HTTP/1.1 request heads, and encoding of answers.

use super::credentials::TOKEN_PARAMETER;
use super::uri::{Uri, UriError};
use crate::front::http;
pub use crate::front::http::{HeadError, MAX_HEAD_BYTES};
use crate::interface::UnixTime;
use bytes::{Bytes, BytesMut};

/// Why a request cannot be served.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RequestError {
    /// The head cannot be parsed or is not accepted.
    #[error(transparent)]
    Head(#[from] HeadError),
    /// The request does not have exactly one `Host` header. HTTP/1.0 requests may have none.
    #[error("host")]
    Host,
    /// The request's target is malformed.
    #[error(transparent)]
    Uri(#[from] UriError),
    /// The request has more than one cookie with a token.
    #[error("the request has several cookies with a token")]
    SeveralCredentials,
}

/// The parsed head of a request, which has no body.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestHead {
    /// Whether only the head of the answer is sent, as for HEAD.
    pub head_only: bool,
    /// The requested URI, in normal form.
    pub uri: Uri,
    /// The token in a cookie; `None` if there is none.
    pub cookie: Option<String>,
    /// The entity tags of the client's copies, from `If-None-Match`, without quotes.
    pub etags: Vec<String>,
    /// Whether the client keeps the connection open after the answer.
    pub keep_alive: bool,
}

/// Parses the next head of the input and removes it. Returns `None` if the head is not complete.
///
/// # Errors
///
/// The head is malformed, too long, or of a request that is not served.
pub fn take_head(input: &mut BytesMut, scheme: &str) -> Result<Option<RequestHead>, RequestError> {
    http::take_head(input, |head| read_request(head, scheme))
}

fn read_request(head: &httparse::Request, scheme: &str) -> Result<RequestHead, RequestError> {
    let values = |name| http::header_values(head, name);
    let list = |name| values(name).flat_map(|value| value.split(',')).map(str::trim);
    http::check_no_body(head)?;
    let is_http_1_1 = head.version == Some(1);
    let keep_alive = keeps_alive(head, is_http_1_1);
    let head_only = match head.method {
        Some("GET") => false,
        Some("HEAD") => true,
        _ => return Err(HeadError::Method { keep_alive }.into()),
    };
    let mut hosts = values("host");
    let host = hosts.next();
    if hosts.next().is_some() || (is_http_1_1 && host.is_none()) {
        return Err(RequestError::Host);
    }
    let uri = Uri::parse(scheme, host, head.path.unwrap_or_default())?;
    let cookie = token_cookie(head)?;
    let opaque_tag = |etag: &str| etag.trim_start_matches("W/").trim_matches('"').to_owned();
    let etags = list("if-none-match").filter(|etag| !etag.is_empty()).map(opaque_tag).collect();
    Ok(RequestHead { head_only, uri, cookie, etags, keep_alive })
}

/// Whether the connection stays open after the answer, according to the HTTP version and the `Connection`
/// header.
fn keeps_alive(head: &httparse::Request, is_http_1_1: bool) -> bool {
    let says = |option: &str| {
        let mut options = http::header_values(head, "connection").flat_map(|value| value.split(','));
        options.any(|known| known.trim().eq_ignore_ascii_case(option))
    };
    if is_http_1_1 {
        !says("close")
    } else {
        says("keep-alive")
    }
}

/// Returns the token in a cookie, if there is one.
fn token_cookie(head: &httparse::Request) -> Result<Option<String>, RequestError> {
    let cookies = http::header_values(head, "cookie").flat_map(|value| value.split(';'));
    let pairs = cookies.filter_map(|cookie| cookie.split_once('='));
    let mut tokens = pairs.filter(|(name, _)| name.trim() == TOKEN_PARAMETER).map(|(_, value)| value.trim());
    let token = tokens.next().map(str::to_owned);
    if tokens.next().is_some() {
        return Err(RequestError::SeveralCredentials);
    }
    Ok(token)
}

/// An answer to a request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HttpAnswer {
    /// The HTTP status.
    pub status: u16,
    /// The body; sent only with status 200.
    pub body: Bytes,
    /// The entity tag of the cached copy, without quotes; `None` sends no `ETag`.
    pub etag: Option<String>,
    /// The age of the cached copy, in seconds; `None` sends no `Age`.
    pub age: Option<i64>,
    /// Retry-After, in seconds; `None` sends none.
    pub retry_after: Option<i64>,
}

impl HttpAnswer {
    /// Returns an answer with this status and nothing else.
    pub fn status_only(status: u16) -> Self {
        HttpAnswer { status, ..HttpAnswer::default() }
    }
}

/// Encodes an answer as its head and its body. The body is empty if `head_only`, or if the status is not 200.
pub fn encode_answer(answer: &HttpAnswer, head_only: bool, keep_alive: bool, now: UnixTime) -> [Bytes; 2] {
    let mut head = http::status_and_date(answer.status, now);
    let mut line = |name: &str, value: &dyn std::fmt::Display| http::push_header(&mut head, name, value);
    match answer.status {
        200 => {
            line("Content-Type", &"application/octet-stream");
            line("Content-Length", &answer.body.len());
        }
        304 => {}
        // Must not be cached: a denied or failed request may succeed shortly afterwards.
        _ => {
            line("Cache-Control", &"no-store");
            line("Content-Length", &0);
        }
    }
    if answer.status == 405 {
        line("Allow", &"GET, HEAD");
    }
    if let Some(etag) = &answer.etag {
        line("ETag", &format!("\"{etag}\""));
    }
    if let Some(age) = answer.age {
        line("Age", &age);
    }
    if let Some(seconds) = answer.retry_after {
        line("Retry-After", &seconds);
    }
    if !keep_alive {
        line("Connection", &"close");
    }
    head.push_str("\r\n");
    let body = if head_only || answer.status != 200 { Bytes::new() } else { answer.body.clone() };
    [head.into(), body]
}

#[cfg(test)]
mod tests;

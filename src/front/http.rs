//! HTTP/1.1 code that the signed front and the admin endpoint share: request heads and the first lines of
//! answers.

use crate::interface::UnixTime;
use bytes::{Buf, BytesMut};
use std::fmt::Write;
use std::time::{Duration, UNIX_EPOCH};

/// Maximum length of a request head, in bytes; a longer one is answered with 431.
pub const MAX_HEAD_BYTES: usize = 16 * 1024;
const MAX_HEADERS: usize = 64;

/// Why a request head is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum HeadError {
    /// The head is not HTTP/1. It is answered with 400, and the connection closes.
    #[error("head")]
    Syntax,
    /// The request has a body, or may have one. It is answered with 400, and the connection closes.
    #[error("the request has a body")]
    Body,
    /// The method is not served. It is answered with 405.
    #[error("the method is not served")]
    Method {
        /// Whether the connection stays open after the answer.
        keep_alive: bool,
    },
    /// The head has too many bytes or headers. It is answered with 431, and the connection closes.
    #[error("the head has more than {} bytes or {} headers", MAX_HEAD_BYTES, MAX_HEADERS)]
    Oversize,
}

/// Parses the next head of the input with `read` and removes it. Returns `None` if the head is not complete.
///
/// # Errors
///
/// The head is malformed or too long, or `read` fails.
pub fn take_head<T, E: From<HeadError>>(
    input: &mut BytesMut,
    read: impl FnOnce(&httparse::Request) -> Result<T, E>,
) -> Result<Option<T>, E> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Request::new(&mut headers);
    let length = match head.parse(input) {
        Ok(httparse::Status::Complete(length)) if length <= MAX_HEAD_BYTES => length,
        Ok(httparse::Status::Partial) if input.len() <= MAX_HEAD_BYTES => return Ok(None),
        Ok(_) | Err(httparse::Error::TooManyHeaders) => return Err(HeadError::Oversize.into()),
        Err(_) => return Err(HeadError::Syntax.into()),
    };
    let read = read(&head);
    input.advance(length);
    read.map(Some)
}

/// Returns the values of a header in the order received. A value that is not UTF-8 becomes U+FFFD.
pub fn header_values<'a>(head: &'a httparse::Request, name: &'static str) -> impl Iterator<Item = &'a str> {
    let has_name = move |header: &&httparse::Header| header.name.eq_ignore_ascii_case(name);
    head.headers.iter().filter(has_name).map(|header| std::str::from_utf8(header.value).unwrap_or("\u{fffd}"))
}

/// Checks by its head that a request has no body. Bodies are not read, and it must be certain where a request
/// ends: otherwise one client's bytes could be taken for another client's request.
///
/// # Errors
///
/// The request has a body, or may have one.
pub fn check_no_body(head: &httparse::Request) -> Result<(), HeadError> {
    let has_encoding = header_values(head, "transfer-encoding").next().is_some();
    if has_encoding || header_values(head, "content-length").any(|length| length != "0") {
        return Err(HeadError::Body);
    }
    Ok(())
}

/// Returns the status line and the `Date` header of an answer.
pub fn status_and_date(status: u16, now: UnixTime) -> String {
    let reason = match status {
        200 => "OK",
        304 => "Not Modified",
        400 => "Bad Request",
        403 => "Forbidden",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        421 => "Misdirected Request",
        431 => "Request Header Fields Too Large",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "",
    };
    let date = httpdate::fmt_http_date(UNIX_EPOCH + Duration::from_micros(now.as_micros().max(0) as u64));
    format!("HTTP/1.1 {status} {reason}\r\nDate: {date}\r\n")
}

/// Appends a header line to the head of an answer.
pub fn push_header(head: &mut String, name: &str, value: &dyn std::fmt::Display) {
    let _ = write!(head, "{name}: {value}\r\n"); // writing to a string cannot fail
}

#[cfg(test)]
mod tests;

//! What the fronts that speak HTTP/1.1 share: heads taken whole, and answers' first lines.

use crate::interface::UnixTime;
use bytes::{Buf, BytesMut};
use std::fmt::Write;
use std::time::{Duration, UNIX_EPOCH};

/// The longest head.
pub const MOST_HEAD: usize = 16 * 1024;
const MOST_HEADERS: usize = 64;

/// What can't be served as it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum HeadError {
    /// It can't be read, or not told apart from the next: 400, and the connection ends.
    #[error("malformed: {0}")]
    Malformed(&'static str),
    /// A method that is not served: 405.
    #[error("a method that is not served")]
    Method {
        /// Whether more requests may follow.
        keep: bool,
    },
    /// The head is too long: 431, and the connection ends.
    #[error("the head is too long")]
    Oversize,
}

/// Takes the next head and reads it with `read`; `None` if it is not whole.
///
/// # Errors
///
/// It is no head, too long, or what `read` says.
pub fn head<T>(
    input: &mut BytesMut,
    read: impl FnOnce(&httparse::Request) -> Result<T, HeadError>,
) -> Result<Option<T>, HeadError> {
    let mut headers = [httparse::EMPTY_HEADER; MOST_HEADERS];
    let mut head = httparse::Request::new(&mut headers);
    let length = match head.parse(input) {
        Ok(httparse::Status::Complete(length)) if length <= MOST_HEAD => length,
        Ok(httparse::Status::Partial) if input.len() <= MOST_HEAD => return Ok(None),
        Ok(_) | Err(httparse::Error::TooManyHeaders) => return Err(HeadError::Oversize),
        Err(_) => return Err(HeadError::Malformed("head")),
    };
    let read = read(&head);
    input.advance(length);
    read.map(Some)
}

/// The values of a header, in their order.
pub fn named<'a>(head: &'a httparse::Request, name: &'static str) -> impl Iterator<Item = &'a str> {
    let fits = move |header: &&httparse::Header| header.name.eq_ignore_ascii_case(name);
    head.headers.iter().filter(fits).map(|header| std::str::from_utf8(header.value).unwrap_or("\u{fffd}"))
}

/// Whether a request brings a body, as far as its head says so. Where it ends must be beyond doubt, or one client's
/// bytes become another's request.
pub fn has_body(head: &httparse::Request) -> bool {
    named(head, "transfer-encoding").next().is_some()
        || named(head, "content-length").any(|length| length != "0")
}

/// The first lines of an answer, at a Unix time.
pub fn start(status: u16, now: UnixTime) -> String {
    let reason = match status {
        200 => "OK",
        304 => "Not Modified",
        400 => "HeadError Request",
        403 => "Forbidden",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        421 => "Misdirected Request",
        431 => "Request Header Fields Too Large",
        502 => "HeadError Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "",
    };
    let date = httpdate::fmt_http_date(UNIX_EPOCH + Duration::from_micros(now.as_micros().max(0) as u64));
    format!("HTTP/1.1 {status} {reason}\r\nDate: {date}\r\n")
}

/// Adds a header's line.
pub fn line(head: &mut String, name: &str, value: &dyn std::fmt::Display) {
    let _ = write!(head, "{name}: {value}\r\n"); // a string takes all
}

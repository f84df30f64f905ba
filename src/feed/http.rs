//! The parser of HTTP/1.1 responses.

use bytes::{Buf, BytesMut};

/// Maximum number of headers in a response.
const MAX_HEADERS: usize = 32;
/// Ends a chunk of a chunked body.
const CHUNK_END: &[u8; 2] = b"\r\n";

/// A complete HTTP response.
#[derive(Debug, PartialEq, Eq)]
pub struct HttpResponse {
    /// HTTP status code.
    pub status: u16,
    /// Body, without the framing of chunks.
    pub body: Vec<u8>,
    /// Whether the server closes the connection after the response.
    pub closes_connection: bool,
}

/// The input is not a valid HTTP response.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
#[error("not a valid HTTP response")]
pub struct MalformedResponse;

/// How the length of the body is determined.
enum BodyLength {
    Known(usize),
    Chunked,
    /// The body ends with the connection.
    UntilEnd,
}

/// The parsed status line and headers of a response.
struct Head {
    /// Number of bytes up to the body.
    length: usize,
    status: u16,
    closes_connection: bool,
    body_length: BodyLength,
}

/// A complete body of a response.
struct Body {
    bytes: Vec<u8>,
    /// Number of bytes of the body in the input, with the framing of chunks.
    encoded_length: usize,
}

/// Removes the next complete response from `input` and returns it; `None` if more bytes are needed.
/// `is_at_end` states that nothing more will be received.
///
/// # Errors
///
/// The input is not a valid response.
pub fn parse_response(
    input: &mut BytesMut,
    is_at_end: bool,
) -> Result<Option<HttpResponse>, MalformedResponse> {
    let Some(head) = parse_head(input)? else { return Ok(None) };
    let Some(body) = parse_body(&input[head.length..], &head.body_length, is_at_end)? else {
        return Ok(None);
    };
    input.advance(head.length + body.encoded_length);
    let closes_connection = head.closes_connection || matches!(head.body_length, BodyLength::UntilEnd);
    Ok(Some(HttpResponse { status: head.status, body: body.bytes, closes_connection }))
}

fn parse_head(input: &[u8]) -> Result<Option<Head>, MalformedResponse> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut response = httparse::Response::new(&mut headers);
    let httparse::Status::Complete(length) = response.parse(input).map_err(|_| MalformedResponse)? else {
        return Ok(None);
    };
    let values = |name: &'static str| {
        let matching = response.headers.iter().filter(move |header| header.name.eq_ignore_ascii_case(name));
        matching.filter_map(|header| std::str::from_utf8(header.value).ok())
    };
    let has = |name, token: &str| values(name).any(|value| value.to_ascii_lowercase().contains(token));
    let is_http_1_0 = response.version == Some(0);
    let body_length = if has("transfer-encoding", "chunked") {
        BodyLength::Chunked
    } else if let Some(length) = values("content-length").next() {
        BodyLength::Known(length.trim().parse().map_err(|_| MalformedResponse)?)
    } else {
        BodyLength::UntilEnd
    };
    Ok(Some(Head {
        length,
        status: response.code.ok_or(MalformedResponse)?,
        closes_connection: has("connection", "close") || is_http_1_0,
        body_length,
    }))
}

fn parse_body(input: &[u8], length: &BodyLength, is_at_end: bool) -> Result<Option<Body>, MalformedResponse> {
    let plain = |bytes: &[u8]| Body { bytes: bytes.to_vec(), encoded_length: bytes.len() };
    match length {
        BodyLength::Known(length) => Ok(input.get(..*length).map(plain)),
        BodyLength::Chunked => parse_chunks(input),
        BodyLength::UntilEnd => Ok(Some(input).filter(|_| is_at_end).map(plain)),
    }
}

/// Joins the chunks of a body; `None` if they have not all been received.
fn parse_chunks(input: &[u8]) -> Result<Option<Body>, MalformedResponse> {
    let (mut bytes, mut position) = (Vec::new(), 0);
    loop {
        let (start, size) = match httparse::parse_chunk_size(&input[position..]) {
            Ok(httparse::Status::Complete((start, size))) => (position + start, size as usize),
            Ok(httparse::Status::Partial) => return Ok(None),
            Err(_) => return Err(MalformedResponse),
        };
        if size > input.len() {
            return Ok(None);
        }
        let Some(chunk) = input.get(start..start + size + CHUNK_END.len()) else { return Ok(None) };
        if !chunk.ends_with(CHUNK_END) {
            return Err(MalformedResponse);
        }
        bytes.extend_from_slice(&chunk[..size]);
        position = start + size + CHUNK_END.len();
        if size == 0 {
            return Ok(Some(Body { bytes, encoded_length: position }));
        }
    }
}

#[cfg(test)]
mod tests;

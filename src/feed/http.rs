//! Answers of HTTP/1.1, as a client reads them.

use bytes::{Buf, BytesMut};

/// An answer.
#[derive(Debug, PartialEq, Eq)]
pub struct Answer {
    /// Its status.
    pub status: u16,
    /// Its body.
    pub body: Vec<u8>,
    /// Whether the connection ends with it.
    pub close: bool,
}

/// What came is no answer.
#[derive(Debug, PartialEq, Eq)]
pub struct Bad;

enum Length {
    Known(usize),
    Chunked,
    UntilEnd,
}

/// Takes the next whole answer; `end` says that nothing more comes.
pub fn answer(input: &mut BytesMut, end: bool) -> Result<Option<Answer>, Bad> {
    let mut headers = [httparse::EMPTY_HEADER; 32];
    let mut head = httparse::Response::new(&mut headers);
    let httparse::Status::Complete(start) = head.parse(input).map_err(|_| Bad)? else { return Ok(None) };
    let named = |name: &'static str| {
        let fits = move |header: &&httparse::Header| header.name.eq_ignore_ascii_case(name);
        head.headers.iter().filter(fits).filter_map(|header| std::str::from_utf8(header.value).ok())
    };
    let status = head.code.ok_or(Bad)?;
    let has = |name, word: &str| named(name).any(|value| value.to_ascii_lowercase().contains(word));
    let mut close = has("connection", "close") || head.version == Some(0);
    let length = if has("transfer-encoding", "chunked") {
        Length::Chunked
    } else if let Some(length) = named("content-length").next() {
        Length::Known(length.trim().parse().map_err(|_| Bad)?)
    } else {
        Length::UntilEnd
    };
    let rest = &input[start..];
    let (body, used) = match length {
        Length::Known(length) if rest.len() >= length => (rest[..length].to_vec(), length),
        Length::Known(_) => return Ok(None),
        Length::Chunked => match chunks(rest)? {
            Some(whole) => whole,
            None => return Ok(None),
        },
        Length::UntilEnd if end => {
            close = true;
            (rest.to_vec(), rest.len())
        }
        Length::UntilEnd => return Ok(None),
    };
    input.advance(start + used);
    Ok(Some(Answer { status, body, close }))
}

/// The chunks of a body, and the bytes that they took; `None` if they are not whole yet.
fn chunks(bytes: &[u8]) -> Result<Option<(Vec<u8>, usize)>, Bad> {
    let (mut body, mut at) = (Vec::new(), 0);
    loop {
        let (start, size) = match httparse::parse_chunk_size(&bytes[at..]) {
            Ok(httparse::Status::Complete((start, size))) => (at + start, size as usize),
            Ok(httparse::Status::Partial) => return Ok(None),
            Err(_) => return Err(Bad),
        };
        if size > bytes.len() {
            return Ok(None);
        }
        let Some(chunk) = bytes.get(start..start + size + 2) else { return Ok(None) };
        if !chunk.ends_with(b"\r\n") {
            return Err(Bad);
        }
        body.extend_from_slice(&chunk[..size]);
        at = start + size + 2;
        if size == 0 {
            return Ok(Some((body, at)));
        }
    }
}

#[cfg(test)]
mod tests;

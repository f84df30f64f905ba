//! The host side of the line protocol: parses requests and encodes answers.

use crate::interface::Span;

const LINE_END: &[u8] = b"\r\n";

/// A part of an object, the unit in which copies are cached.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Item {
    /// Id of the object, in hex.
    pub object: String,
    /// Number of the part within the object.
    pub part: u32,
}

/// A request as received by a host.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FetchRequest {
    /// Id of the attempt, which is the client's trace.
    pub id: String,
    /// Name of the class in the settings.
    pub class: String,
    /// Object part that is requested.
    pub item: Item,
    /// Name of the host that fills a miss; `None` if the request names no fill source.
    pub source: Option<String>,
    /// Maximum age of a copy that may be served; zero means any age.
    pub max_age: Span,
    /// Cache rank at which the copy is stored.
    pub rank: u32,
    /// Whether the source may answer only from its cached copies.
    pub only_if_cached: bool,
}

impl FetchRequest {
    /// Whether the request is a write, which every host forwards to the origin.
    pub fn is_write(&self) -> bool {
        self.class == "result"
    }
}

/// A parsed line, as received by a host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HostLine {
    /// Requests an object part.
    Fetch(FetchRequest),
    /// Cancels the request with this id.
    Cancel(String),
    /// Requests the host's status; the answer carries this tag.
    HealthCheck(String),
}

/// Why received bytes are not a valid line of the protocol.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum LineError {
    /// The line is not UTF-8.
    #[error("the line is not UTF-8")]
    NotUtf8,
    /// The length of a body is not a number.
    #[error("the body length is not a number in line \"{0}\"")]
    Length(String),
    /// No line end follows a body.
    #[error("no line end after the body of line \"{0}\"")]
    BodyEnd(String),
    /// The line starts with an unknown word, or has the wrong number of words.
    #[error("unknown line \"{0}\"")]
    Unknown(String),
    /// The value of a numeric field is not a number.
    #[error("field {field} is not a number in \"{fields}\"")]
    Number {
        /// Name of the field.
        field: String,
        /// All fields of the line, as received.
        fields: String,
    },
}

/// Removes all complete lines, with the bodies that follow them, from the received bytes and returns them.
///
/// # Errors
///
/// A line is not valid in the protocol.
pub fn take_lines(input: &mut Vec<u8>) -> Result<Vec<HostLine>, LineError> {
    let mut lines = Vec::new();
    while let Some(parsed) = parse_line(input)? {
        input.drain(..parsed.length);
        lines.push(parsed.line);
    }
    Ok(lines)
}

struct ParsedLine {
    line: HostLine,
    /// Number of bytes on the wire, including line end and body.
    length: usize,
}

/// Parses the first line; `None` if it is not complete yet.
fn parse_line(input: &[u8]) -> Result<Option<ParsedLine>, LineError> {
    let Some(end) = input.windows(LINE_END.len()).position(|bytes| bytes == LINE_END) else {
        return Ok(None);
    };
    let text = std::str::from_utf8(&input[..end]).map_err(|_| LineError::NotUtf8)?;
    let body_start = end + LINE_END.len();
    let words: Vec<&str> = text.split(' ').collect();
    let (line, length) = match words[..] {
        ["fetch", id, fields, length] => {
            let body_length: usize = length.parse().map_err(|_| LineError::Length(text.to_owned()))?;
            let length = body_start + body_length + LINE_END.len();
            if input.len() < length {
                return Ok(None);
            }
            if &input[length - LINE_END.len()..length] != LINE_END {
                return Err(LineError::BodyEnd(text.to_owned()));
            }
            (HostLine::Fetch(parse_fetch(id, fields)?), length)
        }
        ["abort", id] => (HostLine::Cancel(id.to_owned()), body_start),
        ["stats" | "alive", tag] => (HostLine::HealthCheck(tag.to_owned()), body_start),
        _ => return Err(LineError::Unknown(text.to_owned())),
    };
    Ok(Some(ParsedLine { line, length }))
}

fn parse_fetch(id: &str, fields: &str) -> Result<FetchRequest, LineError> {
    let mut request = FetchRequest { id: id.to_owned(), ..FetchRequest::default() };
    for (name, value) in fields.split(',').filter_map(|pair| pair.split_once('=')) {
        let number = || {
            let error = |_| LineError::Number { field: name.to_owned(), fields: fields.to_owned() };
            value.parse::<i64>().map_err(error)
        };
        match name {
            "cls" => request.class = value.to_owned(),
            "item" => request.item.object = value.to_owned(),
            "chunk" => request.item.part = number()? as u32,
            "from" => request.source = Some(value.to_owned()),
            "oldest" => request.max_age = Span::from_millis(number()?),
            "rank" => request.rank = number()? as u32,
            "mode" => request.only_if_cached = value.split('+').any(|word| word == "peek"),
            _ => {}
        }
    }
    Ok(request)
}

/// The answer of a host to a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HostAnswer {
    /// Status word, as on the wire.
    pub status: &'static str,
    /// Comma-separated fields, as on the wire; empty if there are none.
    pub fields: String,
    /// Body, without its line end; empty if there is none.
    pub body: Vec<u8>,
}

/// The answer to every health check; it has no fields.
pub const HEALTHY: HostAnswer = HostAnswer { status: "status", fields: String::new(), body: Vec::new() };

impl HostAnswer {
    /// Returns the answer's bytes on the wire, for the request or health check with this id.
    pub fn encode(&self, id: &str) -> Vec<u8> {
        let fields = if self.fields.is_empty() { "-" } else { &self.fields };
        let head = format!("{id} {} {fields} {}\r\n", self.status, self.body.len());
        let tail: &[u8] = if self.body.is_empty() { b"" } else { LINE_END };
        [head.as_bytes(), &self.body, tail].concat()
    }

    /// Whether the status proves that the request was not executed.
    pub fn proves_not_run(&self) -> bool {
        matches!(self.status, "404" | "503" | "504")
    }
}

/// The bytes that a host sends in place of an answer that is garbled by a fault.
pub const GARBLED_ANSWER: &[u8] = b"no line of the protocol at all\r\n";

#[cfg(test)]
mod tests;

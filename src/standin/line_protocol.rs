//! The hosts' end of the line protocol: reads requests, writes answers.

use crate::interface::Span;

const LINE_END: &[u8] = b"\r\n";

/// An object's part, by which copies are cached.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Item {
    /// The object's id in hex.
    pub object: String,
    /// The number of the part.
    pub part: u32,
}

/// A request as a host received it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FetchRequest {
    /// The attempt's id, which is the client's trace.
    pub id: String,
    /// The class.
    pub class: String,
    /// What is requested.
    pub item: Item,
    /// The name of the host that fills a miss.
    pub source: Option<String>,
    /// The oldest copy that may be served; zero: any.
    pub max_age: Span,
    /// The rank at which the copy is cached.
    pub rank: u32,
    /// The source answers only from its copies.
    pub only_if_cached: bool,
}

impl FetchRequest {
    /// Whether the request writes, so that every host passes it on to the origin.
    pub fn is_write(&self) -> bool {
        self.class == "result"
    }
}

/// A line that a host received.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HostLine {
    /// A request.
    Fetch(FetchRequest),
    /// Cancels the request of this id.
    Cancel(String),
    /// Asks for the host's status, under this tag.
    HealthCheck(String),
}

/// Why received bytes are no line of the protocol.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum LineError {
    /// The line is not UTF-8.
    #[error("not UTF-8")]
    NotUtf8,
    /// The length of a body is no number.
    #[error("no length: {0}")]
    Length(String),
    /// No line end follows a body.
    #[error("no end behind the body: {0}")]
    BodyEnd(String),
    /// The line is of no known form.
    #[error("no line of the protocol: {0}")]
    Unknown(String),
    /// A numeric field holds something else.
    #[error("{field} is no number in {fields}")]
    Number {
        /// The field's name.
        field: String,
        /// All fields of the line.
        fields: String,
    },
}

/// Removes all complete lines, with the bodies behind them, from the received bytes.
///
/// # Errors
///
/// A line that the protocol does not have.
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
    /// Its bytes on the wire, with line end and body.
    length: usize,
}

/// Parses the first line; `None`: it is not complete yet.
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

/// What a host answers a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HostAnswer {
    /// The status, as on the wire.
    pub status: &'static str,
    /// The fields, as on the wire.
    pub fields: String,
    /// The body.
    pub body: Vec<u8>,
}

/// The answer to a health check.
pub const HEALTHY: HostAnswer = HostAnswer { status: "status", fields: String::new(), body: Vec::new() };

impl HostAnswer {
    /// Its bytes on the wire, as the answer to the request of an id.
    pub fn encode(&self, id: &str) -> Vec<u8> {
        let fields = if self.fields.is_empty() { "-" } else { &self.fields };
        let head = format!("{id} {} {fields} {}\r\n", self.status, self.body.len());
        let tail: &[u8] = if self.body.is_empty() { b"" } else { LINE_END };
        [head.as_bytes(), &self.body, tail].concat()
    }

    /// Whether it says that the request did not run.
    pub fn proves_not_run(&self) -> bool {
        matches!(self.status, "404" | "503" | "504")
    }
}

/// What a host sends in place of an answer when its answer is garbled.
pub const GARBLED_ANSWER: &[u8] = b"no line of the protocol at all\r\n";

#[cfg(test)]
mod tests;

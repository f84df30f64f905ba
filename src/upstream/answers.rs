//! The parser of answers. It takes the bytes as they are received and returns complete answers.

use super::line_protocol::{WireAnswer, MAX_BODY_BYTES, MAX_LINE_BYTES};
use bytes::{Buf, Bytes, BytesMut};

/// Valid status words of answers.
const STATUSES: [&str; 10] = ["200", "304", "404", "500", "503", "504", "alive", "dead", "stats", "status"];

/// Placeholder for the fields in the line of an answer without fields.
const NO_FIELDS: &str = "-";
/// Ends a line, and also the body of an answer.
const LINE_END: &[u8; 2] = b"\r\n";
/// Minimum length of a body that is returned as a slice of the buffer. A shorter body is copied, since a
/// slice would keep the whole buffer allocated.
const MIN_SLICED_BODY_BYTES: usize = 16 * 1024;

/// The received bytes are not a valid answer of the line protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("not a valid answer of the line protocol")]
pub struct MalformedAnswer;

/// The parsed line of an answer, whose body follows.
#[derive(Debug)]
struct Head {
    answer: WireAnswer,
    body_length: usize,
}

/// Parses the answers on one connection.
#[derive(Debug, Default)]
pub struct AnswerReader {
    /// Line of the answer whose body is being received.
    head: Option<Head>,
    /// Number of bytes of that answer that are still to be discarded.
    discard: usize,
    /// Whether the line end of an empty body may follow, since the last answer had no body.
    accepts_line_end: bool,
}

impl AnswerReader {
    /// Returns the number of buffer bytes that the body of the current answer needs; 0 if the line of the
    /// answer has not been received yet or its body is discarded.
    pub fn needed_bytes(&self) -> usize {
        self.head.as_ref().filter(|_| self.discard == 0).map_or(0, |head| head.body_length + LINE_END.len())
    }

    /// Whether the line of an answer has been received, but not yet its whole body.
    pub fn is_in_body(&self) -> bool {
        self.head.is_some()
    }

    /// Removes the next complete answer from `input` and returns it; `None` if more bytes are needed. A body
    /// longer than `capacity` bytes is discarded as it is received.
    ///
    /// # Errors
    ///
    /// The input is not a valid answer.
    pub fn next(
        &mut self,
        input: &mut BytesMut,
        capacity: usize,
    ) -> Result<Option<WireAnswer>, MalformedAnswer> {
        loop {
            if self.discard > 0 {
                return Ok(self.discard_body(input));
            }
            if self.head.is_some() {
                return self.take_body(input);
            }
            let Some(head) = self.next_head(input)? else { return Ok(None) };
            // A `200` answer with an empty body is complete only with the line end after the body, since the
            // stated length may be wrong.
            if head.body_length == 0 && head.answer.status != "200" {
                self.accepts_line_end = true;
                return Ok(Some(head.answer));
            }
            self.begin_body(head, input, capacity);
        }
    }

    /// Removes the next line from `input` and parses it; `None` if no line has been received completely. An
    /// empty line is the end of an empty body. Elsewhere it is malformed: a server could send empty lines for
    /// ever, and its connection would never count as stalled.
    fn next_head(&mut self, input: &mut BytesMut) -> Result<Option<Head>, MalformedAnswer> {
        loop {
            let Some(line) = take_line(input)? else { return Ok(None) };
            let is_line_end = line.is_empty() && std::mem::take(&mut self.accepts_line_end);
            if !is_line_end {
                self.accepts_line_end = false;
                return parse_head(&line).map(Some);
            }
        }
    }

    /// Begins to receive or discard the body of an answer.
    fn begin_body(&mut self, mut head: Head, input: &mut BytesMut, capacity: usize) {
        if head.body_length > capacity {
            self.discard = head.body_length + LINE_END.len();
            head.answer.body_dropped = true;
        } else {
            input.reserve((head.body_length + LINE_END.len()).saturating_sub(input.len()));
        }
        self.head = Some(head);
    }

    /// Discards received bytes of a body that exceeds the capacity. Returns the answer once all of them were
    /// discarded.
    fn discard_body(&mut self, input: &mut BytesMut) -> Option<WireAnswer> {
        let part = self.discard.min(input.len());
        input.advance(part);
        self.discard -= part;
        if self.discard > 0 {
            return None;
        }
        self.head.take().map(|head| head.answer)
    }

    /// Returns the answer with its body; `None` if the body has not been received completely.
    fn take_body(&mut self, input: &mut BytesMut) -> Result<Option<WireAnswer>, MalformedAnswer> {
        let Some(Head { body_length: length, .. }) = self.head else { return Ok(None) };
        if input.len() < length + LINE_END.len() {
            return Ok(None);
        }
        let body = if length < MIN_SLICED_BODY_BYTES {
            let body = Bytes::copy_from_slice(&input[..length]);
            input.advance(length);
            body
        } else {
            input.split_to(length).freeze()
        };
        if input.split_to(LINE_END.len())[..] != LINE_END[..] {
            return Err(MalformedAnswer);
        }
        Ok(self.head.take().map(|head| WireAnswer { body, ..head.answer }))
    }
}

/// Removes the next line, without its end, from `input`; `None` if no line has been received completely.
fn take_line(input: &mut BytesMut) -> Result<Option<BytesMut>, MalformedAnswer> {
    let searched = &input[..input.len().min(MAX_LINE_BYTES + LINE_END.len())];
    let Some(end) = searched.windows(LINE_END.len()).position(|pair| pair == LINE_END) else {
        return if input.len() > MAX_LINE_BYTES { Err(MalformedAnswer) } else { Ok(None) };
    };
    let line = input.split_to(end);
    input.advance(LINE_END.len());
    Ok(Some(line))
}

/// Parses the line of an answer.
fn parse_head(line: &[u8]) -> Result<Head, MalformedAnswer> {
    let line = std::str::from_utf8(line).map_err(|_| MalformedAnswer)?;
    let words: Vec<&str> = line.split(' ').collect();
    let (id, status, fields, length) = match words[..] {
        [id, status] => (id, status, NO_FIELDS, "0"),
        [id, status, fields] => (id, status, fields, "0"),
        [id, status, fields, length] => (id, status, fields, length),
        _ => return Err(MalformedAnswer),
    };
    let body_length: usize = length.parse().map_err(|_| MalformedAnswer)?;
    if id.is_empty() || !STATUSES.contains(&status) || body_length > MAX_BODY_BYTES {
        return Err(MalformedAnswer);
    }
    let pair = |pair: &str| pair.split_once('=').map(|(name, value)| (name.to_owned(), value.to_owned()));
    let fields = match fields {
        NO_FIELDS | "" => Vec::new(),
        list => list.split(',').map(pair).collect::<Option<_>>().ok_or(MalformedAnswer)?,
    };
    let (id, status) = (id.to_owned(), status.to_owned());
    let answer = WireAnswer { id, status, fields, body: Bytes::new(), body_dropped: false };
    Ok(Head { answer, body_length })
}

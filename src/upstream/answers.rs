//! The reader of servers' answers, which arrive in parts and are returned complete.

use super::line_protocol::{WireAnswer, MAX_BODY_BYTES, MAX_LINE_BYTES};
use bytes::{Buf, Bytes, BytesMut};

/// The statuses that an answer may have.
const STATUSES: [&str; 10] = ["200", "304", "404", "500", "503", "504", "alive", "dead", "stats", "status"];

/// Stands in a line in place of its fields, if it has none.
const NO_FIELDS: &str = "-";
/// Ends a line, and an answer's body.
const LINE_END: &[u8; 2] = b"\r\n";
/// A shorter body is copied: a slice would keep the whole buffer alive.
const MIN_SLICED_BODY_BYTES: usize = 16 * 1024;

/// What the peer sent is no answer of the line protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("no answer of the line protocol")]
pub struct MalformedAnswer;

/// An answer without its body.
#[derive(Debug)]
struct Head {
    answer: WireAnswer,
    body_length: usize,
}

/// Reads the answers of one connection.
#[derive(Debug, Default)]
pub struct AnswerReader {
    /// The answer that is being received.
    head: Option<Head>,
    /// Bytes of that answer that are still to be discarded.
    discard: usize,
}

impl AnswerReader {
    /// Buffer bytes that the answer being received needs; 0 if that is not known yet, or if its body is discarded.
    pub fn needed_bytes(&self) -> usize {
        self.head.as_ref().filter(|_| self.discard == 0).map_or(0, |head| head.body_length + LINE_END.len())
    }

    /// Whether the body of an answer is still to be received.
    pub fn is_in_body(&self) -> bool {
        self.head.is_some()
    }

    /// Takes the next complete answer from `input`. A body longer than `capacity` bytes is discarded as it arrives.
    ///
    /// # Errors
    ///
    /// The input is no answer.
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
            let Some(head) = next_head(input)? else { return Ok(None) };
            // An empty body is complete only with the line end behind it: the stated length may be wrong.
            if head.body_length == 0 && head.answer.status != "200" {
                return Ok(Some(head.answer));
            }
            self.begin_body(head, input, capacity);
        }
    }

    /// Begins an answer that has a body.
    fn begin_body(&mut self, mut head: Head, input: &mut BytesMut, capacity: usize) {
        if head.body_length > capacity {
            self.discard = head.body_length + LINE_END.len();
            head.answer.body_dropped = true;
        } else {
            input.reserve((head.body_length + LINE_END.len()).saturating_sub(input.len()));
        }
        self.head = Some(head);
    }

    /// Discards a body that there is no capacity for; returns the answer once all of it was received.
    fn discard_body(&mut self, input: &mut BytesMut) -> Option<WireAnswer> {
        let part = self.discard.min(input.len());
        input.advance(part);
        self.discard -= part;
        if self.discard > 0 {
            return None;
        }
        self.head.take().map(|head| head.answer)
    }

    /// Takes an answer with its body, if it was received completely.
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

/// Takes the next line, if it was received completely.
fn next_head(input: &mut BytesMut) -> Result<Option<Head>, MalformedAnswer> {
    loop {
        let Some(end) = input.windows(LINE_END.len()).position(|pair| pair == LINE_END) else {
            return if input.len() > MAX_LINE_BYTES { Err(MalformedAnswer) } else { Ok(None) };
        };
        let line = input.split_to(end + LINE_END.len());
        // An empty line ends an empty body.
        if end > 0 {
            return parse_head(&line[..end]).map(Some);
        }
    }
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

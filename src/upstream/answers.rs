//! Answers as they come from servers: read in pieces, and taken whole.

use super::lines::{WireAnswer, LONGEST_LINE, MOST_BYTES};
use bytes::{Buf, Bytes, BytesMut};

/// The words that an answer may have.
const WORDS: [&str; 10] = ["200", "304", "404", "500", "503", "504", "alive", "dead", "stats", "status"];

/// The end of a line, and of an answer's bytes.
const LINE_END: &[u8; 2] = b"\r\n";
/// A shorter answer is copied out of the buffer: a slice would keep all of it.
const SHORT: usize = 16 * 1024;

/// The peer does not speak the protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("no answer of the line protocol")]
pub struct MalformedAnswer;

/// An answer's line, and how many bytes follow it.
#[derive(Debug)]
struct Head {
    answer: WireAnswer,
    length: usize,
}

/// What reads a connection's answers, each taken whole.
#[derive(Debug, Default)]
pub struct Reader {
    head: Option<Head>,
    /// Bytes of the answer under way that are still to be let go.
    skip: usize,
}

impl Reader {
    /// Bytes that the answer under way takes in the buffer; 0 if that is not known yet.
    pub fn wanted(&self) -> usize {
        self.head.as_ref().filter(|_| self.skip == 0).map_or(0, |head| head.length + LINE_END.len())
    }

    /// Whether an answer's bytes are still to come.
    pub fn is_midway(&self) -> bool {
        self.head.is_some()
    }

    /// The next whole answer of what has come. An answer longer than `room` bytes is let go as it comes.
    ///
    /// # Errors
    ///
    /// Something that is no answer.
    pub fn next(&mut self, input: &mut BytesMut, room: usize) -> Result<Option<WireAnswer>, MalformedAnswer> {
        loop {
            if self.skip > 0 {
                return Ok(self.skip_bytes(input));
            }
            if self.head.is_some() {
                return self.take_bytes(input);
            }
            let Some(head) = next_head(input)? else { return Ok(None) };
            // A copy of no bytes is believed once the line's end behind it is there: its length may not fit.
            if head.length == 0 && head.answer.status != "200" {
                return Ok(Some(head.answer));
            }
            self.begin(head, input, room);
        }
    }

    /// Begins an answer that has bytes.
    fn begin(&mut self, mut head: Head, input: &mut BytesMut, room: usize) {
        if head.length > room {
            self.skip = head.length + LINE_END.len();
            head.answer.body_dropped = true;
        } else {
            input.reserve((head.length + LINE_END.len()).saturating_sub(input.len()));
        }
        self.head = Some(head);
    }

    /// Lets bytes of an answer go that there is no room for; the answer without them once they are through.
    fn skip_bytes(&mut self, input: &mut BytesMut) -> Option<WireAnswer> {
        let part = self.skip.min(input.len());
        input.advance(part);
        self.skip -= part;
        if self.skip > 0 {
            return None;
        }
        self.head.take().map(|head| head.answer)
    }

    /// Takes an answer's bytes, if they are all there.
    fn take_bytes(&mut self, input: &mut BytesMut) -> Result<Option<WireAnswer>, MalformedAnswer> {
        let Some(Head { length, .. }) = self.head else { return Ok(None) };
        if input.len() < length + LINE_END.len() {
            return Ok(None);
        }
        let body = if length < SHORT {
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

/// Takes the next line of an answer, if it is whole.
fn next_head(input: &mut BytesMut) -> Result<Option<Head>, MalformedAnswer> {
    loop {
        let Some(end) = input.windows(LINE_END.len()).position(|pair| pair == LINE_END) else {
            return if input.len() > LONGEST_LINE { Err(MalformedAnswer) } else { Ok(None) };
        };
        let line = input.split_to(end + LINE_END.len());
        // An empty line is the end behind no bytes.
        if end > 0 {
            return head(&line[..end]).map(Some);
        }
    }
}

/// The line of an answer, and the bytes that follow it.
fn head(line: &[u8]) -> Result<Head, MalformedAnswer> {
    let line = std::str::from_utf8(line).map_err(|_| MalformedAnswer)?;
    let words: Vec<&str> = line.split(' ').collect();
    let (id, word, fields, length) = match words[..] {
        [id, word] => (id, word, "-", "0"),
        [id, word, fields] => (id, word, fields, "0"),
        [id, word, fields, length] => (id, word, fields, length),
        _ => return Err(MalformedAnswer),
    };
    let length: usize = length.parse().map_err(|_| MalformedAnswer)?;
    if id.is_empty() || !WORDS.contains(&word) || length > MOST_BYTES {
        return Err(MalformedAnswer);
    }
    let pair = |pair: &str| pair.split_once('=').map(|(name, value)| (name.to_owned(), value.to_owned()));
    let fields = match fields {
        "-" | "" => Vec::new(),
        list => list.split(',').map(pair).collect::<Option<_>>().ok_or(MalformedAnswer)?,
    };
    let (id, word) = (id.to_owned(), word.to_owned());
    let answer = WireAnswer { id, status: word, fields, body: Bytes::new(), body_dropped: false };
    Ok(Head { answer, length })
}

//! The line protocol to table caches, parents and the origin.

use bytes::{Buf, Bytes, BytesMut};
use std::fmt::Write;

/// The longest line of an answer.
pub const LONGEST_LINE: usize = 4096;
/// The longest word of a client's that is passed on.
const LONGEST_WORD: usize = 128;
/// The most bytes that an answer may carry: an object of the protocol has 240,000.
pub const MOST_BYTES: usize = 1 << 18;

/// A request as it is written.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Fetch {
    /// The class's name.
    pub class: String,
    /// The object, as the client named it.
    pub item: String,
    /// The part.
    pub chunk: u32,
    /// How long the answer is waited for, in milliseconds.
    pub limit: i64,
    /// The id of the source of a fill.
    pub from: Option<String>,
    /// The rank at which the copy is kept.
    pub rank: u8,
    /// The oldest copy that will do, in milliseconds; 0: not said.
    pub oldest: i64,
    /// Join a fill that is under way.
    pub share: bool,
    /// The source gives only what it holds.
    pub peek: bool,
    /// The parent keeps no copy.
    pub pass: bool,
    /// Renew an ageing copy behind.
    pub swr: bool,
    /// The tag of the client's copy; passed on only if it is one word that can't be mistaken.
    pub seen: Option<String>,
    /// The idempotency key, a plain word.
    pub idempotency_key: Option<String>,
    /// What the client sent along.
    pub body: Bytes,
}

/// The bytes of a request before its body.
pub fn fetch_head(id: &str, fetch: &Fetch) -> Bytes {
    let Fetch { class, item, chunk, limit, .. } = fetch;
    let mut line = format!("fetch {id} cls={class},item={item},chunk={chunk},limit={limit}");
    let mut field = |name: &str, value: &dyn std::fmt::Display| {
        let _ = write!(line, ",{name}={value}"); // a string takes all
    };
    if let Some(from) = &fetch.from {
        field("from", from);
    }
    if fetch.rank > 0 {
        field("rank", &fetch.rank);
    }
    if fetch.oldest > 0 {
        field("oldest", &fetch.oldest);
    }
    let words = [(fetch.share, "share"), (fetch.peek, "peek"), (fetch.pass, "pass"), (fetch.swr, "swr")];
    let mode: Vec<&str> = words.iter().filter(|(on, _)| *on).map(|(_, word)| *word).collect();
    if !mode.is_empty() {
        field("mode", &mode.join("+"));
    }
    if let Some(key) = fetch.idempotency_key.as_ref().filter(|key| is_plain(key)) {
        field("nonce", key);
    }
    if let Some(seen) = fetch.seen.as_ref().filter(|seen| is_plain(seen)) {
        field("seen", seen);
    }
    let _ = write!(line, " {}\r\n", fetch.body.len());
    line.into()
}

/// Whether a client's word can be passed on: one that would break the line cannot.
pub fn is_plain(word: &str) -> bool {
    let fits = |c: char| c.is_ascii_alphanumeric() || "_-.:".contains(c);
    (1..=LONGEST_WORD).contains(&word.len()) && word.chars().all(fits)
}

/// Gives a request up.
pub fn abort(id: &str) -> Bytes {
    format!("abort {id}\r\n").into()
}

/// Asks for the health, with the load report.
pub fn stats(tag: &str) -> Bytes {
    format!("stats {tag}\r\n").into()
}

/// An answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// The id of what it answers.
    pub id: String,
    /// Its word: `200`, `alive` and the like.
    pub word: String,
    /// Its fields.
    pub fields: Vec<(String, String)>,
    /// Its bytes.
    pub body: Bytes,
    /// Its bytes were let go for want of memory.
    pub dropped: bool,
}

impl Answer {
    /// The value of a field.
    pub fn field(&self, name: &str) -> Option<&str> {
        self.fields.iter().find(|(known, _)| known == name).map(|(_, value)| value.as_str())
    }

    /// The load report, in the order of the names.
    pub fn load(&self, names: &[String]) -> Vec<f32> {
        let pairs: Vec<(&str, f32)> = self
            .field("meter")
            .unwrap_or_default()
            .split(';')
            .filter_map(|pair| pair.split_once(':'))
            .filter_map(|(name, value)| Some((name, value.parse().ok()?)))
            .collect();
        // On the sockets some names differ from those of the settings; these stand in the settings' order.
        let named = |name: &String| pairs.iter().find(|(known, _)| known == name).map(|(_, value)| *value);
        let found: Option<Vec<f32>> = names.iter().map(named).collect();
        found.unwrap_or_else(|| pairs.iter().map(|(_, value)| *value).collect())
    }
}

/// The words that an answer may have.
const WORDS: [&str; 10] = ["200", "304", "404", "500", "503", "504", "alive", "dead", "stats", "status"];

/// What reads a connection's answers, each taken whole.
#[derive(Debug, Default)]
pub struct Reader {
    head: Option<(Answer, usize)>,
    skip: usize,
}

/// A shorter answer is copied out of the buffer: a slice would keep all of it.
const SHORT: usize = 16 * 1024;

/// The peer does not speak the protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bad;

impl Reader {
    /// Bytes that the answer under way takes in the buffer; 0 if that is not known yet.
    pub fn wanted(&self) -> usize {
        self.head.as_ref().filter(|_| self.skip == 0).map_or(0, |(_, length)| length + 2)
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
    pub fn next(&mut self, input: &mut BytesMut, room: usize) -> Result<Option<Answer>, Bad> {
        loop {
            if self.skip > 0 {
                let part = self.skip.min(input.len());
                input.advance(part);
                self.skip -= part;
                if self.skip > 0 {
                    return Ok(None);
                }
                return Ok(self.head.take().map(|(answer, _)| answer));
            }
            if let Some((_, length)) = &self.head {
                if input.len() < length + 2 {
                    return Ok(None);
                }
                let body = match *length {
                    short if short < SHORT => {
                        let body = Bytes::copy_from_slice(&input[..short]);
                        input.advance(short);
                        body
                    }
                    long => input.split_to(long).freeze(),
                };
                if input.split_to(2)[..] != b"\r\n"[..] {
                    return Err(Bad);
                }
                return Ok(self.head.take().map(|(answer, _)| Answer { body, ..answer }));
            }
            let Some(end) = input.windows(2).position(|pair| pair == b"\r\n") else {
                return if input.len() > LONGEST_LINE { Err(Bad) } else { Ok(None) };
            };
            let line = input.split_to(end + 2);
            if end == 0 {
                continue; // the CR LF behind no bytes
            }
            let (answer, length) = head(&line[..end])?;
            // A copy of no bytes is believed once the line's end behind it is there: its length may not fit.
            if length == 0 && answer.word != "200" {
                return Ok(Some(answer));
            }
            if length > room {
                self.skip = length + 2;
                self.head = Some((Answer { dropped: true, ..answer }, length));
            } else {
                input.reserve((length + 2).saturating_sub(input.len()));
                self.head = Some((answer, length));
            }
        }
    }
}

/// The line of an answer, and the bytes that follow it.
fn head(line: &[u8]) -> Result<(Answer, usize), Bad> {
    let line = std::str::from_utf8(line).map_err(|_| Bad)?;
    let words: Vec<&str> = line.split(' ').collect();
    let (id, word, fields, length) = match words[..] {
        [id, word] => (id, word, "-", "0"),
        [id, word, fields] => (id, word, fields, "0"),
        [id, word, fields, length] => (id, word, fields, length),
        _ => return Err(Bad),
    };
    let length: usize = length.parse().map_err(|_| Bad)?;
    if id.is_empty() || !WORDS.contains(&word) || length > MOST_BYTES {
        return Err(Bad);
    }
    let pair = |pair: &str| pair.split_once('=').map(|(name, value)| (name.to_owned(), value.to_owned()));
    let fields = match fields {
        "-" | "" => Vec::new(),
        list => list.split(',').map(pair).collect::<Option<_>>().ok_or(Bad)?,
    };
    let (id, word) = (id.to_owned(), word.to_owned());
    Ok((Answer { id, word, fields, body: Bytes::new(), dropped: false }, length))
}

#[cfg(test)]
mod tests;

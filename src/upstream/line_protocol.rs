//! The line protocol of table caches, parents and the origin: the encoding of requests, and the parsed
//! answer.

use bytes::Bytes;
use std::fmt::Write;

/// Maximum length of an answer's line, in bytes.
pub const MAX_LINE_BYTES: usize = 4096;
/// Maximum length of a plain word, in bytes.
const MAX_WORD_BYTES: usize = 128;
/// Maximum length of an answer's body, in bytes. An object of the protocol has at most 240,000 bytes.
pub const MAX_BODY_BYTES: usize = 1 << 18;

/// The idempotency key of a request, by which servers drop repeats. It must reach the servers unchanged, so
/// it is always a plain word.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct IdempotencyKey(String);

impl IdempotencyKey {
    /// Returns the key of a client's request; `None` if it is not a plain word, so that a line could not hold
    /// it unchanged.
    pub fn parse(word: &str) -> Option<Self> {
        is_plain_word(word).then(|| IdempotencyKey(word.to_owned()))
    }

    /// Returns the key as the client sent it.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

/// A request to a server, before it is encoded.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WireRequest {
    /// Name of the class.
    pub class: String,
    /// Name of the object, as the client sent it.
    pub item: String,
    /// Number of the requested part of the object.
    pub part: u32,
    /// Attempt timeout, in ms.
    pub timeout_ms: i64,
    /// Id of the fill source; `None` if the request names none.
    pub fill_source: Option<String>,
    /// Rank at which the copy is cached; sent only if it is above 0.
    pub cache_rank: u8,
    /// Maximum age of the copy, in ms; 0 accepts any age.
    pub max_age_ms: i64,
    /// Whether the request may join a fill in flight.
    pub join_fill: bool,
    /// Whether the fill source answers only from its cache.
    pub only_if_cached: bool,
    /// Whether the parent answers without caching a copy.
    pub bypass_parent_cache: bool,
    /// Whether a stale copy may be served while it is refreshed in the background.
    pub stale_while_revalidate: bool,
    /// Entity tag of the client's copy; sent only if it is a plain word.
    pub client_etag: Option<String>,
    /// Idempotency key; `None` if the client sent none.
    pub idempotency_key: Option<IdempotencyKey>,
    /// Body of the request.
    pub body: Bytes,
}

/// Encodes the line of a request. The caller sends the body after it.
pub fn encode_fetch_line(id: &str, fetch: &WireRequest) -> Bytes {
    let WireRequest { class, item, part: chunk, timeout_ms: limit, .. } = fetch;
    let mut line = format!("fetch {id} cls={class},item={item},chunk={chunk},limit={limit}");
    let mut field = |name: &str, value: &dyn std::fmt::Display| {
        let _ = write!(line, ",{name}={value}"); // writing to a string cannot fail
    };
    if let Some(from) = &fetch.fill_source {
        field("from", from);
    }
    if fetch.cache_rank > 0 {
        field("rank", &fetch.cache_rank);
    }
    if fetch.max_age_ms > 0 {
        field("oldest", &fetch.max_age_ms);
    }
    let modes = [
        (fetch.join_fill, "share"),
        (fetch.only_if_cached, "peek"),
        (fetch.bypass_parent_cache, "pass"),
        (fetch.stale_while_revalidate, "swr"),
    ];
    let mode: Vec<&str> = modes.iter().filter(|(on, _)| *on).map(|(_, word)| *word).collect();
    if !mode.is_empty() {
        field("mode", &mode.join("+"));
    }
    if let Some(key) = &fetch.idempotency_key {
        field("nonce", &key.as_str());
    }
    if let Some(seen) = fetch.client_etag.as_ref().filter(|seen| is_plain_word(seen)) {
        field("seen", seen);
    }
    let _ = write!(line, " {}\r\n", fetch.body.len());
    line.into()
}

/// Whether a word from a client can be put into a line without adding fields or ending the line.
fn is_plain_word(word: &str) -> bool {
    let fits = |c: char| c.is_ascii_alphanumeric() || "_-.:".contains(c);
    (1..=MAX_WORD_BYTES).contains(&word.len()) && word.chars().all(fits)
}

/// Encodes the line that cancels a request.
pub fn encode_abort_line(id: &str) -> Bytes {
    format!("abort {id}\r\n").into()
}

/// Encodes the line of a health check. The answer to it holds the load report.
pub fn encode_stats_line(id: &str) -> Bytes {
    format!("stats {id}\r\n").into()
}

/// A complete answer of a server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WireAnswer {
    /// Id of the request or health check that it answers.
    pub id: String,
    /// Status word, for example `200` or `alive`.
    pub status: String,
    /// Names and values of the fields, in the order received.
    pub fields: Vec<(String, String)>,
    /// Body; empty if it was discarded.
    pub body: Bytes,
    /// Whether the body was discarded because it did not fit into the limit for buffers.
    pub body_dropped: bool,
}

impl WireAnswer {
    /// Returns the value of a field; `None` if the answer has no such field.
    pub fn field(&self, name: &str) -> Option<&str> {
        self.fields.iter().find(|(known, _)| known == name).map(|(_, value)| value.as_str())
    }

    /// Returns the values of the load report, in the order of `names`, the names in the settings.
    pub fn load_report(&self, names: &[String]) -> Vec<f32> {
        let pairs: Vec<(&str, f32)> = self
            .field("meter")
            .unwrap_or_default()
            .split(';')
            .filter_map(|pair| pair.split_once(':'))
            .filter_map(|(name, value)| Some((name, value.parse().ok()?)))
            .collect();
        // Some servers use names that differ from those in the settings, but report in the order of the
        // settings.
        let named = |name: &String| pairs.iter().find(|(known, _)| known == name).map(|(_, value)| *value);
        let found: Option<Vec<f32>> = names.iter().map(named).collect();
        found.unwrap_or_else(|| pairs.iter().map(|(_, value)| *value).collect())
    }
}

#[cfg(test)]
mod tests;

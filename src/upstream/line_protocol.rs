//! The line protocol to table caches, parents and the origin: encoding of requests, and answers as parsed.

use bytes::Bytes;
use std::fmt::Write;

/// The longest line of an answer, in bytes.
pub const MAX_LINE_BYTES: usize = 4096;
/// The longest plain word, in bytes.
const MAX_WORD_BYTES: usize = 128;
/// The longest body of an answer, in bytes: an object of the protocol has 240,000.
pub const MAX_BODY_BYTES: usize = 1 << 18;

/// The key by which servers drop repeats of a request. Servers must get it unchanged, so it is always a plain word.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct IdempotencyKey(String);

impl IdempotencyKey {
    /// The key of a client's request; `None` if it could not stand in a line unchanged.
    pub fn parse(word: &str) -> Option<Self> {
        is_plain_word(word).then(|| IdempotencyKey(word.to_owned()))
    }

    /// The key as the client sent it.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

/// A request to a server.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WireRequest {
    /// The class's name.
    pub class: String,
    /// The object, as the client named it.
    pub item: String,
    /// The part.
    pub part: u32,
    /// The attempt time-out, in milliseconds.
    pub timeout_ms: i64,
    /// The fill source's id.
    pub fill_source: Option<String>,
    /// The rank at which the copy is cached.
    pub cache_rank: u8,
    /// The oldest copy that is accepted, in milliseconds; 0: any age.
    pub max_age_ms: i64,
    /// Join a fill in flight.
    pub join_fill: bool,
    /// The source answers only from its cache.
    pub only_if_cached: bool,
    /// The parent caches no copy.
    pub bypass_parent_cache: bool,
    /// Serve an ageing copy and refresh it in the background.
    pub stale_while_revalidate: bool,
    /// The entity tag of the client's copy; sent only if it is a plain word.
    pub client_etag: Option<String>,
    /// The idempotency key.
    pub idempotency_key: Option<IdempotencyKey>,
    /// The request's body.
    pub body: Bytes,
}

/// Encodes a request's line; its body follows.
pub fn encode_fetch_line(id: &str, fetch: &WireRequest) -> Bytes {
    let WireRequest { class, item, part: chunk, timeout_ms: limit, .. } = fetch;
    let mut line = format!("fetch {id} cls={class},item={item},chunk={chunk},limit={limit}");
    let mut field = |name: &str, value: &dyn std::fmt::Display| {
        let _ = write!(line, ",{name}={value}"); // writing to a string can't fail
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

/// Whether a client's word can stand in a line without breaking it.
fn is_plain_word(word: &str) -> bool {
    let fits = |c: char| c.is_ascii_alphanumeric() || "_-.:".contains(c);
    (1..=MAX_WORD_BYTES).contains(&word.len()) && word.chars().all(fits)
}

/// Encodes the cancellation of a request.
pub fn encode_abort_line(id: &str) -> Bytes {
    format!("abort {id}\r\n").into()
}

/// Encodes a health check, which is answered with the load report.
pub fn encode_stats_line(id: &str) -> Bytes {
    format!("stats {id}\r\n").into()
}

/// An answer of a server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WireAnswer {
    /// The id of the request that it answers.
    pub id: String,
    /// Its status: `200`, `alive` and the like.
    pub status: String,
    /// Its fields, by name.
    pub fields: Vec<(String, String)>,
    /// Its body.
    pub body: Bytes,
    /// Its body was discarded for want of memory.
    pub body_dropped: bool,
}

impl WireAnswer {
    /// The value of a field.
    pub fn field(&self, name: &str) -> Option<&str> {
        self.fields.iter().find(|(known, _)| known == name).map(|(_, value)| value.as_str())
    }

    /// The load report, in the order of the names in the settings.
    pub fn load_report(&self, names: &[String]) -> Vec<f32> {
        let pairs: Vec<(&str, f32)> = self
            .field("meter")
            .unwrap_or_default()
            .split(';')
            .filter_map(|pair| pair.split_once(':'))
            .filter_map(|(name, value)| Some((name, value.parse().ok()?)))
            .collect();
        // Some servers use other names than the settings; they report in the settings' order.
        let named = |name: &String| pairs.iter().find(|(known, _)| known == name).map(|(_, value)| *value);
        let found: Option<Vec<f32>> = names.iter().map(named).collect();
        found.unwrap_or_else(|| pairs.iter().map(|(_, value)| *value).collect())
    }
}

#[cfg(test)]
mod tests;

//! The line protocol to table caches, parents and the origin.

use bytes::Bytes;
use std::fmt::Write;

/// The longest line of an answer.
pub const LONGEST_LINE: usize = 4096;
/// The longest word of a client's that is passed on.
const LONGEST_WORD: usize = 128;
/// The most bytes that an answer may carry: an object of the protocol has 240,000.
pub const MOST_BYTES: usize = 1 << 18;

/// A request as it is written.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WireRequest {
    /// The class's name.
    pub class: String,
    /// The object, as the client named it.
    pub item: String,
    /// The part.
    pub part: u32,
    /// How long the answer is waited for, in milliseconds.
    pub timeout_ms: i64,
    /// The id of the source of a fill.
    pub fill_source: Option<String>,
    /// The rank at which the copy is kept.
    pub cache_rank: u8,
    /// The oldest copy that will do, in milliseconds; 0: not said.
    pub max_age_ms: i64,
    /// Join a fill that is under way.
    pub join_fill: bool,
    /// The source gives only what it holds.
    pub only_if_cached: bool,
    /// The parent keeps no copy.
    pub bypass_parent_cache: bool,
    /// Renew an ageing copy behind.
    pub stale_while_revalidate: bool,
    /// The tag of the client's copy; passed on only if it is one word that can't be mistaken.
    pub client_etag: Option<String>,
    /// The idempotency key, a plain word.
    pub idempotency_key: Option<String>,
    /// What the client sent along.
    pub body: Bytes,
}

/// The bytes of a request before its body.
pub fn fetch_head(id: &str, fetch: &WireRequest) -> Bytes {
    let WireRequest { class, item, part: chunk, timeout_ms: limit, .. } = fetch;
    let mut line = format!("fetch {id} cls={class},item={item},chunk={chunk},limit={limit}");
    let mut field = |name: &str, value: &dyn std::fmt::Display| {
        let _ = write!(line, ",{name}={value}"); // a string takes all
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
    let words = [
        (fetch.join_fill, "share"),
        (fetch.only_if_cached, "peek"),
        (fetch.bypass_parent_cache, "pass"),
        (fetch.stale_while_revalidate, "swr"),
    ];
    let mode: Vec<&str> = words.iter().filter(|(on, _)| *on).map(|(_, word)| *word).collect();
    if !mode.is_empty() {
        field("mode", &mode.join("+"));
    }
    if let Some(key) = fetch.idempotency_key.as_ref().filter(|key| is_plain(key)) {
        field("nonce", key);
    }
    if let Some(seen) = fetch.client_etag.as_ref().filter(|seen| is_plain(seen)) {
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
pub struct WireAnswer {
    /// The id of what it answers.
    pub id: String,
    /// Its word: `200`, `alive` and the like.
    pub status: String,
    /// Its fields.
    pub fields: Vec<(String, String)>,
    /// Its bytes.
    pub body: Bytes,
    /// Its bytes were let go for want of memory.
    pub body_dropped: bool,
}

impl WireAnswer {
    /// The value of a field.
    pub fn field(&self, name: &str) -> Option<&str> {
        self.fields.iter().find(|(known, _)| known == name).map(|(_, value)| value.as_str())
    }

    /// The load report, in the order of the names.
    pub fn load_report(&self, names: &[String]) -> Vec<f32> {
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

#[cfg(test)]
mod tests;

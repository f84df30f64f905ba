//! The numbered events of the control feed, in the form that its answers and the key `known` of PROXY_CONFIG have.

use crate::interface::UnixTime;
use serde::Deserialize;

const DEFAULT_WEIGHT: f64 = 1.0;
const MICROS_PER_MILLI: f64 = 1000.0;

/// An answer of the control feed.
#[derive(Clone, Debug, Deserialize, PartialEq)]
pub struct FeedBatch {
    /// Number of the last event.
    pub n: u64,
    /// The events, in the order of their numbers.
    pub events: Vec<FeedEvent>,
}

/// An event and its number. An event of an unknown kind has neither `members` nor `purge` and is ignored.
#[derive(Clone, Debug, Deserialize, PartialEq)]
pub struct FeedEvent {
    /// Number of the event.
    pub n: u64,
    /// A change of the endpoint list.
    #[serde(default)]
    pub members: Option<ListChange>,
    /// A purge that was made.
    #[serde(default)]
    pub purge: Option<FeedPurge>,
}

/// A change of the endpoint list.
#[derive(Clone, Debug, Deserialize, PartialEq)]
pub struct ListChange {
    /// Whether the entries are the whole list; otherwise they are the changed entries.
    #[serde(default)]
    pub whole: bool,
    /// The servers, each with its new state.
    pub hosts: Vec<FeedServer>,
}

/// An entry of the endpoint list.
#[derive(Clone, Debug, Deserialize, PartialEq)]
pub struct FeedServer {
    /// The server's name.
    pub host: String,
    /// The server's address.
    #[serde(default)]
    pub dial: Option<std::net::SocketAddr>,
    /// Name of the server's zone.
    #[serde(default)]
    pub site: String,
    /// Name of the server's kind of machine.
    #[serde(default)]
    pub class: String,
    /// Number of the server's cell.
    #[serde(default)]
    pub block: u16,
    /// What the server may be used for.
    pub health: Health,
    /// The server's weight.
    #[serde(default = "default_weight")]
    pub share: f64,
    /// When the server last started, in Unix milliseconds; 0 if that was long ago.
    #[serde(default)]
    pub born_ms: f64,
}

impl FeedServer {
    /// Returns when the server last started; `None` if that was long ago.
    pub fn started_at(&self) -> Option<UnixTime> {
        (self.born_ms > 0.0).then_some(unix_time(self.born_ms))
    }
}

impl FeedPurge {
    /// Returns when the purge was made.
    pub fn made_at(&self) -> UnixTime {
        unix_time(self.at)
    }
}

/// Converts fractional Unix milliseconds.
fn unix_time(millis: f64) -> UnixTime {
    UnixTime::from_micros((millis * MICROS_PER_MILLI) as i64)
}

fn default_weight() -> f64 {
    DEFAULT_WEIGHT
}

/// The state of a listed server.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum Health {
    /// The server takes requests.
    Up,
    /// The server finishes its requests and gets no new ones.
    Draining,
    /// The server is no longer in the list.
    Removed,
}

/// A purge of an object or of a group.
#[derive(Clone, Debug, Deserialize, PartialEq)]
pub struct FeedPurge {
    /// The purged object, as 16 hex digits.
    #[serde(default)]
    pub key: Option<String>,
    /// Number of the purged group.
    #[serde(default)]
    pub group: Option<u32>,
    /// When the purge was made, in Unix milliseconds.
    pub at: f64,
}

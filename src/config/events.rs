//! The numbered events of the control feed, as its answers and the configuration's `known` hold them.

use crate::interface::UnixTime;
use serde::Deserialize;

const DEFAULT_WEIGHT: f64 = 1.0;
const MICROS_PER_MILLI: f64 = 1000.0;

/// An answer of the control feed.
#[derive(Clone, Debug, Deserialize, PartialEq)]
pub struct FeedBatch {
    /// The number of the last event.
    pub n: u64,
    /// The events.
    pub events: Vec<FeedEvent>,
}

/// An event and its number; an event of an unknown kind has neither part and is ignored.
#[derive(Clone, Debug, Deserialize, PartialEq)]
pub struct FeedEvent {
    /// The number.
    pub n: u64,
    /// A change of the list.
    #[serde(default)]
    pub members: Option<ListChange>,
    /// A purge.
    #[serde(default)]
    pub purge: Option<FeedPurge>,
}

/// A change of the list of servers.
#[derive(Clone, Debug, Deserialize, PartialEq)]
pub struct ListChange {
    /// Whether this is the whole list.
    #[serde(default)]
    pub whole: bool,
    /// The entries.
    pub hosts: Vec<FeedServer>,
}

/// A server of the list.
#[derive(Clone, Debug, Deserialize, PartialEq)]
pub struct FeedServer {
    /// Its id.
    pub host: String,
    /// Its address.
    #[serde(default)]
    pub dial: Option<std::net::SocketAddr>,
    /// Its zone.
    #[serde(default)]
    pub site: String,
    /// Its kind of machine.
    #[serde(default)]
    pub class: String,
    /// Its cell.
    #[serde(default)]
    pub block: u16,
    /// Its state.
    pub health: Health,
    /// Its weight.
    #[serde(default = "default_weight")]
    pub share: f64,
    /// The Unix millisecond of its last start where that was of late, or 0.
    #[serde(default)]
    pub born_ms: f64,
}

impl FeedServer {
    /// Its last start; `None`: long ago.
    pub fn started_at(&self) -> Option<UnixTime> {
        (self.born_ms > 0.0).then_some(unix_time(self.born_ms))
    }
}

impl FeedPurge {
    /// When it was made.
    pub fn made_at(&self) -> UnixTime {
        unix_time(self.at)
    }
}

/// The Unix time of milliseconds with a fraction.
fn unix_time(millis: f64) -> UnixTime {
    UnixTime::from_micros((millis * MICROS_PER_MILLI) as i64)
}

fn default_weight() -> f64 {
    DEFAULT_WEIGHT
}

/// The state of a server of the list.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum Health {
    /// Takes work.
    Up,
    /// Finishes what it has.
    Draining,
    /// No longer in the list.
    Removed,
}

/// A purge: of an object, or of a group.
#[derive(Clone, Debug, Deserialize, PartialEq)]
pub struct FeedPurge {
    /// The object, 16 hex digits.
    #[serde(default)]
    pub key: Option<String>,
    /// The group.
    #[serde(default)]
    pub group: Option<u32>,
    /// The Unix millisecond at which it was made.
    pub at: f64,
}

//! Logs of xDS clients (what each client received, and when) and the control feed's events during the same
//! time.

use crate::control::resource::ResourceType;
use crate::interface::Instant;
use std::collections::{BTreeMap, BTreeSet};

/// An entry of a client's log.
#[derive(Clone, Debug, PartialEq)]
pub struct LogEntry {
    /// Name of the client, which it keeps when it reconnects.
    pub client: String,
    /// Time on the clock that all logs share.
    pub at: Instant,
    /// What happened to the client.
    pub event: ClientEvent,
}

/// An event in a client's log.
#[derive(Clone, Debug, PartialEq)]
pub enum ClientEvent {
    /// The client's stream was opened.
    Connected,
    /// The client's stream ended, or the client was stopped.
    Ended,
    /// The client received a response, which results in this view.
    Received(View),
}

/// The content of one resource type at a client after a response, and whether the client accepted the
/// response.
#[derive(Clone, Debug, PartialEq)]
pub struct View {
    /// Resource type of the response.
    pub resource_type: ResourceType,
    /// Version of the response, as received.
    pub version: String,
    /// Servers that the client would send requests to, over all resources of the type.
    pub servers: BTreeSet<String>,
    /// By purged object or group, the Unix time in ms that cached copies must be newer than.
    pub newer_than_ms: BTreeMap<String, i64>,
    /// Whether the client accepted the response (ACK); otherwise it rejected it (NACK).
    pub accepted: bool,
}

impl View {
    /// Returns an accepted view of a type, without servers or purges.
    pub fn new(resource_type: ResourceType, version: &str) -> Self {
        View {
            resource_type,
            version: version.to_owned(),
            servers: BTreeSet::new(),
            newer_than_ms: BTreeMap::new(),
            accepted: true,
        }
    }
}

/// An event of the control feed.
#[derive(Clone, Debug, PartialEq)]
pub struct FeedEvent {
    /// When the feed published the event, on the clock that all logs share.
    pub at: Instant,
    /// What the event changes.
    pub change: FeedChange,
}

/// The change that an event of the control feed makes.
#[derive(Clone, Debug, PartialEq)]
pub enum FeedChange {
    /// The server of this name must no longer be used: it is draining or was removed.
    ServerUnusable(String),
    /// The server of this name may be used again.
    ServerUsable(String),
    /// Copies of an object or of a group of objects were purged.
    Purged {
        /// Object or group, named as in the routes.
        what: String,
        /// Unix time of the purge, in ms.
        at_ms: i64,
    },
}

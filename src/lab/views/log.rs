//! The logs of xDS clients: what each received, and when; and what the control feed stated meanwhile.

use crate::control::resource::ResourceType;
use crate::interface::Instant;
use std::collections::{BTreeMap, BTreeSet};

/// A line of a client's log.
#[derive(Clone, Debug, PartialEq)]
pub struct LogEntry {
    /// The client's name; one that reconnects keeps it.
    pub client: String,
    /// When, on the clock of all logs.
    pub at: Instant,
    /// What happened.
    pub event: ClientEvent,
}

/// What happened to a client.
#[derive(Clone, Debug, PartialEq)]
pub enum ClientEvent {
    /// Its stream came up.
    Connected,
    /// Its stream ended.
    Ended,
    /// It received a response.
    Received(View),
}

/// What a client knows of one resource type by a response, and whether it accepted it.
#[derive(Clone, Debug, PartialEq)]
pub struct View {
    /// The resource type.
    pub resource_type: ResourceType,
    /// The version that came with it, as it was stated.
    pub version: String,
    /// The servers that the client would send to by now, all resources of the type together.
    pub servers: BTreeSet<String>,
    /// By the object or group that was purged: the Unix millisecond that copies must be newer than.
    pub newer_than_ms: BTreeMap<String, i64>,
    /// Whether the client accepted it (ACK) or rejected it (NACK).
    pub accepted: bool,
}

impl View {
    /// An accepted view of a type that names no server.
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

/// What the control feed stated, and when.
#[derive(Clone, Debug, PartialEq)]
pub struct FeedEvent {
    /// When, on the clock of all logs.
    pub at: Instant,
    /// What changed.
    pub change: FeedChange,
}

/// What the control feed stated.
#[derive(Clone, Debug, PartialEq)]
pub enum FeedChange {
    /// A server may no longer be used: it drains or was removed.
    ServerUnusable(String),
    /// A server may be used again.
    ServerUsable(String),
    /// A purge.
    Purged {
        /// The object or group as the routes name it.
        what: String,
        /// The Unix millisecond at which it was made.
        at_ms: i64,
    },
}

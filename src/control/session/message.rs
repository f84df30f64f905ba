//! What goes in and out of a [`Session`](super::Session): requests and responses of both protocol variants, read.

use crate::control::resource::{Resource, ResourceType};
use crate::control::version::{Nonce, Sequence, Version};
use std::collections::BTreeMap;
use std::sync::Arc;

/// The variants of the discovery protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Variant {
    /// Each response holds all of a type's resources.
    StateOfTheWorld,
    /// Responses hold what has changed, and the names of what was removed.
    Incremental,
}

/// A request of either variant, for one resource type.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ClientRequest {
    /// State of the world: the version that the client has, as it states it; empty at first.
    pub version: String,
    /// The nonce of the response that this answers; `None`: it answers none.
    pub nonce: Option<Nonce>,
    /// State of the world: all names wanted, empty for all resources. Incremental: names subscribed to.
    pub subscribe: Vec<String>,
    /// Incremental: names unsubscribed from.
    pub unsubscribe: Vec<String>,
    /// Incremental, first request of a type: by name the versions of what the client has, as it states them.
    pub initial_versions: BTreeMap<String, String>,
    /// Why the client rejects the response (NACK); `None`: it accepts it.
    pub error: Option<String>,
}

impl ClientRequest {
    /// How many names it holds in all.
    pub fn name_count(&self) -> usize {
        self.subscribe.len() + self.unsubscribe.len() + self.initial_versions.len()
    }
}

/// What a request did.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestEffect {
    /// A subscription, new or changed.
    Subscribed,
    /// ACK: the response of this sequence number is in force.
    Acked(Sequence),
    /// NACK: the response is rejected; what was in force before stays so.
    Nacked {
        /// The sequence number of the response.
        sequence: Sequence,
        /// The client's reason.
        error: String,
    },
    /// It answers a response that is no longer the last one, and was ignored.
    Stale,
}

/// A response to be sent.
#[derive(Clone, Debug)]
pub struct ServerResponse {
    /// The type of its resources.
    pub resource_type: ResourceType,
    /// The version of the resource set that it is from.
    pub version: Version,
    /// The nonce.
    pub nonce: Nonce,
    /// The resources.
    pub resources: Vec<Arc<Resource>>,
    /// Incremental: the names of resources that were removed.
    pub removed: Vec<String>,
}

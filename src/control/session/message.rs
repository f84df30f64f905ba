//! The input and output of a [`Session`](super::Session): decoded requests and responses of both protocol variants.

use crate::control::resource::{Resource, ResourceType};
use crate::control::version::{Nonce, Sequence, Version};
use std::collections::BTreeMap;
use std::sync::Arc;

/// The variants of the discovery protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Variant {
    /// Each response holds all of a type's resources.
    StateOfTheWorld,
    /// Responses hold the changed resources and the names of the removed ones.
    Incremental,
}

/// A request of either variant, for one resource type.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ClientRequest {
    /// State of the world: the version that the client has, as it sent it; empty if it has none.
    pub version: String,
    /// The nonce of the response that this request answers; `None` if it answers none.
    pub nonce: Option<Nonce>,
    /// State of the world: all names subscribed to; empty for all resources. Incremental: the names added to the
    /// subscription.
    pub subscribe: Vec<String>,
    /// Incremental: the names removed from the subscription.
    pub unsubscribe: Vec<String>,
    /// Incremental, first request of a type: the versions of the client's resources by name, as it sent them.
    pub initial_versions: BTreeMap<String, String>,
    /// Why the client rejects the response (NACK); `None` if it accepts it.
    pub error: Option<String>,
}

impl ClientRequest {
    /// Returns the total number of names in the request.
    pub fn name_count(&self) -> usize {
        self.subscribe.len() + self.unsubscribe.len() + self.initial_versions.len()
    }
}

/// The effect of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestEffect {
    /// The request answers no response: it starts or changes a subscription.
    Subscribed,
    /// ACK: the client has applied the response with this sequence number.
    Acked(Sequence),
    /// NACK: the client has rejected the response and keeps its previous resources.
    Nacked {
        /// The sequence number of the response.
        sequence: Sequence,
        /// The client's reason.
        error: String,
    },
    /// The answer was ignored, since it is not to the response in flight.
    Stale,
}

/// A response to be sent.
#[derive(Clone, Debug)]
pub struct ServerResponse {
    /// The type of the resources.
    pub resource_type: ResourceType,
    /// The version of the resource set from which the response was made.
    pub version: Version,
    /// The nonce that the client's answer must repeat.
    pub nonce: Nonce,
    /// The resources that the client receives.
    pub resources: Vec<Arc<Resource>>,
    /// Incremental: the names of removed resources.
    pub removed: Vec<String>,
}

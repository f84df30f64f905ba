//! Conversion of requests and responses of both protocol variants from and to protobuf messages.

use super::common::type_url;
use crate::control::resource::{Resource, ResourceType};
use crate::control::session::{ClientRequest, ServerResponse};
use crate::control::version::{Nonce, Version};
use envoy_types::pb::envoy::config::core::v3::Node;
use envoy_types::pb::envoy::service::discovery::v3::{
    DeltaDiscoveryRequest, DeltaDiscoveryResponse, DiscoveryRequest, DiscoveryResponse,
    Resource as ResourceMessage,
};
use envoy_types::pb::google::protobuf::Any;

/// Returns the point of a node, which is the zone of its locality; `None` if it is missing or empty.
pub fn point(node: Option<&Node>) -> Option<&str> {
    let zone = &node?.locality.as_ref()?.zone;
    Some(zone.as_str()).filter(|zone| !zone.is_empty())
}

/// Converts a state-of-the-world request from its message.
pub fn request(message: DiscoveryRequest) -> ClientRequest {
    ClientRequest {
        version: message.version_info,
        nonce: nonce(message.response_nonce),
        subscribe: message.resource_names,
        error: message.error_detail.map(|status| status.message),
        ..ClientRequest::default()
    }
}

/// Converts an incremental request from its message.
pub fn delta_request(message: DeltaDiscoveryRequest) -> ClientRequest {
    ClientRequest {
        nonce: nonce(message.response_nonce),
        subscribe: message.resource_names_subscribe,
        unsubscribe: message.resource_names_unsubscribe,
        initial_versions: message.initial_resource_versions.into_iter().collect(),
        error: message.error_detail.map(|status| status.message),
        ..ClientRequest::default()
    }
}

fn nonce(text: String) -> Option<Nonce> {
    Some(Nonce(text)).filter(|nonce| !nonce.0.is_empty())
}

/// Converts a state-of-the-world response to its message.
pub fn response(response: &ServerResponse) -> DiscoveryResponse {
    let resources = response.resources.iter().map(|resource| any(response.resource_type, resource));
    DiscoveryResponse {
        version_info: response.version.to_string(),
        resources: resources.collect(),
        type_url: type_url(response.resource_type).to_owned(),
        nonce: response.nonce.0.clone(),
        ..DiscoveryResponse::default()
    }
}

/// Converts an incremental response to its message, in which each resource has its own version of this run.
pub fn delta_response(response: &ServerResponse) -> DeltaDiscoveryResponse {
    let resources = response.resources.iter().map(|resource| delta_resource(response, resource));
    DeltaDiscoveryResponse {
        system_version_info: response.version.to_string(),
        resources: resources.collect(),
        type_url: type_url(response.resource_type).to_owned(),
        removed_resources: response.removed.clone(),
        nonce: response.nonce.0.clone(),
        ..DeltaDiscoveryResponse::default()
    }
}

fn delta_resource(response: &ServerResponse, resource: &Resource) -> ResourceMessage {
    let version = Version { epoch: response.version.epoch, sequence: resource.version };
    ResourceMessage {
        name: resource.name.clone(),
        version: version.to_string(),
        resource: Some(any(response.resource_type, resource)),
        ..ResourceMessage::default()
    }
}

fn any(resource_type: ResourceType, resource: &Resource) -> Any {
    Any { type_url: type_url(resource_type).to_owned(), value: resource.body.clone() }
}

//! The state of a client, and the responses that change it.

use super::decode::{add_to_view, resource_name};
use crate::control::resource::ResourceType;
use crate::control::session::Variant;
use crate::control::version::Nonce;
use crate::control::wire;
use crate::lab::views::View;
use envoy_types::pb::envoy::service::discovery::v3::{DeltaDiscoveryResponse, DiscoveryResponse};
use envoy_types::pb::google::protobuf::Any;
use std::collections::{BTreeMap, HashMap};
use tonic::Status;

/// A resource in a client's state.
#[derive(Clone, Debug, PartialEq)]
struct StoredResource {
    /// Version of the resource; empty in the state-of-the-world variant, whose resources have none.
    version: String,
    body: Vec<u8>,
}

/// The resources and versions that a client has in force; it keeps them over reconnects.
#[derive(Clone, Debug, Default)]
pub struct ClientState {
    /// By type, the version of the last view that the client accepted.
    pub versions: BTreeMap<ResourceType, String>,
    /// Resources by type and name.
    resources: BTreeMap<ResourceType, BTreeMap<String, StoredResource>>,
}

impl ClientState {
    /// Returns the version of a type that is in force, empty if there is none.
    pub fn version(&self, resource_type: ResourceType) -> String {
        self.versions.get(&resource_type).cloned().unwrap_or_default()
    }

    /// Returns the versions of a type's resources by name.
    pub(super) fn resource_versions(&self, resource_type: ResourceType) -> HashMap<String, String> {
        let resources = self.resources.get(&resource_type).into_iter().flatten();
        resources.map(|(name, resource)| (name.clone(), resource.version.clone())).collect()
    }

    /// Applies a response. A state-of-the-world response replaces all resources of its type, an incremental
    /// one adds and removes some.
    pub(super) fn apply(&mut self, variant: Variant, response: Response) {
        let stored = self.resources.entry(response.resource_type).or_default();
        if variant == Variant::StateOfTheWorld {
            stored.clear();
        }
        for name in &response.removed {
            stored.remove(name);
        }
        for resource in response.resources {
            let Resource { name, version, any } = resource;
            stored.insert(name, StoredResource { version, body: any.value });
        }
    }

    /// Returns the view of a type that follows from its resources.
    pub(super) fn view(&self, resource_type: ResourceType, version: &str) -> Result<View, Status> {
        let mut view = View::new(resource_type, version);
        for resource in self.resources.get(&resource_type).into_iter().flat_map(BTreeMap::values) {
            add_to_view(&resource.body, &mut view).map_err(|error| Status::internal(error.to_string()))?;
        }
        Ok(view)
    }
}

/// A resource in a response.
struct Resource {
    name: String,
    /// Version of the resource; empty in the state-of-the-world variant.
    version: String,
    any: Any,
}

/// The parts of a response of either variant that a client reads.
pub(super) struct Response {
    pub(super) resource_type: ResourceType,
    pub(super) version: String,
    pub(super) nonce: Nonce,
    resources: Vec<Resource>,
    removed: Vec<String>,
}

impl Response {
    pub(super) fn from_state_of_the_world(message: DiscoveryResponse) -> Result<Self, Status> {
        let resource_type = parse_type_url(&message.type_url)?;
        let mut resources = Vec::new();
        for any in message.resources {
            let name = resource_name(resource_type, &any);
            let name = name.map_err(|error| Status::internal(error.to_string()))?;
            resources.push(Resource { name, version: String::new(), any });
        }
        Ok(Response {
            resource_type,
            version: message.version_info,
            nonce: Nonce(message.nonce),
            resources,
            removed: Vec::new(),
        })
    }

    pub(super) fn from_incremental(message: DeltaDiscoveryResponse) -> Result<Self, Status> {
        let resource_type = parse_type_url(&message.type_url)?;
        let mut resources = Vec::new();
        for resource in message.resources {
            let Some(any) = resource.resource else { continue };
            resources.push(Resource { name: resource.name, version: resource.version, any });
        }
        Ok(Response {
            resource_type,
            version: message.system_version_info,
            nonce: Nonce(message.nonce),
            resources,
            removed: message.removed_resources,
        })
    }
}

fn parse_type_url(url: &str) -> Result<ResourceType, Status> {
    wire::resource_type(url).ok_or_else(|| Status::internal(format!("response type {url:?} is unknown")))
}

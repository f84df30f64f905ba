//! Snapshots: for each point the resources of each type, with their versions, at one moment.

use super::resource::{PerType, Resource, ResourceType};
use super::version::{Epoch, PollNumber, Sequence};
use std::collections::BTreeMap;
use std::sync::Arc;

/// The resources of one type at one point.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ResourceSet {
    /// The sequence number at which any of them last changed, was added or was removed.
    pub version: Sequence,
    /// The resources by name.
    pub resources: BTreeMap<String, Arc<Resource>>,
}

/// All resources for the clients of one point.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PointSnapshot {
    /// The resources of each type.
    pub types: PerType<ResourceSet>,
}

impl PointSnapshot {
    /// Returns the resources of a type.
    pub fn get(&self, resource_type: ResourceType) -> &ResourceSet {
        self.types.get(resource_type)
    }
}

/// The resources for all clients at one moment.
#[derive(Clone, Debug, Default)]
pub struct Snapshot {
    /// The run of the service. Versions of different runs cannot be compared.
    pub epoch: Epoch,
    /// The sequence number of the newest change of any resource.
    pub sequence: Sequence,
    /// The newest poll of the control feed that had been answered when the snapshot was made.
    pub answered_poll: PollNumber,
    /// The resources of each point, by the point's name.
    pub points: BTreeMap<String, Arc<PointSnapshot>>,
}

//! What all clients may be sent at one moment: for each point the resources of each type, with versions.

use super::resource::{PerType, Resource, ResourceType};
use super::version::{Epoch, PollNumber, Sequence};
use std::collections::BTreeMap;
use std::sync::Arc;

/// The resources of one type at one point.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ResourceSet {
    /// The sequence number at which any of them last changed, was added or was removed.
    pub version: Sequence,
    /// By name.
    pub resources: BTreeMap<String, Arc<Resource>>,
}

/// All that a client at one point may be sent.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PointSnapshot {
    /// The resources of each type.
    pub types: PerType<ResourceSet>,
}

impl PointSnapshot {
    /// The resources of a type.
    pub fn get(&self, resource_type: ResourceType) -> &ResourceSet {
        self.types.get(resource_type)
    }
}

/// What all clients may be sent, at one moment.
#[derive(Clone, Debug, Default)]
pub struct Snapshot {
    /// The run of the service; versions of another run cannot be compared with this one's.
    pub epoch: Epoch,
    /// Changes of any resource so far.
    pub sequence: Sequence,
    /// The newest poll of the control feed that had been answered when it was made.
    pub answered_poll: PollNumber,
    /// By the point's name.
    pub points: BTreeMap<String, Arc<PointSnapshot>>,
}

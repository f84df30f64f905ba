//! The resources that clients subscribe to, independent of their wire form.

use super::version::Sequence;
use crate::interface::{ObjectId, Purge, Span};
use std::net::SocketAddr;

/// The types of resources, in the order in which they are sent: what is referred to comes before what refers to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ResourceType {
    /// CDS, `envoy.config.cluster.v3.Cluster`.
    Clusters,
    /// EDS, `envoy.config.endpoint.v3.ClusterLoadAssignment`.
    Endpoints,
    /// RDS, `envoy.config.route.v3.RouteConfiguration`.
    Routes,
}

impl ResourceType {
    /// All types, in their order.
    pub const ALL: [ResourceType; 3] =
        [ResourceType::Clusters, ResourceType::Endpoints, ResourceType::Routes];
}

/// One value for each resource type.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PerType<T>([T; 3]);

impl<T> PerType<T> {
    /// Makes the value of each type.
    pub fn from_fn(value_of: impl FnMut(ResourceType) -> T) -> Self {
        PerType(ResourceType::ALL.map(value_of))
    }

    /// The value of a type.
    pub fn get(&self, resource_type: ResourceType) -> &T {
        &self.0[resource_type as usize]
    }

    /// The value of a type, to be changed.
    pub fn get_mut(&mut self, resource_type: ResourceType) -> &mut T {
        &mut self.0[resource_type as usize]
    }

    /// All values, in the order of their types.
    pub fn values(&self) -> impl Iterator<Item = &T> {
        self.0.iter()
    }
}

impl<T> IntoIterator for PerType<T> {
    type Item = (ResourceType, T);
    type IntoIter = std::iter::Zip<std::array::IntoIter<ResourceType, 3>, std::array::IntoIter<T, 3>>;

    fn into_iter(self) -> Self::IntoIter {
        ResourceType::ALL.into_iter().zip(self.0)
    }
}

/// A server that may be sent requests or fill misses.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Endpoint {
    /// Its name in the endpoint list.
    pub name: String,
    /// Its address.
    pub addr: SocketAddr,
    /// Its weight among those beside it, at least 1.
    pub weight: u32,
    /// Its zone's name.
    pub zone: String,
}

/// The endpoints of one priority; a lower priority is used only when all above it have failed.
pub type PriorityLevel = Vec<Endpoint>;

/// A cache that a hot object's requests go to: its home, or a delegate.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteCache {
    /// The cache; all holders of an object have equal shares.
    pub name: String,
    /// Who fills a miss there: for a delegate the home; `None`: whoever fills the point's other misses.
    pub fill: Option<String>,
}

/// How one class's requests are routed, or one hot object's.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// The class's name.
    pub class: String,
    /// The hot object that it matches; `None`: all others of the class.
    pub object: Option<ObjectId>,
    /// The group or object that it matches, if it announces a purge.
    pub purge: Option<Purge>,
    /// For a hot object: the caches that its requests go to.
    pub caches: Vec<RouteCache>,
    /// The rank at which copies are cached; 0: none is.
    pub rank: u8,
    /// Copies must be newer than this Unix millisecond; 0: any will do that the class's fresh time allows.
    pub newer_than_ms: i64,
    /// Within this a request is answered or has failed.
    pub deadline: Span,
    /// For how long a copy is fresh; zero: until it is purged.
    pub fresh: Span,
    /// Whether the class is idempotent: whether an attempt that may have run may be retried. One that certainly has
    /// not run always may be.
    pub idempotent: bool,
    /// Attempts in all.
    pub attempts: u32,
}

/// One resource's content, independent of its wire form.
#[derive(Clone, Debug, PartialEq)]
pub enum Content {
    /// A cluster.
    Cluster {
        /// Whether an object's hash picks the endpoint (caches) or the load does (fill sources).
        hashed: bool,
        /// The longest that a connection may take to come up.
        connect_timeout: Span,
    },
    /// Its endpoints by priority, the most wanted first.
    Endpoints(Vec<PriorityLevel>),
    /// The routes of a point; the first that matches is taken.
    Routes {
        /// The cluster of the point's caches.
        cluster: String,
        /// The cluster of its fill sources.
        fill: String,
        /// The routes.
        routes: Vec<Route>,
    },
}

/// A resource in the version in which it is sent.
#[derive(Debug, PartialEq)]
pub struct Resource {
    /// Its name.
    pub name: String,
    /// The sequence number at which its content last changed.
    pub version: Sequence,
    /// Its content.
    pub content: Content,
    /// The same content in its wire form.
    pub body: Vec<u8>,
}

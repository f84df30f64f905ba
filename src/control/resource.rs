//! The resources that clients subscribe to, independent of their encoding.

use super::version::Sequence;
use crate::interface::{ObjectId, Purge, Span};
use std::net::SocketAddr;

/// The types of resources, in the order in which they are sent: a resource comes before those that refer to it.
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
    /// All types, in the order in which they are sent.
    pub const ALL: [ResourceType; 3] =
        [ResourceType::Clusters, ResourceType::Endpoints, ResourceType::Routes];
}

/// One value for each resource type.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PerType<T>([T; 3]);

impl<T> PerType<T> {
    /// Creates the value of each type with `value_of`.
    pub fn from_fn(value_of: impl FnMut(ResourceType) -> T) -> Self {
        PerType(ResourceType::ALL.map(value_of))
    }

    /// Returns the value of a type.
    pub fn get(&self, resource_type: ResourceType) -> &T {
        &self.0[resource_type as usize]
    }

    /// Returns a mutable reference to the value of a type.
    pub fn get_mut(&mut self, resource_type: ResourceType) -> &mut T {
        &mut self.0[resource_type as usize]
    }

    /// Iterates over all values, in the order of [`ResourceType::ALL`].
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

/// A server that requests can be sent to or that misses can be filled from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Endpoint {
    /// The server's name in the endpoint list.
    pub name: String,
    /// The address that proxies connect to.
    pub addr: SocketAddr,
    /// The weight relative to the other endpoints of the same priority, at least 1.
    pub weight: u32,
    /// The name of the server's zone.
    pub zone: String,
}

/// The endpoints of one priority. A lower priority is used only when all higher ones have failed.
pub type PriorityLevel = Vec<Endpoint>;

/// A cache that a hot object's requests are sent to: its home cache or a delegate.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteCache {
    /// The name of the cache. All caches of an object get equal shares of its requests.
    pub name: String,
    /// The fill source of this cache's misses: for a delegate the home cache; `None` if the point's fill cluster is
    /// used.
    pub fill: Option<String>,
}

/// The routing of the requests of one class, or of one of its hot or purged objects or groups.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// The name of the class.
    pub class: String,
    /// The hot object that the route matches; `None` if it matches all others of the class.
    pub object: Option<ObjectId>,
    /// The purged object or group that the route matches; `None` if it announces no purge.
    pub purge: Option<Purge>,
    /// The caches that a hot object's requests are sent to; empty for the class's other requests.
    pub caches: Vec<RouteCache>,
    /// The cache rank of copies; 0 if they are not cached.
    pub rank: u8,
    /// Copies must be newer than this Unix time in ms; 0 if only the class's freshness limits their age.
    pub newer_than_ms: i64,
    /// The time after which a request without a final answer has failed.
    pub deadline: Span,
    /// How long a copy is fresh; zero if it is fresh until it is purged.
    pub fresh: Span,
    /// Whether the class is idempotent, so that an attempt that may have run may be retried. An attempt that certainly
    /// did not run may always be retried.
    pub idempotent: bool,
    /// The maximum number of attempts, the first one included.
    pub attempts: u32,
}

/// The content of a resource, independent of its encoding.
#[derive(Clone, Debug, PartialEq)]
pub enum Content {
    /// A cluster (CDS).
    Cluster {
        /// Whether the endpoint is chosen by the object's hash (caches) or by load (fill sources).
        hashed: bool,
        /// The time limit for opening a connection.
        connect_timeout: Span,
    },
    /// The endpoints of a cluster by priority, the highest first.
    Endpoints(Vec<PriorityLevel>),
    /// The routes of a point. The first one that matches is used.
    Routes {
        /// The name of the cluster of the point's caches.
        cluster: String,
        /// The name of the cluster of the point's fill sources.
        fill: String,
        /// The routes, in the order in which they are matched.
        routes: Vec<Route>,
    },
}

/// A resource with its version and encoding, as it is sent to clients.
#[derive(Debug, PartialEq)]
pub struct Resource {
    /// The name that clients subscribe to.
    pub name: String,
    /// The sequence number at which its content last changed.
    pub version: Sequence,
    /// The content, compared to detect changes.
    pub content: Content,
    /// The content encoded as protobuf.
    pub body: Vec<u8>,
}

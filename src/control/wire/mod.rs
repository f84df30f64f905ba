//! Encodes resources and responses and decodes requests as protobuf messages of xDS v3: `envoy.config.*` and
//! `envoy.service.discovery.v3` (envoyproxy.io).
//!
//! An edge proxy sends instructions to a table cache in fields of its line protocol (`from`, `rank`, `oldest`). Other
//! proxies send them in request headers that the routes add. The routes match a request's class, object and group by
//! its headers too.

mod cluster;
mod common;
mod discovery;
mod route;

use super::resource::Content;
pub use common::{
    resource_type, type_url, CLASS_HEADER, FRESH_HEADER, FROM_HEADER, GROUP_HEADER, NEWER_THAN_HEADER,
    OBJECT_HEADER, RANK_HEADER, SERVER_METADATA_KEY,
};
pub use discovery::{delta_request, delta_response, point, request, response};
use prost::Message;

/// Encodes a resource as protobuf.
pub fn encode(name: &str, content: &Content) -> Vec<u8> {
    match content {
        Content::Cluster { hashed, connect_timeout } => {
            cluster::cluster(name, *hashed, *connect_timeout).encode_to_vec()
        }
        Content::Endpoints(levels) => cluster::load_assignment(name, levels).encode_to_vec(),
        Content::Routes { cluster, fill, routes } => {
            route::Clusters { caches: cluster, fill }.configuration(name, routes).encode_to_vec()
        }
    }
}

//! What several messages share: header names, type URLs, times, the metadata that names a server.

use crate::control::resource::ResourceType;
use crate::interface::Span;
use envoy_types::pb::envoy::config::core::v3::Metadata;
use envoy_types::pb::google::protobuf::value::Kind as ValueKind;
use envoy_types::pb::google::protobuf::{Duration, Struct, Value};
use std::collections::HashMap;

/// The header that names a request's class.
pub const CLASS_HEADER: &str = "x-dahlia-class";
/// The header that names its object, 16 hex digits; what picks its cache.
pub const OBJECT_HEADER: &str = "x-dahlia-object";
/// The header that names its object's group.
pub const GROUP_HEADER: &str = "x-dahlia-group";
/// Added: who fills a miss, a cluster or a server.
pub const FROM_HEADER: &str = "x-dahlia-from";
/// Added: the rank at which the copy is cached; 0: it is not.
pub const RANK_HEADER: &str = "x-dahlia-rank";
/// Added: the Unix millisecond that a copy must be newer than.
pub const NEWER_THAN_HEADER: &str = "x-dahlia-newer-than";
/// Added: for how long a copy is fresh, ms; absent: until it is purged.
pub const FRESH_HEADER: &str = "x-dahlia-fresh-ms";
/// The key of endpoints' metadata that names a server, for subsets.
pub const SERVER_METADATA_KEY: &str = "server";

/// The type URL of a resource type.
pub fn type_url(resource_type: ResourceType) -> &'static str {
    match resource_type {
        ResourceType::Clusters => "type.googleapis.com/envoy.config.cluster.v3.Cluster",
        ResourceType::Endpoints => "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment",
        ResourceType::Routes => "type.googleapis.com/envoy.config.route.v3.RouteConfiguration",
    }
}

/// The resource type of a type URL; `None`: none that is served here.
pub fn resource_type(url: &str) -> Option<ResourceType> {
    ResourceType::ALL.into_iter().find(|resource_type| type_url(*resource_type) == url)
}

/// A span as protobuf has it.
pub(super) fn duration(span: Span) -> Duration {
    let within_second = span % Span::from_secs(1);
    Duration { seconds: span.as_secs(), nanos: (within_second.as_micros() * 1000) as i32 }
}

/// The metadata that names a server, of an endpoint or of a route's subset.
pub(super) fn server_metadata(server: &str) -> Metadata {
    let value = Value { kind: Some(ValueKind::StringValue(server.to_owned())) };
    let fields = HashMap::from([(SERVER_METADATA_KEY.to_owned(), value)]);
    let filter_metadata = HashMap::from([("envoy.lb".to_owned(), Struct { fields })]);
    Metadata { filter_metadata, ..Metadata::default() }
}

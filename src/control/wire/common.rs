//! Parts that several messages share: header names, type URLs, durations, the metadata that names a server.

use crate::control::resource::ResourceType;
use crate::interface::Span;
use envoy_types::pb::envoy::config::core::v3::Metadata;
use envoy_types::pb::google::protobuf::value::Kind as ValueKind;
use envoy_types::pb::google::protobuf::{Duration, Struct, Value};
use std::collections::HashMap;

/// The request header that holds the name of the class.
pub const CLASS_HEADER: &str = "x-dahlia-class";
/// The request header that holds the object ID, 16 hex digits. Its hash picks the cache.
pub const OBJECT_HEADER: &str = "x-dahlia-object";
/// The request header that holds the number of the object's group.
pub const GROUP_HEADER: &str = "x-dahlia-group";
/// The request header, added by routes, that holds the fill source: the name of a cluster or a server.
pub const FROM_HEADER: &str = "x-dahlia-from";
/// The request header, added by routes, that holds the cache rank of the copy; 0 if it is not cached.
pub const RANK_HEADER: &str = "x-dahlia-rank";
/// The request header, added by routes, that holds the Unix time in ms that a copy must be newer than.
pub const NEWER_THAN_HEADER: &str = "x-dahlia-newer-than";
/// The request header, added by routes, that holds how long a copy is fresh, in ms. Absent if it is fresh until it is
/// purged.
pub const FRESH_HEADER: &str = "x-dahlia-fresh-ms";
/// The metadata key of endpoints that holds the server's name, for the selection of subsets.
pub const SERVER_METADATA_KEY: &str = "server";

/// Returns the type URL of a resource type.
pub fn type_url(resource_type: ResourceType) -> &'static str {
    match resource_type {
        ResourceType::Clusters => "type.googleapis.com/envoy.config.cluster.v3.Cluster",
        ResourceType::Endpoints => "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment",
        ResourceType::Routes => "type.googleapis.com/envoy.config.route.v3.RouteConfiguration",
    }
}

/// Returns the resource type of a type URL; `None` if the type is not served here.
pub fn resource_type(url: &str) -> Option<ResourceType> {
    ResourceType::ALL.into_iter().find(|resource_type| type_url(*resource_type) == url)
}

/// Converts a span to a protobuf duration.
pub(super) fn duration(span: Span) -> Duration {
    let within_second = span % Span::from_secs(1);
    Duration { seconds: span.as_secs(), nanos: (within_second.as_micros() * 1000) as i32 }
}

/// Creates the metadata that names a server, for an endpoint or for a route's subset.
pub(super) fn server_metadata(server: &str) -> Metadata {
    let value = Value { kind: Some(ValueKind::StringValue(server.to_owned())) };
    let fields = HashMap::from([(SERVER_METADATA_KEY.to_owned(), value)]);
    let filter_metadata = HashMap::from([("envoy.lb".to_owned(), Struct { fields })]);
    Metadata { filter_metadata, ..Metadata::default() }
}

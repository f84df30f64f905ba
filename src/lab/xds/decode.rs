//! Decodes the resources that a client received.

use crate::control::resource::ResourceType;
use crate::control::wire;
use crate::lab::views::View;
use envoy_types::pb::envoy::config::cluster::v3::Cluster;
use envoy_types::pb::envoy::config::core::v3::Metadata;
use envoy_types::pb::envoy::config::endpoint::v3::lb_endpoint::HostIdentifier;
use envoy_types::pb::envoy::config::endpoint::v3::ClusterLoadAssignment;
use envoy_types::pb::envoy::config::route::v3::header_matcher::HeaderMatchSpecifier;
use envoy_types::pb::envoy::config::route::v3::route::Action;
use envoy_types::pb::envoy::config::route::v3::route_action::ClusterSpecifier;
use envoy_types::pb::envoy::config::route::v3::{Route, RouteConfiguration};
use envoy_types::pb::envoy::r#type::matcher::v3::string_matcher::MatchPattern;
use envoy_types::pb::google::protobuf::value::Kind as ValueKind;
use envoy_types::pb::google::protobuf::Any;
use prost::{DecodeError, Message};

/// Adds the servers and purges of a resource to a view of its type.
pub(super) fn add_to_view(body: &[u8], view: &mut View) -> Result<(), DecodeError> {
    match view.resource_type {
        ResourceType::Clusters => {}
        ResourceType::Endpoints => add_endpoints(&ClusterLoadAssignment::decode(body)?, view),
        ResourceType::Routes => add_routes(&RouteConfiguration::decode(body)?, view),
    }
    Ok(())
}

/// Returns the name inside a resource. State-of-the-world responses do not state it outside the resource.
pub(super) fn resource_name(resource_type: ResourceType, any: &Any) -> Result<String, DecodeError> {
    let body = &any.value[..];
    Ok(match resource_type {
        ResourceType::Clusters => Cluster::decode(body)?.name,
        ResourceType::Endpoints => ClusterLoadAssignment::decode(body)?.cluster_name,
        ResourceType::Routes => RouteConfiguration::decode(body)?.name,
    })
}

fn add_endpoints(assignment: &ClusterLoadAssignment, view: &mut View) {
    for endpoint in assignment.endpoints.iter().flat_map(|locality| &locality.lb_endpoints) {
        if let Some(HostIdentifier::Endpoint(host)) = &endpoint.host_identifier {
            view.servers.insert(host.hostname.clone());
        }
    }
}

fn add_routes(configuration: &RouteConfiguration, view: &mut View) {
    for route in configuration.virtual_hosts.iter().flat_map(|host| &host.routes) {
        if let Some(newer_than) = added_header(route, wire::NEWER_THAN_HEADER).and_then(|ms| ms.parse().ok())
        {
            let what = matched_header(route, wire::OBJECT_HEADER)
                .or_else(|| matched_header(route, wire::GROUP_HEADER));
            view.newer_than_ms.extend(what.map(|what| (what.to_owned(), newer_than)));
        }
        view.servers.extend(subset_servers(route));
    }
}

/// Returns the value of a request header that a route adds.
fn added_header<'a>(route: &'a Route, name: &str) -> Option<&'a str> {
    let mut headers = route.request_headers_to_add.iter().filter_map(|option| option.header.as_ref());
    let header = headers.find(|header| header.key == name)?;
    Some(&header.value)
}

/// Returns the exact value that a route matches a header against.
fn matched_header<'a>(route: &'a Route, name: &str) -> Option<&'a str> {
    let headers = &route.r#match.as_ref()?.headers;
    let header = headers.iter().find(|header| header.name == name)?;
    let HeaderMatchSpecifier::StringMatch(matcher) = header.header_match_specifier.as_ref()? else {
        return None;
    };
    match matcher.match_pattern.as_ref()? {
        MatchPattern::Exact(value) => Some(value),
        _ => None,
    }
}

/// Returns the servers that a route names in the subset metadata of its weighted clusters.
fn subset_servers(route: &Route) -> Vec<String> {
    let Some(Action::Route(action)) = &route.action else { return Vec::new() };
    let Some(ClusterSpecifier::WeightedClusters(weighted)) = &action.cluster_specifier else {
        return Vec::new();
    };
    let subsets = weighted.clusters.iter().filter_map(|cluster| cluster.metadata_match.as_ref());
    subsets.flat_map(named_servers).collect()
}

fn named_servers(metadata: &Metadata) -> Vec<String> {
    let fields = metadata.filter_metadata.values().flat_map(|filter| &filter.fields);
    let servers = fields.filter(|(key, _)| *key == wire::SERVER_METADATA_KEY);
    let names = servers.filter_map(|(_, value)| match &value.kind {
        Some(ValueKind::StringValue(server)) => Some(server.clone()),
        _ => None,
    });
    names.collect()
}

//! Views and requests in the words of xDS v3: `envoy.config.*` and `envoy.service.discovery.v3` (envoyproxy.io).
//!
//! What an edge proxy tells a table cache in the fields of its line protocol (`from`, `rank`, `oldest`), other proxies
//! tell it in request headers that the routes add; what a request is about is read from its headers too.

use super::model::{Content, Endpoint, Holder, Kind, Route};
use super::session::{Ask, Reply};
use crate::interface::{Micros, Purge};
use envoy_types::pb::envoy::config::cluster::v3::cluster::lb_subset_config::{
    LbSubsetFallbackPolicy, LbSubsetSelector,
};
use envoy_types::pb::envoy::config::cluster::v3::cluster::{
    ClusterDiscoveryType, DiscoveryType, EdsClusterConfig, LbPolicy, LbSubsetConfig,
};
use envoy_types::pb::envoy::config::cluster::v3::Cluster;
use envoy_types::pb::envoy::config::core::v3::address::Address as AddressKind;
use envoy_types::pb::envoy::config::core::v3::config_source::ConfigSourceSpecifier;
use envoy_types::pb::envoy::config::core::v3::header_value_option::HeaderAppendAction;
use envoy_types::pb::envoy::config::core::v3::socket_address::PortSpecifier;
use envoy_types::pb::envoy::config::core::v3::{
    Address, AggregatedConfigSource, ApiVersion, ConfigSource, HeaderValue, HeaderValueOption, Locality,
    Metadata, Node, SocketAddress,
};
use envoy_types::pb::envoy::config::endpoint::v3::lb_endpoint::HostIdentifier;
use envoy_types::pb::envoy::config::endpoint::v3::{
    ClusterLoadAssignment, Endpoint as EndpointProto, LbEndpoint, LocalityLbEndpoints,
};
use envoy_types::pb::envoy::config::route::v3::header_matcher::HeaderMatchSpecifier;
use envoy_types::pb::envoy::config::route::v3::route::Action;
use envoy_types::pb::envoy::config::route::v3::route_action::hash_policy::{Header, PolicySpecifier};
use envoy_types::pb::envoy::config::route::v3::route_action::{ClusterSpecifier, HashPolicy};
use envoy_types::pb::envoy::config::route::v3::route_match::PathSpecifier;
use envoy_types::pb::envoy::config::route::v3::weighted_cluster::ClusterWeight;
use envoy_types::pb::envoy::config::route::v3::{
    HeaderMatcher, RetryPolicy, Route as RouteProto, RouteAction, RouteConfiguration, RouteMatch,
    VirtualHost, WeightedCluster,
};
use envoy_types::pb::envoy::r#type::matcher::v3::string_matcher::MatchPattern;
use envoy_types::pb::envoy::r#type::matcher::v3::StringMatcher;
use envoy_types::pb::envoy::service::discovery::v3::{
    DeltaDiscoveryRequest, DeltaDiscoveryResponse, DiscoveryRequest, DiscoveryResponse, Resource,
};
use envoy_types::pb::google::protobuf::value::Kind as ValueKind;
use envoy_types::pb::google::protobuf::{Any, Duration, Struct, UInt32Value, Value};
use prost::Message;
use std::collections::{BTreeMap, HashMap};

/// The header that names a request's class.
pub const CLASS: &str = "x-dahlia-class";
/// The header that names its object, 16 hex digits; what picks its cache.
pub const OBJECT: &str = "x-dahlia-object";
/// The header that names its object's group.
pub const GROUP: &str = "x-dahlia-group";
/// Added: who fills a miss, a cluster or a server.
pub const FROM: &str = "x-dahlia-from";
/// Added: the rank at which the copy is kept; 0: it is not.
pub const RANK: &str = "x-dahlia-rank";
/// Added: the Unix millisecond that a copy must be newer than.
pub const NEWER_THAN: &str = "x-dahlia-newer-than";
/// Added: for how long a copy is fresh, ms; absent: until it is purged.
pub const FRESH: &str = "x-dahlia-fresh-ms";
/// The key of endpoints' metadata that names a server, for subsets.
pub const SERVER: &str = "server";

/// The type URL of a kind.
pub fn type_url(kind: Kind) -> &'static str {
    match kind {
        Kind::Clusters => "type.googleapis.com/envoy.config.cluster.v3.Cluster",
        Kind::Endpoints => "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment",
        Kind::Routes => "type.googleapis.com/envoy.config.route.v3.RouteConfiguration",
    }
}

/// The kind of a type URL; `None`: nothing of that type is told here.
pub fn kind(type_url_text: &str) -> Option<Kind> {
    super::model::KINDS.into_iter().find(|kind| type_url(*kind) == type_url_text)
}

/// The point of a node: its locality's zone.
pub fn point(node: Option<&Node>) -> Option<&str> {
    let zone = &node?.locality.as_ref()?.zone;
    Some(zone.as_str()).filter(|zone| !zone.is_empty())
}

/// Words a resource: its protobuf bytes.
pub fn encode(name: &str, content: &Content) -> Vec<u8> {
    match content {
        Content::Cluster { hashed, connect } => cluster(name, *hashed, *connect).encode_to_vec(),
        Content::Endpoints(levels) => assignment(name, levels).encode_to_vec(),
        Content::Routes { cluster, fill, routes } => {
            route_configuration(name, cluster, fill, routes).encode_to_vec()
        }
    }
}

fn duration(us: Micros) -> Duration {
    Duration { seconds: us / 1_000_000, nanos: (us % 1_000_000 * 1000) as i32 }
}

fn metadata(server: &str) -> Metadata {
    let value = Value { kind: Some(ValueKind::StringValue(server.to_owned())) };
    let fields = HashMap::from([(SERVER.to_owned(), value)]);
    let filter_metadata = HashMap::from([("envoy.lb".to_owned(), Struct { fields })]);
    Metadata { filter_metadata, ..Metadata::default() }
}

fn cluster(name: &str, hashed: bool, connect: Micros) -> Cluster {
    let ads = ConfigSource {
        resource_api_version: ApiVersion::V3.into(),
        config_source_specifier: Some(ConfigSourceSpecifier::Ads(AggregatedConfigSource {})),
        ..ConfigSource::default()
    };
    let subsets = LbSubsetConfig {
        fallback_policy: LbSubsetFallbackPolicy::AnyEndpoint.into(),
        subset_selectors: vec![LbSubsetSelector {
            keys: vec![SERVER.to_owned()],
            ..LbSubsetSelector::default()
        }],
        ..LbSubsetConfig::default()
    };
    Cluster {
        name: name.to_owned(),
        cluster_discovery_type: Some(ClusterDiscoveryType::Type(DiscoveryType::Eds.into())),
        eds_cluster_config: Some(EdsClusterConfig { eds_config: Some(ads), service_name: String::new() }),
        connect_timeout: Some(duration(connect)),
        lb_policy: if hashed { LbPolicy::RingHash } else { LbPolicy::LeastRequest }.into(),
        lb_subset_config: Some(subsets),
        ..Cluster::default()
    }
}

fn assignment(name: &str, levels: &[Vec<Endpoint>]) -> ClusterLoadAssignment {
    let mut endpoints = Vec::new();
    for (priority, level) in levels.iter().enumerate() {
        let mut zones: BTreeMap<&str, Vec<LbEndpoint>> = BTreeMap::new();
        for endpoint in level {
            zones.entry(&endpoint.zone).or_default().push(lb_endpoint(endpoint));
        }
        endpoints.extend(zones.into_iter().map(|(zone, lb_endpoints)| LocalityLbEndpoints {
            locality: Some(Locality { zone: zone.to_owned(), ..Locality::default() }),
            lb_endpoints,
            priority: priority as u32,
            ..LocalityLbEndpoints::default()
        }));
    }
    ClusterLoadAssignment { cluster_name: name.to_owned(), endpoints, ..ClusterLoadAssignment::default() }
}

fn lb_endpoint(endpoint: &Endpoint) -> LbEndpoint {
    let socket = SocketAddress {
        address: endpoint.addr.ip().to_string(),
        port_specifier: Some(PortSpecifier::PortValue(endpoint.addr.port().into())),
        ..SocketAddress::default()
    };
    let address = Address { address: Some(AddressKind::SocketAddress(socket)) };
    let host =
        EndpointProto { address: Some(address), hostname: endpoint.name.clone(), ..EndpointProto::default() };
    LbEndpoint {
        metadata: Some(metadata(&endpoint.name)),
        load_balancing_weight: Some(UInt32Value { value: endpoint.weight }),
        host_identifier: Some(HostIdentifier::Endpoint(host)),
        ..LbEndpoint::default()
    }
}

fn route_configuration(name: &str, cluster: &str, fill: &str, routes: &[Route]) -> RouteConfiguration {
    let host = VirtualHost {
        name: name.to_owned(),
        domains: vec!["*".to_owned()],
        routes: routes.iter().map(|route| route_proto(cluster, fill, route)).collect(),
        ..VirtualHost::default()
    };
    RouteConfiguration {
        name: name.to_owned(),
        virtual_hosts: vec![host],
        // The most specific addition is applied last and overwrites: weighted cluster over route.
        most_specific_header_mutations_wins: true,
        ..RouteConfiguration::default()
    }
}

fn exact(name: &str, value: String) -> HeaderMatcher {
    let matcher =
        StringMatcher { match_pattern: Some(MatchPattern::Exact(value)), ..StringMatcher::default() };
    let specifier = HeaderMatchSpecifier::StringMatch(matcher);
    HeaderMatcher {
        name: name.to_owned(),
        header_match_specifier: Some(specifier),
        ..HeaderMatcher::default()
    }
}

fn overwrite((key, value): (&str, String)) -> HeaderValueOption {
    HeaderValueOption {
        header: Some(HeaderValue { key: key.to_owned(), value, raw_value: Vec::new() }),
        append_action: HeaderAppendAction::OverwriteIfExistsOrAdd.into(),
        ..HeaderValueOption::default()
    }
}

fn route_proto(cluster: &str, fill: &str, route: &Route) -> RouteProto {
    let mut headers = vec![exact(CLASS, route.class.clone())];
    let mut name = route.class.clone();
    let object = match route.purge {
        Some(Purge::Object(object)) => Some(object),
        _ => route.object,
    };
    if let Some(object) = object {
        headers.push(exact(OBJECT, format!("{:016x}", object.0)));
        name += &format!("/{:016x}", object.0);
    }
    if let Some(Purge::Group(group)) = route.purge {
        headers.push(exact(GROUP, group.0.to_string()));
        name += &format!("/group-{}", group.0);
    }
    let mut added = vec![(FROM, fill.to_owned()), (RANK, route.rank.to_string())];
    if route.newer_than_ms > 0 {
        added.push((NEWER_THAN, route.newer_than_ms.to_string()));
        name += "/purged";
    }
    let [deadline, fresh, _] = route.times;
    if fresh > 0 {
        added.push((FRESH, (fresh / 1000).to_string()));
    }
    // A refused connection proves that nothing ran; a reset after any byte does not.
    let never_ran = "connect-failure,refused-stream";
    let retry_on = if route.repeatable { "connect-failure,refused-stream,reset,5xx" } else { never_ran };
    let hash = Header { header_name: OBJECT.to_owned(), regex_rewrite: None };
    let action = RouteAction {
        cluster_specifier: Some(targets(cluster, &route.caches)),
        hash_policy: vec![HashPolicy {
            policy_specifier: Some(PolicySpecifier::Header(hash)),
            terminal: true,
        }],
        timeout: Some(duration(deadline)),
        retry_policy: Some(RetryPolicy {
            retry_on: retry_on.to_owned(),
            num_retries: Some(UInt32Value { value: route.attempts.saturating_sub(1) }),
            ..RetryPolicy::default()
        }),
        ..RouteAction::default()
    };
    RouteProto {
        name,
        r#match: Some(RouteMatch {
            headers,
            path_specifier: Some(PathSpecifier::Prefix("/".to_owned())),
            ..RouteMatch::default()
        }),
        request_headers_to_add: added.into_iter().map(overwrite).collect(),
        action: Some(Action::Route(action)),
        ..RouteProto::default()
    }
}

/// The whole cluster, or a popular object's caches as subsets of it.
fn targets(cluster: &str, caches: &[Holder]) -> ClusterSpecifier {
    if caches.is_empty() {
        return ClusterSpecifier::Cluster(cluster.to_owned());
    }
    // What a cluster's weight adds goes before what its route adds: a delegate is filled from the home.
    let weight = |holder: &Holder| ClusterWeight {
        name: cluster.to_owned(),
        weight: Some(UInt32Value { value: 1 }),
        metadata_match: Some(metadata(&holder.name)),
        request_headers_to_add: holder.fill.iter().map(|fill| overwrite((FROM, fill.clone()))).collect(),
        ..ClusterWeight::default()
    };
    let clusters = caches.iter().map(weight).collect();
    ClusterSpecifier::WeightedClusters(WeightedCluster { clusters, ..WeightedCluster::default() })
}

/// A state-of-the-world request, read.
pub fn ask(request: DiscoveryRequest) -> Ask {
    Ask {
        version: request.version_info,
        nonce: request.response_nonce,
        names: request.resource_names,
        error: request.error_detail.map(|error| error.message),
        ..Ask::default()
    }
}

/// An incremental request, read.
pub fn delta_ask(request: DeltaDiscoveryRequest) -> Ask {
    Ask {
        nonce: request.response_nonce,
        names: request.resource_names_subscribe,
        leaves: request.resource_names_unsubscribe,
        has: request.initial_resource_versions.into_iter().collect(),
        error: request.error_detail.map(|error| error.message),
        ..Ask::default()
    }
}

fn any(kind: Kind, body: &[u8]) -> Any {
    Any { type_url: type_url(kind).to_owned(), value: body.to_vec() }
}

/// A state-of-the-world response.
pub fn response(reply: &Reply) -> DiscoveryResponse {
    DiscoveryResponse {
        version_info: reply.version.clone(),
        resources: reply.resources.iter().map(|resource| any(reply.kind, &resource.body)).collect(),
        type_url: type_url(reply.kind).to_owned(),
        nonce: reply.nonce.clone(),
        ..DiscoveryResponse::default()
    }
}

/// An incremental response, with each resource's own version in this run.
pub fn delta_response(reply: &Reply, epoch: u64) -> DeltaDiscoveryResponse {
    let resource = |resource: &std::sync::Arc<super::model::Resource>| Resource {
        name: resource.name.clone(),
        version: super::session::version(epoch, resource.version),
        resource: Some(any(reply.kind, &resource.body)),
        ..Resource::default()
    };
    DeltaDiscoveryResponse {
        system_version_info: reply.version.clone(),
        resources: reply.resources.iter().map(resource).collect(),
        type_url: type_url(reply.kind).to_owned(),
        removed_resources: reply.removed.clone(),
        nonce: reply.nonce.clone(),
        ..DeltaDiscoveryResponse::default()
    }
}

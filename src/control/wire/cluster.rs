//! Clusters (CDS) and their endpoints (EDS).

use super::common::{duration, server_metadata, SERVER_METADATA_KEY};
use crate::control::resource::{Endpoint, PriorityLevel};
use crate::interface::Span;
use envoy_types::pb::envoy::config::cluster::v3::cluster::lb_subset_config::{
    LbSubsetFallbackPolicy, LbSubsetSelector,
};
use envoy_types::pb::envoy::config::cluster::v3::cluster::{
    ClusterDiscoveryType, DiscoveryType, EdsClusterConfig, LbPolicy, LbSubsetConfig,
};
use envoy_types::pb::envoy::config::cluster::v3::Cluster;
use envoy_types::pb::envoy::config::core::v3::address::Address as AddressKind;
use envoy_types::pb::envoy::config::core::v3::config_source::ConfigSourceSpecifier;
use envoy_types::pb::envoy::config::core::v3::socket_address::PortSpecifier;
use envoy_types::pb::envoy::config::core::v3::{
    Address, AggregatedConfigSource, ApiVersion, ConfigSource, Locality, SocketAddress,
};
use envoy_types::pb::envoy::config::endpoint::v3::lb_endpoint::HostIdentifier;
use envoy_types::pb::envoy::config::endpoint::v3::{
    ClusterLoadAssignment, Endpoint as EndpointMessage, LbEndpoint, LocalityLbEndpoints,
};
use envoy_types::pb::google::protobuf::UInt32Value;
use std::collections::BTreeMap;

/// Creates a cluster whose endpoints are discovered by EDS. If `hashed`, its endpoints are chosen by ring hash,
/// otherwise by least request.
pub(super) fn cluster(name: &str, hashed: bool, connect_timeout: Span) -> Cluster {
    let ads = ConfigSource {
        resource_api_version: ApiVersion::V3.into(),
        config_source_specifier: Some(ConfigSourceSpecifier::Ads(AggregatedConfigSource {})),
        ..ConfigSource::default()
    };
    let subsets = LbSubsetConfig {
        fallback_policy: LbSubsetFallbackPolicy::AnyEndpoint.into(),
        subset_selectors: vec![LbSubsetSelector {
            keys: vec![SERVER_METADATA_KEY.to_owned()],
            ..LbSubsetSelector::default()
        }],
        ..LbSubsetConfig::default()
    };
    Cluster {
        name: name.to_owned(),
        cluster_discovery_type: Some(ClusterDiscoveryType::Type(DiscoveryType::Eds.into())),
        eds_cluster_config: Some(EdsClusterConfig { eds_config: Some(ads), service_name: String::new() }),
        connect_timeout: Some(duration(connect_timeout)),
        lb_policy: if hashed { LbPolicy::RingHash } else { LbPolicy::LeastRequest }.into(),
        lb_subset_config: Some(subsets),
        ..Cluster::default()
    }
}

/// Creates the load assignment of a cluster: its endpoints, grouped by priority and zone.
pub(super) fn load_assignment(name: &str, levels: &[PriorityLevel]) -> ClusterLoadAssignment {
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
    let host = EndpointMessage {
        address: Some(address),
        hostname: endpoint.name.clone(),
        ..EndpointMessage::default()
    };
    LbEndpoint {
        metadata: Some(server_metadata(&endpoint.name)),
        load_balancing_weight: Some(UInt32Value { value: endpoint.weight }),
        host_identifier: Some(HostIdentifier::Endpoint(host)),
        ..LbEndpoint::default()
    }
}

//! Encodes routes (RDS).

use super::common::{
    duration, server_metadata, CLASS_HEADER, FRESH_HEADER, FROM_HEADER, GROUP_HEADER, NEWER_THAN_HEADER,
    OBJECT_HEADER, RANK_HEADER,
};
use crate::control::resource::{Route, RouteCache};
use crate::interface::{ObjectId, Purge, Span};
use envoy_types::pb::envoy::config::core::v3::header_value_option::HeaderAppendAction;
use envoy_types::pb::envoy::config::core::v3::{HeaderValue, HeaderValueOption};
use envoy_types::pb::envoy::config::route::v3::header_matcher::HeaderMatchSpecifier;
use envoy_types::pb::envoy::config::route::v3::route::Action;
use envoy_types::pb::envoy::config::route::v3::route_action::hash_policy::{Header, PolicySpecifier};
use envoy_types::pb::envoy::config::route::v3::route_action::{ClusterSpecifier, HashPolicy};
use envoy_types::pb::envoy::config::route::v3::route_match::PathSpecifier;
use envoy_types::pb::envoy::config::route::v3::weighted_cluster::ClusterWeight;
use envoy_types::pb::envoy::config::route::v3::{
    HeaderMatcher, RetryPolicy, Route as RouteMessage, RouteAction, RouteConfiguration, RouteMatch,
    VirtualHost, WeightedCluster,
};
use envoy_types::pb::envoy::r#type::matcher::v3::string_matcher::MatchPattern;
use envoy_types::pb::envoy::r#type::matcher::v3::StringMatcher;
use envoy_types::pb::google::protobuf::UInt32Value;

/// The conditions for a retry in an idempotent class.
const RETRY_IDEMPOTENT: &str = "connect-failure,refused-stream,reset,5xx";
/// The conditions for a retry in any other class: after a refused connection the request certainly did not run, but
/// after a reset it may have run.
const RETRY_NEVER_RAN: &str = "connect-failure,refused-stream";

/// The names of the clusters that a point's routes refer to.
pub(super) struct Clusters<'a> {
    /// The cluster of the point's caches.
    pub(super) caches: &'a str,
    /// The cluster of the point's fill sources.
    pub(super) fill: &'a str,
}

impl Clusters<'_> {
    /// Creates the route configuration of a point.
    pub(super) fn configuration(&self, name: &str, routes: &[Route]) -> RouteConfiguration {
        let host = VirtualHost {
            name: name.to_owned(),
            domains: vec!["*".to_owned()],
            routes: routes.iter().map(|route| self.route(route)).collect(),
            ..VirtualHost::default()
        };
        RouteConfiguration {
            name: name.to_owned(),
            virtual_hosts: vec![host],
            // A header that a weighted cluster adds overwrites the one that its route adds.
            most_specific_header_mutations_wins: true,
            ..RouteConfiguration::default()
        }
    }

    fn route(&self, route: &Route) -> RouteMessage {
        let matches = RouteMatch {
            headers: matched_headers(route),
            path_specifier: Some(PathSpecifier::Prefix("/".to_owned())),
            ..RouteMatch::default()
        };
        RouteMessage {
            name: route_name(route),
            r#match: Some(matches),
            request_headers_to_add: self.added_headers(route),
            action: Some(Action::Route(self.action(route))),
            ..RouteMessage::default()
        }
    }

    fn added_headers(&self, route: &Route) -> Vec<HeaderValueOption> {
        let mut headers =
            vec![overwrite(FROM_HEADER, self.fill), overwrite(RANK_HEADER, &route.rank.to_string())];
        if route.newer_than_ms > 0 {
            headers.push(overwrite(NEWER_THAN_HEADER, &route.newer_than_ms.to_string()));
        }
        if route.fresh > Span::ZERO {
            let fresh_ms = route.fresh.as_millis();
            headers.push(overwrite(FRESH_HEADER, &fresh_ms.to_string()));
        }
        headers
    }

    fn action(&self, route: &Route) -> RouteAction {
        let hashed_header = Header { header_name: OBJECT_HEADER.to_owned(), regex_rewrite: None };
        let hash_policy =
            HashPolicy { policy_specifier: Some(PolicySpecifier::Header(hashed_header)), terminal: true };
        let retry_on = if route.idempotent { RETRY_IDEMPOTENT } else { RETRY_NEVER_RAN };
        let retry_policy = RetryPolicy {
            retry_on: retry_on.to_owned(),
            num_retries: Some(UInt32Value { value: route.attempts.saturating_sub(1) }),
            ..RetryPolicy::default()
        };
        RouteAction {
            cluster_specifier: Some(self.targets(&route.caches)),
            hash_policy: vec![hash_policy],
            timeout: Some(duration(route.deadline)),
            retry_policy: Some(retry_policy),
            ..RouteAction::default()
        }
    }

    /// Returns the targets of a route: the whole cluster, or a hot object's caches as subsets of it.
    fn targets(&self, caches: &[RouteCache]) -> ClusterSpecifier {
        if caches.is_empty() {
            return ClusterSpecifier::Cluster(self.caches.to_owned());
        }
        let clusters = caches.iter().map(|cache| self.subset(cache)).collect();
        ClusterSpecifier::WeightedClusters(WeightedCluster { clusters, ..WeightedCluster::default() })
    }

    /// Creates the subset of the cluster that holds one cache.
    fn subset(&self, cache: &RouteCache) -> ClusterWeight {
        // This header overwrites the one that the route adds, so that a delegate is filled from the home cache.
        let fill = cache.fill.iter().map(|fill| overwrite(FROM_HEADER, fill));
        ClusterWeight {
            name: self.caches.to_owned(),
            weight: Some(UInt32Value { value: 1 }),
            metadata_match: Some(server_metadata(&cache.name)),
            request_headers_to_add: fill.collect(),
            ..ClusterWeight::default()
        }
    }
}

/// Returns the object that a route matches, as a purged or as a hot object; `None` if it matches no single object.
fn matched_object(route: &Route) -> Option<ObjectId> {
    match route.purge {
        Some(Purge::Object(object)) => Some(object),
        _ => route.object,
    }
}

fn object_text(object: ObjectId) -> String {
    format!("{:016x}", object.0)
}

fn matched_headers(route: &Route) -> Vec<HeaderMatcher> {
    let mut headers = vec![exact(CLASS_HEADER, route.class.clone())];
    if let Some(object) = matched_object(route) {
        headers.push(exact(OBJECT_HEADER, object_text(object)));
    }
    if let Some(Purge::Group(group)) = route.purge {
        headers.push(exact(GROUP_HEADER, group.0.to_string()));
    }
    headers
}

fn route_name(route: &Route) -> String {
    let mut name = route.class.clone();
    if let Some(object) = matched_object(route) {
        name += &format!("/{}", object_text(object));
    }
    if let Some(Purge::Group(group)) = route.purge {
        name += &format!("/group-{}", group.0);
    }
    if route.newer_than_ms > 0 {
        name += "/purged";
    }
    name
}

fn exact(name: &str, value: String) -> HeaderMatcher {
    let matcher =
        StringMatcher { match_pattern: Some(MatchPattern::Exact(value)), ..StringMatcher::default() };
    HeaderMatcher {
        name: name.to_owned(),
        header_match_specifier: Some(HeaderMatchSpecifier::StringMatch(matcher)),
        ..HeaderMatcher::default()
    }
}

fn overwrite(name: &str, value: &str) -> HeaderValueOption {
    let header = HeaderValue { key: name.to_owned(), value: value.to_owned(), raw_value: Vec::new() };
    HeaderValueOption {
        header: Some(header),
        append_action: HeaderAppendAction::OverwriteIfExistsOrAdd.into(),
        ..HeaderValueOption::default()
    }
}

//! Finds faults of a configuration that need no expectation: a point without caches, a hub without parents,
//! an endpoint list that contradicts itself.

use super::site::Site;
use crate::interface::{Class, Endpoint, Idempotency, ServerState, Span, ZoneId};
use serde::Serialize;

/// Maximum number of servers that a finding names.
const MAX_NAMED_SERVERS: usize = 4;

/// The severity of a finding; only errors make a check fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Severity {
    /// Requests are still served, but worse than the operator may think.
    Warning,
    /// Requests of some point or class would not be served as configured, so the configuration is rejected.
    Error,
}

/// A fault of the configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Finding {
    /// Whether the configuration is rejected for it.
    pub severity: Severity,
    /// A stable code for tools, such as `hub-unready`.
    pub code: &'static str,
    /// One line for the operator: what is wrong, with the names of points, classes or servers.
    pub text: String,
}

/// Checks a site. The order of the findings depends only on the site.
pub fn lint(site: &Site) -> Vec<Finding> {
    let parents: Vec<&Endpoint> = site.servers.values().filter(|endpoint| site.is_parent(endpoint)).collect();
    let mut findings = Vec::new();
    findings.extend(no_source(site, &parents));
    for point in site.points() {
        findings.extend(no_cache(site, point));
        findings.extend(no_parent(site, point, &parents));
    }
    findings.extend(missing_hubs(site));
    for (name, class) in site.classes.iter().zip(&site.settings.classes) {
        findings.extend(class_findings(name, class));
    }
    findings.extend(weightless_servers(site));
    findings.extend(site.contradictions.iter().map(|text| warning("list-odd", text.clone())));
    findings
}

fn error(code: &'static str, text: String) -> Finding {
    Finding { severity: Severity::Error, code, text }
}

fn warning(code: &'static str, text: String) -> Finding {
    Finding { severity: Severity::Warning, code, text }
}

fn is_ready(endpoint: &Endpoint) -> bool {
    endpoint.state == ServerState::Ready
}

fn any_ready(endpoints: &[&Endpoint]) -> bool {
    endpoints.iter().any(|endpoint| is_ready(endpoint))
}

/// Finds that no server can fill a miss.
fn no_source(site: &Site, parents: &[&Endpoint]) -> Option<Finding> {
    let origins = site.servers.values().filter(|endpoint| site.is_origin(endpoint));
    let sources: Vec<&Endpoint> = origins.chain(parents.iter().copied()).collect();
    if any_ready(&sources) {
        return None;
    }
    let states = unready_states(site, &sources);
    let text = format!("no origin and no parent is ready{states}: no miss can be filled");
    Some(error("no-source", text))
}

/// Finds that a point has no ready table cache.
fn no_cache(site: &Site, point: ZoneId) -> Option<Finding> {
    let endpoints = site.servers.values().filter(|endpoint| endpoint.zone == point);
    let caches: Vec<&Endpoint> = endpoints.filter(|endpoint| site.is_cache(endpoint)).collect();
    if any_ready(&caches) {
        return None;
    }
    let states = unready_states(site, &caches);
    let text = format!("point {} has no ready table cache{states}", site.zone_name(point));
    Some(if site.settings.limits.direct_to_source {
        warning("point-direct", format!("{text}: its requests go directly to a parent or the origin"))
    } else {
        error("point-unserved", format!("{text}: all its requests are rejected"))
    })
}

/// Finds that a point's hub has no ready parent, in a site that has parents.
fn no_parent(site: &Site, point: ZoneId, parents: &[&Endpoint]) -> Option<Finding> {
    let hub = site.hub(point).filter(|_| !parents.is_empty())?;
    let at_hub: Vec<&Endpoint> = parents.iter().copied().filter(|endpoint| endpoint.zone == hub).collect();
    if any_ready(&at_hub) {
        return None;
    }
    let classes = cached_classes(site);
    let point = site.zone_name(point);
    let hub = site.zone_name(hub);
    let states = unready_states(site, &at_hub);
    let text = format!(
        "{classes} of point {point} fill through hub {hub}, which has no ready parent{states}: \
         they fill from other hubs, which are farther away"
    );
    Some(error("hub-unready", text))
}

fn missing_hubs(site: &Site) -> Option<Finding> {
    let zones = site.settings.topology.routers_by_zone.len();
    let hubs = site.settings.topology.hub_by_zone.len();
    (hubs < zones).then(|| error("hub-missing", format!("only {hubs} of {zones} zones have a hub")))
}

fn class_findings(name: &str, class: &Class) -> Vec<Finding> {
    let mut findings = Vec::new();
    if class.latency_objective > class.client_deadline {
        let text = format!(
            "class {name}: its target is longer than its deadline, \
             so an answer within the target may come too late for clients"
        );
        findings.push(error("target-past-deadline", text));
    }
    if class.idempotency == Idempotency::WithKey && class.dedup_window == Span::ZERO {
        let text = format!(
            "class {name}: its deduplication window is 0, \
             so a request that a server may have run is never retried"
        );
        findings.push(warning("window-empty", text));
    }
    if class.idempotency != Idempotency::Always && !class.uncached {
        let text = format!("class {name}: its requests have an effect, but copies of its answers are cached");
        findings.push(warning("effect-kept", text));
    }
    findings
}

fn weightless_servers(site: &Site) -> impl Iterator<Item = Finding> + '_ {
    let ready = site.servers.values().filter(|endpoint| is_ready(endpoint));
    let weightless = ready.filter(|endpoint| endpoint.weight <= 0.0 && !site.is_origin(endpoint));
    weightless.map(|endpoint| {
        let text = format!("{} is ready, but its weight is not above 0", site.describe(endpoint.server));
        warning("weight-zero", text)
    })
}

/// Returns the names of the cached classes, as the subject of a finding.
fn cached_classes(site: &Site) -> String {
    let classes = site.classes.iter().zip(&site.settings.classes);
    let cached = classes.filter(|(_, class)| !class.uncached);
    let cached: Vec<&str> = cached.map(|(name, _)| name.as_str()).collect();
    format!("{} {}", if cached.len() == 1 { "class" } else { "classes" }, cached.join(", "))
}

/// Returns the states of the first few servers that are not ready, in parentheses.
fn unready_states(site: &Site, endpoints: &[&Endpoint]) -> String {
    if endpoints.is_empty() {
        return " (none is listed)".to_owned();
    }
    let word = |endpoint: &&Endpoint| match endpoint.state {
        ServerState::Ready => None,
        ServerState::Draining => Some(format!("{} is draining", site.name(endpoint.server))),
        ServerState::Removed => Some(format!("{} is removed", site.name(endpoint.server))),
    };
    let words: Vec<String> = endpoints.iter().filter_map(word).take(MAX_NAMED_SERVERS).collect();
    format!(" ({})", words.join(", "))
}

/// Returns the names of a site's points, separated by commas.
pub fn point_names(site: &Site) -> String {
    let name = |zone: &ZoneId| site.zone_name(*zone).to_owned();
    site.points().iter().map(name).collect::<Vec<_>>().join(", ")
}

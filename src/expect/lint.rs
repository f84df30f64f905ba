//! What is wrong with a configuration whatever is expected of it: a point with nobody to ask, a hub that nobody
//! can fill from, a list that contradicts itself.

use super::site::Site;
use crate::interface::{Effect, Member, ServerState, ZoneId};
use serde::Serialize;

/// How bad a finding is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Severity {
    /// Service goes on, worse than the operator may think.
    Warning,
    /// Requests of some point or class will not be served as configured: the configuration is rejected.
    Error,
}

/// One finding.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Finding {
    /// How bad it is.
    pub severity: Severity,
    /// A word for it that stays the same, such as `hub-unready`.
    pub code: &'static str,
    /// What is wrong, in one line.
    pub text: String,
}

/// Looks a site over. The findings come in an order that depends on the site alone.
pub fn lint(site: &Site) -> Vec<Finding> {
    let mut findings = Vec::new();
    let mut find = |severity, code, text| findings.push(Finding { severity, code, text });
    let ready = |m: &&Member| m.state == ServerState::Ready;
    let origins: Vec<&Member> = site.servers.values().filter(|m| site.is_origin(m)).collect();
    let parents: Vec<&Member> = site.servers.values().filter(|m| site.is_parent(m)).collect();
    if !origins.iter().any(ready) && !parents.iter().any(ready) {
        let text =
            format!("no origin and no parent is ready{}", states(site, &[&origins[..], &parents].concat()));
        find(Severity::Error, "no-source", format!("{text}: no miss can be filled"));
    }
    for point in site.points() {
        let name = site.zone_name(point);
        let caches: Vec<&Member> =
            site.servers.values().filter(|m| site.is_cache(m) && m.zone == point).collect();
        if !caches.iter().any(ready) {
            let states = states(site, &caches);
            match site.settings.direct {
                true => {
                    let text =
                        format!("point {name} has no ready table cache{states}: parents are asked past them");
                    find(Severity::Warning, "point-direct", text);
                }
                false => {
                    let text = format!(
                        "point {name} has no ready table cache{states}: all its requests are refused"
                    );
                    find(Severity::Error, "point-unserved", text);
                }
            }
        }
        let Some(hub) = site.hub(point).filter(|_| !parents.is_empty()) else { continue };
        let here: Vec<&Member> = parents.iter().copied().filter(|m| m.zone == hub).collect();
        if !here.iter().any(ready) {
            let classes = kept_classes(site);
            let text = format!(
                "{classes} of point {name} fill through hub {}, which has no ready parent{}: they fill from farther hubs",
                site.zone_name(hub),
                states(site, &here)
            );
            find(Severity::Error, "hub-unready", text);
        }
    }
    let zones = site.settings.routers_by_zone.len();
    if site.settings.hub_by_zone.len() < zones {
        let text = format!("{} zones have a hub, of {zones}", site.settings.hub_by_zone.len());
        find(Severity::Error, "hub-missing", text);
    }
    for (name, class) in site.classes.iter().zip(&site.settings.classes) {
        if class.target > class.deadline {
            let text =
                format!("class {name}: its target is past its deadline, so no answer earns its full worth");
            find(Severity::Error, "target-past-deadline", text);
        }
        if class.effect == Effect::Keyed && class.window == 0 {
            let text =
                format!("class {name}: repeats are dropped for no time at all, so none is ever tried again");
            find(Severity::Warning, "window-empty", text);
        }
        if class.effect != Effect::Safe && !class.never_kept {
            let text = format!("class {name}: it has an effect, and yet copies of its answers are kept");
            find(Severity::Warning, "effect-kept", text);
        }
    }
    for member in site.servers.values().filter(ready).filter(|m| !site.is_origin(m)) {
        if member.weight <= 0.0 {
            let text = format!("{} is ready with no weight", site.describe(member.server));
            find(Severity::Warning, "weight-zero", text);
        }
    }
    for text in &site.oddities {
        find(Severity::Warning, "list-odd", text.clone());
    }
    findings
}

/// The classes that are filled, in words.
fn kept_classes(site: &Site) -> String {
    let classes = site.classes.iter().zip(&site.settings.classes);
    let kept: Vec<&str> = classes.filter(|(_, c)| !c.never_kept).map(|(name, _)| name.as_str()).collect();
    format!("{} {}", if kept.len() == 1 { "class" } else { "classes" }, kept.join(", "))
}

/// Who is there and not ready, in brackets.
fn states(site: &Site, members: &[&Member]) -> String {
    let word = |m: &&&Member| match m.state {
        ServerState::Ready => None,
        ServerState::Draining => Some(format!("{} is draining", site.name(m.server))),
        ServerState::Gone => Some(format!("{} is gone", site.name(m.server))),
    };
    let words: Vec<String> = members.iter().filter_map(|m| word(&m)).take(4).collect();
    if members.is_empty() {
        return " (none is listed)".to_owned();
    }
    format!(" ({})", words.join(", "))
}

/// The points of a site by their names, for the operator.
pub fn points(site: &Site) -> String {
    let name = |zone: &ZoneId| site.zone_name(*zone).to_owned();
    site.points().iter().map(name).collect::<Vec<_>>().join(", ")
}

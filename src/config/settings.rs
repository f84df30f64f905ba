//! The settings message: JSON in the wire's words, turned into [`Settings`].

use crate::interface::{
    CacheStatusDetail, Class, ClassId, DedupScope, Idempotency, ProtectionRules, Settings, SiblingSources,
    SiteLimits, SlowStartRules, Span, Topology, ZoneId,
};
use serde::Deserialize;

#[derive(Deserialize)]
struct Wire {
    balancers: u32,
    discovery: String,
    domain: Domain,
    grades: Vec<Grade>,
    limits: WireLimits,
    my_zone: u16,
    ordinal: u32,
    rules: WireRules,
    #[serde(default)]
    weights: String,
    #[serde(default)]
    skus: Vec<String>,
    #[serde(default)]
    failure_domains: Vec<String>,
    #[serde(default)]
    report: Report,
}

#[derive(Default, Deserialize)]
struct Report {
    #[serde(default)]
    names: Vec<String>,
}

/// What a router program needs of the settings and the decision module does not.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SiteNames {
    /// The names of the classes, by number; those that are retired keep theirs.
    pub classes: Vec<String>,
    /// Which of them are retired.
    pub retired: Vec<bool>,
    /// Which of them are writes: what may not run twice at will.
    pub writes: Vec<bool>,
    /// How long a client of each waits at the longest.
    pub deadlines: Vec<Span>,
    /// The names of the kinds of machine.
    pub kinds: Vec<String>,
    /// The names of the zones.
    pub zones: Vec<String>,
    /// The names of the values in a load report.
    pub report: Vec<String>,
    /// Idle connections are closed by the servers after this.
    pub conn_idle: Span,
    /// A connection that is not up by then has failed.
    pub connect_timeout: Span,
    /// Attempts that one connection carries.
    pub streams_per_conn: usize,
    /// Requests that may be open.
    pub most_held: usize,
    /// Top pace of one answer's bytes, a second; 0: not told.
    pub flow_bytes_per_s: f64,
}

/// The settings message, read.
#[derive(Clone, Debug, PartialEq)]
pub struct SiteSettings {
    /// For the decision module.
    pub settings: Settings,
    /// For the program around it.
    pub names: SiteNames,
}

impl SiteNames {
    /// The class that requests of this name have now.
    pub fn class(&self, name: &str) -> Option<ClassId> {
        let known = self.classes.iter().zip(&self.retired);
        let found = known.enumerate().find(|(_, (known, retired))| *known == name && !**retired);
        found.map(|(number, _)| ClassId(number as u16))
    }
}

impl SiteSettings {
    /// These settings as they follow older ones in a running program. A class of the same name and rules keeps its
    /// number; a new one, or one whose rules differ, gets a number that no class has had, and the old one is retired:
    /// its open requests go on by its rules. Where the own place and the servers' kinds and zones differ, the old
    /// ones stay, since all that was heard of the servers is in their words; this is told with it.
    ///
    /// # Errors
    ///
    /// The numbers are used up.
    pub fn following(self, old: &SiteSettings) -> Result<(SiteSettings, bool), String> {
        let SiteSettings { settings: new, names: told } = self;
        let mut names = SiteNames {
            kinds: old.names.kinds.clone(),
            zones: old.names.zones.clone(),
            retired: vec![true; old.names.classes.len()],
            classes: old.names.classes.clone(),
            writes: old.names.writes.clone(),
            deadlines: old.names.deadlines.clone(),
            ..told.clone()
        };
        let retired = |class: &Class| Class { retired: true, ..class.clone() };
        let mut classes: Vec<Class> = old.settings.classes.iter().map(retired).collect();
        for (name, class) in told.classes.iter().zip(&new.classes) {
            let known = old.names.class(name).map(|known| usize::from(known.0));
            if let Some(known) = known.filter(|known| old.settings.classes[*known] == *class) {
                (classes[known].retired, names.retired[known]) = (false, false);
                continue;
            }
            if classes.len() >= usize::from(u16::MAX) {
                return Err("settings: no class numbers are left".into());
            }
            names.classes.push(name.clone());
            names.retired.push(false);
            names.writes.push(class.idempotency != Idempotency::Always);
            names.deadlines.push(class.client_deadline);
            classes.push(class.clone());
        }
        let place = &old.settings.topology;
        let topology = Topology {
            transfer_kb_per_s: new.topology.transfer_kb_per_s,
            weights_state_links: new.topology.weights_state_links,
            ..place.clone()
        };
        let settings = Settings { classes, topology, ..new.clone() };
        let moved = Settings { classes: new.classes.clone(), ..settings.clone() } != new;
        let moved = moved || names.kinds != told.kinds || names.zones != told.zones;
        Ok((SiteSettings { settings, names }, moved))
    }
}

#[derive(Deserialize)]
struct Domain {
    class_grace: Vec<f64>,
    collapses: bool,
    count_by_zone: Vec<u32>,
    fresh_for: Vec<f64>,
    goes_through: Vec<bool>,
    hub_by_zone: Vec<u16>,
    lateral: String,
    pace_kb_per_s: f64,
    parent_cold: f64,
    parent_floor: f64,
    pipe_kb_per_s: Vec<f64>,
    purge_grace: f64,
    purge_settles: f64,
    root_kind: u16,
    second_tier_kind: i32,
    straight: bool,
    tells: String,
    upper_fall_multiple: f64,
}

#[derive(Deserialize)]
struct Grade {
    #[serde(default)]
    name: String,
    #[serde(default)]
    aim_stretch: f64,
    deadline: f64,
    dedup_scope: String,
    effect: String,
    target: f64,
    window: f64,
    points: f64,
}

#[derive(Deserialize)]
struct WireLimits {
    cancel: bool,
    max_attempts: u32,
    max_retry_after: f64,
    may_probe: bool,
    parallel_tries: bool,
    peer_messages: bool,
    retry_after: bool,
    #[serde(default = "conn_idle")]
    conn_idle: f64,
    #[serde(default = "connect_timeout")]
    connect_timeout: f64,
    #[serde(default = "streams_per_conn")]
    streams_per_conn: usize,
    #[serde(default = "most_held")]
    most_held: usize,
}

fn conn_idle() -> f64 {
    15_000.0
}

fn connect_timeout() -> f64 {
    400.0
}

fn streams_per_conn() -> usize {
    100
}

fn most_held() -> usize {
    20_000
}

#[derive(Deserialize)]
struct WireRules {
    ask_within: f64,
    cold_share: f64,
    fall_multiple: f64,
    overload_for: f64,
    warm_after: f64,
}

/// Reads the settings message.
///
/// # Errors
///
/// What is wrong, in one line.
pub fn parse(text: &[u8]) -> Result<SiteSettings, String> {
    let mut json = serde_json::Deserializer::from_slice(text);
    let wire: Wire = serde_path_to_error::deserialize(&mut json).map_err(|e| format!("settings: {e}"))?;
    json.end().map_err(|e| format!("settings: {e}"))?;
    let Wire { domain, limits, rules, .. } = &wire;
    let mut classes = Vec::with_capacity(wire.grades.len());
    for (i, grade) in wire.grades.iter().enumerate() {
        let lacking = |name: &str| format!("settings: domain.{name} has no entry for class {i}");
        classes.push(Class {
            latency_objective: Span::from_millis_f64(grade.target),
            objective_stretch: grade.aim_stretch,
            client_deadline: Span::from_millis_f64(grade.deadline),
            priority_weight: grade.points,
            idempotency: word(
                "effect",
                &grade.effect,
                &[
                    ("pure", Idempotency::Always),
                    ("token", Idempotency::WithKey),
                    ("side_effect", Idempotency::Never),
                ],
            )?,
            dedup_scope: word(
                "dedup_scope",
                &grade.dedup_scope,
                &[("all", DedupScope::All), ("zone", DedupScope::Zone), ("cell", DedupScope::Cell)],
            )?,
            dedup_window: Span::from_millis_f64(grade.window),
            fresh_for: Span::from_millis_f64(*domain.fresh_for.get(i).ok_or_else(|| lacking("fresh_for"))?),
            stale_for: Span::from_millis_f64(
                *domain.class_grace.get(i).ok_or_else(|| lacking("class_grace"))?,
            ),
            uncached: *domain.goes_through.get(i).ok_or_else(|| lacking("goes_through"))?,
            retired: false,
        });
    }
    let names = SiteNames {
        classes: wire.grades.iter().map(|grade| grade.name.clone()).collect(),
        retired: vec![false; classes.len()],
        writes: classes.iter().map(|class| class.idempotency != Idempotency::Always).collect(),
        deadlines: classes.iter().map(|class| class.client_deadline).collect(),
        kinds: wire.skus.clone(),
        zones: wire.failure_domains.clone(),
        report: wire.report.names.clone(),
        conn_idle: Span::from_millis_f64(limits.conn_idle),
        connect_timeout: Span::from_millis_f64(limits.connect_timeout),
        streams_per_conn: limits.streams_per_conn.max(1),
        most_held: limits.most_held,
        flow_bytes_per_s: 0.0,
    };
    let topology = Topology {
        routers: wire.balancers,
        ordinal: wire.ordinal,
        zone: ZoneId(wire.my_zone),
        routers_by_zone: domain.count_by_zone.clone(),
        hub_by_zone: domain.hub_by_zone.iter().copied().map(ZoneId).collect(),
        zone_link_kb_per_s: domain.pipe_kb_per_s.clone(),
        transfer_kb_per_s: domain.pace_kb_per_s,
        weights_state_links: wire.weights != "silent",
        parent_kind: u16::try_from(domain.second_tier_kind).ok(),
        origin_kind: domain.root_kind,
    };
    let limits = SiteLimits {
        max_attempts: limits.max_attempts,
        parallel_attempts: limits.parallel_tries,
        cancellation: limits.cancel,
        health_checks: limits.may_probe,
        peer_messages: limits.peer_messages,
        retry_after: limits.retry_after,
        max_retry_after: Span::from_millis_f64(limits.max_retry_after),
        direct_to_source: domain.straight,
        join_fills: domain.collapses,
        sibling_sources: word(
            "lateral",
            &domain.lateral,
            &[
                ("silent", SiblingSources::None),
                ("location", SiblingSources::SameLocation),
                ("any", SiblingSources::Any),
            ],
        )?,
        cache_status_detail: word(
            "tells",
            &domain.tells,
            &[
                ("all", CacheStatusDetail::Full),
                ("hit", CacheStatusDetail::Served),
                ("silent", CacheStatusDetail::None),
            ],
        )?,
        polls_discovery: word("discovery", &wire.discovery, &[("automatic", false), ("subscribe", true)])?,
    };
    let protection = ProtectionRules {
        cache_slow_start: SlowStartRules {
            initial_share: rules.cold_share,
            full_after: Span::from_millis_f64(rules.warm_after),
            overload_multiple: rules.fall_multiple,
        },
        parent_slow_start: SlowStartRules {
            initial_share: domain.parent_floor,
            full_after: Span::from_millis_f64(domain.parent_cold),
            overload_multiple: domain.upper_fall_multiple,
        },
        overload_window: Span::from_millis_f64(rules.overload_for),
        purge_grace: Span::from_millis_f64(domain.purge_grace),
        purge_settled_after: Span::from_millis_f64(domain.purge_settles),
        max_list_age: Span::from_millis_f64(rules.ask_within),
    };
    let settings = Settings { topology, classes, limits, protection };
    Ok(SiteSettings { settings, names })
}

fn word<T: Copy>(key: &str, value: &str, words: &[(&str, T)]) -> Result<T, String> {
    let found = words.iter().find(|(word, _)| *word == value);
    found
        .map(|(_, meaning)| *meaning)
        .ok_or_else(|| format!("settings: {key} has the unknown word {value:?}"))
}

#[cfg(test)]
mod tests;

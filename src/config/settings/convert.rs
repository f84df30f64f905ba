//! Converts the settings message into the types of the program, one function for each section.

use super::error::SettingsParseError;
use super::message::{ClassMessage, DomainMessage, LimitsMessage, RulesMessage, SettingsMessage};
use super::program::{ClassInfo, ProgramSettings};
use super::SiteSettings;
use crate::interface::{
    CacheStatusDetail, Class, DedupScope, Idempotency, ProtectionRules, Settings, SiblingSources, SiteLimits,
    SlowStartRules, Span, Topology, ZoneId,
};

/// The value of `weights` if the servers' weights are not the capacities of their links.
const WEIGHTS_NOT_STATED: &str = "silent";

const IDEMPOTENCY: [(&str, Idempotency); 3] =
    [("pure", Idempotency::Always), ("token", Idempotency::WithKey), ("side_effect", Idempotency::Never)];
const DEDUP_SCOPE: [(&str, DedupScope); 3] =
    [("all", DedupScope::All), ("zone", DedupScope::Zone), ("cell", DedupScope::Cell)];
const SIBLING_SOURCES: [(&str, SiblingSources); 3] = [
    ("silent", SiblingSources::None),
    ("location", SiblingSources::SameLocation),
    ("any", SiblingSources::Any),
];
const CACHE_STATUS_DETAIL: [(&str, CacheStatusDetail); 3] = [
    ("all", CacheStatusDetail::Full),
    ("hit", CacheStatusDetail::Served),
    ("silent", CacheStatusDetail::None),
];
const POLLS_DISCOVERY: [(&str, bool); 2] = [("automatic", false), ("subscribe", true)];

/// Converts the whole message.
pub(super) fn site_settings(message: &SettingsMessage) -> Result<SiteSettings, SettingsParseError> {
    let classes = classes(message)?;
    let program = program_settings(message, &classes);
    let topology = topology(message);
    let limits = site_limits(message)?;
    let protection = protection_rules(&message.rules, &message.domain);
    Ok(SiteSettings { policy: Settings { topology, classes, limits, protection }, program })
}

fn classes(message: &SettingsMessage) -> Result<Vec<Class>, SettingsParseError> {
    let numbered = message.grades.iter().enumerate();
    numbered.map(|(number, class_message)| class(class_message, number, &message.domain)).collect()
}

fn class(message: &ClassMessage, number: usize, domain: &DomainMessage) -> Result<Class, SettingsParseError> {
    Ok(Class {
        latency_objective: Span::from_millis_f64(message.target),
        objective_stretch: message.aim_stretch,
        client_deadline: Span::from_millis_f64(message.deadline),
        priority_weight: message.points,
        idempotency: parse_word("effect", &message.effect, &IDEMPOTENCY)?,
        dedup_scope: parse_word("dedup_scope", &message.dedup_scope, &DEDUP_SCOPE)?,
        dedup_window: Span::from_millis_f64(message.window),
        fresh_for: Span::from_millis_f64(class_entry("fresh_for", &domain.fresh_for, number)?),
        stale_for: Span::from_millis_f64(class_entry("class_grace", &domain.class_grace, number)?),
        uncached: class_entry("goes_through", &domain.goes_through, number)?,
        retired: false,
    })
}

fn program_settings(message: &SettingsMessage, classes: &[Class]) -> ProgramSettings {
    let limits = &message.limits;
    let named = message.grades.iter().zip(classes);
    ProgramSettings {
        classes: named.map(|(message, class)| ClassInfo::new(message.name.clone(), class)).collect(),
        kinds: message.skus.clone(),
        zones: message.failure_domains.clone(),
        load_report_names: message.report.names.clone(),
        connection_idle_timeout: Span::from_millis_f64(limits.conn_idle),
        connect_timeout: Span::from_millis_f64(limits.connect_timeout),
        max_streams_per_connection: limits.streams_per_conn.max(1),
        max_open_requests: limits.most_held,
        transfer_bytes_per_s: 0.0,
    }
}

fn topology(message: &SettingsMessage) -> Topology {
    let domain = &message.domain;
    Topology {
        routers: message.balancers,
        ordinal: message.ordinal,
        zone: ZoneId(message.my_zone),
        routers_by_zone: domain.count_by_zone.clone(),
        hub_by_zone: domain.hub_by_zone.iter().copied().map(ZoneId).collect(),
        zone_link_kb_per_s: domain.pipe_kb_per_s.clone(),
        transfer_kb_per_s: domain.pace_kb_per_s,
        weights_state_links: message.weights != WEIGHTS_NOT_STATED,
        parent_kind: u16::try_from(domain.second_tier_kind).ok(),
        origin_kind: domain.root_kind,
    }
}

fn site_limits(message: &SettingsMessage) -> Result<SiteLimits, SettingsParseError> {
    let domain = &message.domain;
    let limits: &LimitsMessage = &message.limits;
    Ok(SiteLimits {
        max_attempts: limits.max_attempts,
        parallel_attempts: limits.parallel_tries,
        cancellation: limits.cancel,
        health_checks: limits.may_probe,
        peer_messages: limits.peer_messages,
        retry_after: limits.retry_after,
        max_retry_after: Span::from_millis_f64(limits.max_retry_after),
        direct_to_source: domain.straight,
        join_fills: domain.collapses,
        sibling_sources: parse_word("lateral", &domain.lateral, &SIBLING_SOURCES)?,
        cache_status_detail: parse_word("tells", &domain.tells, &CACHE_STATUS_DETAIL)?,
        polls_discovery: parse_word("discovery", &message.discovery, &POLLS_DISCOVERY)?,
    })
}

fn protection_rules(rules: &RulesMessage, domain: &DomainMessage) -> ProtectionRules {
    ProtectionRules {
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
    }
}

/// Returns the meaning of a key's value, given the words that the key may have.
fn parse_word<T: Copy>(key: &'static str, value: &str, words: &[(&str, T)]) -> Result<T, SettingsParseError> {
    let found = words.iter().find(|(word, _)| *word == value);
    let unknown = || SettingsParseError::UnknownValue { key, value: value.to_owned() };
    found.map(|(_, meaning)| *meaning).ok_or_else(unknown)
}

/// Returns a class's entry in a list of the section `domain`.
fn class_entry<T: Copy>(key: &'static str, list: &[T], class: usize) -> Result<T, SettingsParseError> {
    list.get(class).copied().ok_or(SettingsParseError::MissingClassEntry { key, class })
}

//! The checks of [`Settings`] before a router starts, one line a value.

use crate::interface::{Class, ProtectionRules, Settings, SiteLimits, Span, Topology};

/// Why [`Settings`] cannot be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[non_exhaustive]
pub enum SettingsError {
    /// There is no class of requests.
    #[error("no classes")]
    NoClasses,
    /// The deployment has no routers, or this router's number is not among them.
    #[error("router {ordinal} of {routers}")]
    OrdinalOutOfRange {
        /// The number given.
        ordinal: u32,
        /// The routers given.
        routers: u32,
    },
    /// A zone lies outside the lists of zones.
    #[error("{name}: zone {zone} of {zones}")]
    ZoneOutOfRange {
        /// The setting.
        name: &'static str,
        /// The zone given.
        zone: u16,
        /// How many zones the lists have.
        zones: usize,
    },
    /// A figure is negative, or no finite number.
    #[error("{name} is negative or not finite")]
    InvalidNumber {
        /// The setting.
        name: &'static str,
    },
    /// A span or a count is too small.
    #[error("{name} is no span of time")]
    TooSmall {
        /// The setting.
        name: &'static str,
    },
}

/// The result of one check.
type Check = Result<(), SettingsError>;

impl Settings {
    /// Checks whether a router can start with these settings.
    ///
    /// # Errors
    ///
    /// The first value that is missing, out of range, negative or not finite.
    pub fn check(&self) -> Result<(), SettingsError> {
        check_all([
            if self.classes.is_empty() { Err(SettingsError::NoClasses) } else { Ok(()) },
            self.topology.check(),
            self.classes.iter().try_for_each(Class::check),
            self.protection.check(),
            self.limits.check(),
        ])
    }
}

impl Topology {
    fn check(&self) -> Check {
        let zone = |name, zone| zone_in_range(name, zone, self.routers_by_zone.len());
        check_all([
            self.check_ordinal(),
            zone("zone", self.zone.0),
            self.hub_by_zone.iter().try_for_each(|hub| zone("hub_by_zone", hub.0)),
            non_negative("pace_kb_per_s", self.transfer_kb_per_s),
            self.zone_link_kb_per_s.iter().try_for_each(|link| non_negative("link_kb_per_s", *link)),
        ])
    }

    fn check_ordinal(&self) -> Check {
        match self.ordinal < self.routers {
            true => Ok(()),
            false => Err(SettingsError::OrdinalOutOfRange { ordinal: self.ordinal, routers: self.routers }),
        }
    }
}

impl Class {
    fn check(&self) -> Check {
        check_all([
            non_negative("stretch", self.objective_stretch),
            non_negative("worth", self.priority_weight),
            positive_span("target", self.latency_objective),
            positive_span("deadline", self.client_deadline),
            non_negative_span("window", self.dedup_window),
            non_negative_span("fresh", self.fresh_for),
            non_negative_span("grace", self.stale_for),
        ])
    }
}

impl ProtectionRules {
    fn check(&self) -> Check {
        let (cache, parent) = (&self.cache_slow_start, &self.parent_slow_start);
        check_all([
            non_negative("cold_share", cache.initial_share),
            non_negative("fall_multiple", cache.overload_multiple),
            non_negative("parent_cold_share", parent.initial_share),
            non_negative("parent_fall_multiple", parent.overload_multiple),
            positive_span("fall_span", self.overload_window),
            non_negative_span("warm_after", cache.full_after),
            non_negative_span("parent_warm_after", parent.full_after),
            non_negative_span("purge_grace", self.purge_grace),
            non_negative_span("purge_settles", self.purge_settled_after),
            non_negative_span("ask_within", self.max_list_age),
        ])
    }
}

impl SiteLimits {
    fn check(&self) -> Check {
        check_all([
            at_least("max_attempts", self.max_attempts, 1),
            non_negative_span("max_retry_after", self.max_retry_after),
        ])
    }
}

/// The first error of several checks.
fn check_all<const N: usize>(checks: [Check; N]) -> Check {
    checks.into_iter().collect()
}

/// A number of 0 or more.
fn non_negative(name: &'static str, value: f64) -> Check {
    match value.is_finite() && value >= 0.0 {
        true => Ok(()),
        false => Err(SettingsError::InvalidNumber { name }),
    }
}

/// A span of 0 or more.
fn non_negative_span(name: &'static str, value: Span) -> Check {
    at_least(name, value, Span::ZERO)
}

/// A span of more than 0.
fn positive_span(name: &'static str, value: Span) -> Check {
    at_least(name, value, Span::from_micros(1))
}

fn at_least<T: PartialOrd>(name: &'static str, value: T, min: T) -> Check {
    match value >= min {
        true => Ok(()),
        false => Err(SettingsError::TooSmall { name }),
    }
}

/// A zone that the lists of zones have.
fn zone_in_range(name: &'static str, zone: u16, zones: usize) -> Check {
    match usize::from(zone) < zones {
        true => Ok(()),
        false => Err(SettingsError::ZoneOutOfRange { name, zone, zones }),
    }
}

//! The checks of [`Settings`] before a router starts.

use crate::interface::{Class, ProtectionRules, Settings, SiteLimits, Span, Topology};

/// Why [`Settings`] cannot be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[non_exhaustive]
pub enum SettingsError {
    /// There is no class of requests.
    #[error("the list of classes is empty")]
    NoClasses,
    /// This router's number is not less than the number of routers.
    #[error("ordinal {ordinal} is out of range, there are {routers} routers")]
    OrdinalOutOfRange {
        /// This router's number, from 0.
        ordinal: u32,
        /// Number of routers in the deployment.
        routers: u32,
    },
    /// A zone is not in the lists of zones.
    #[error("{name}: zone {zone} is out of range, there are {zones} zones")]
    ZoneOutOfRange {
        /// Name of the setting.
        name: &'static str,
        /// Number of the zone, from 0.
        zone: u16,
        /// Number of zones in the lists.
        zones: usize,
    },
    /// A number is negative, infinite or not a number.
    #[error("{name} is negative or not finite")]
    InvalidNumber {
        /// Name of the setting.
        name: &'static str,
    },
    /// A span or a count is less than its minimum.
    #[error("{name} is too small, the minimum is {min}")]
    TooSmall {
        /// Name of the setting.
        name: &'static str,
        /// The minimum, with its unit.
        min: &'static str,
    },
}

/// The result of one check.
type Check = Result<(), SettingsError>;

impl Settings {
    /// Checks whether a router can start with these settings.
    ///
    /// # Errors
    ///
    /// Returns an error for the first value that is missing, out of range, negative or not finite.
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
            at_least("max_attempts", self.max_attempts, (1, "1")),
            non_negative_span("max_retry_after", self.max_retry_after),
        ])
    }
}

/// Returns the first error of several checks.
fn check_all<const N: usize>(checks: [Check; N]) -> Check {
    checks.into_iter().collect()
}

/// Checks that a number is finite and 0 or more.
fn non_negative(name: &'static str, value: f64) -> Check {
    match value.is_finite() && value >= 0.0 {
        true => Ok(()),
        false => Err(SettingsError::InvalidNumber { name }),
    }
}

/// Checks that a span is 0 or more.
fn non_negative_span(name: &'static str, value: Span) -> Check {
    at_least(name, value, (Span::ZERO, "0"))
}

/// Checks that a span is more than 0.
fn positive_span(name: &'static str, value: Span) -> Check {
    at_least(name, value, (Span::from_micros(1), "1 microsecond"))
}

/// Checks that a value is not less than a minimum, which is given with its text.
fn at_least<T: PartialOrd>(name: &'static str, value: T, (min, text): (T, &'static str)) -> Check {
    match value >= min {
        true => Ok(()),
        false => Err(SettingsError::TooSmall { name, min: text }),
    }
}

/// Checks that a zone is in the lists of zones.
fn zone_in_range(name: &'static str, zone: u16, zones: usize) -> Check {
    match usize::from(zone) < zones {
        true => Ok(()),
        false => Err(SettingsError::ZoneOutOfRange { name, zone, zones }),
    }
}

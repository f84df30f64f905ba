//! What makes [`Settings`] unusable, told before a router starts.

use crate::interface::{Class, Settings, Span};

/// The least span that is not zero.
const MICROSECOND: Span = Span::from_micros(1);

/// Why [`Settings`] cannot be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[non_exhaustive]
pub enum SettingsError {
    /// There is no class of requests.
    #[error("no classes")]
    NoClasses,
    /// The deployment has no routers, or this router's number is not among them.
    #[error("router {ordinal} of {routers}")]
    Ordinal {
        /// The number given.
        ordinal: u32,
        /// The routers given.
        routers: u32,
    },
    /// A zone lies outside the lists of zones.
    #[error("{name}: zone {zone} of {zones}")]
    Zone {
        /// The setting.
        name: &'static str,
        /// The zone given.
        zone: u16,
        /// How many zones the lists have.
        zones: usize,
    },
    /// A figure is negative, or no finite number.
    #[error("{name} is negative or not finite")]
    Figure {
        /// The setting.
        name: &'static str,
    },
    /// A span of time is zero or negative.
    #[error("{name} is no span of time")]
    Span {
        /// The setting.
        name: &'static str,
    },
}

impl Settings {
    /// Tells whether a router can start with these settings.
    ///
    /// # Errors
    ///
    /// The first thing found that is missing, out of range, negative or not finite.
    pub fn check(&self) -> Result<(), SettingsError> {
        if self.classes.is_empty() {
            return Err(SettingsError::NoClasses);
        }
        if self.topology.ordinal >= self.topology.routers {
            return Err(SettingsError::Ordinal {
                ordinal: self.topology.ordinal,
                routers: self.topology.routers,
            });
        }
        let zones = self.topology.routers_by_zone.len();
        let zone = |name, zone: u16| match usize::from(zone) < zones {
            true => Ok(()),
            false => Err(SettingsError::Zone { name, zone, zones }),
        };
        zone("zone", self.topology.zone.0)?;
        self.topology.hub_by_zone.iter().try_for_each(|hub| zone("hub_by_zone", hub.0))?;
        figure("pace_kb_per_s", self.topology.transfer_kb_per_s)?;
        self.topology.zone_link_kb_per_s.iter().try_for_each(|link| figure("link_kb_per_s", *link))?;
        self.classes.iter().try_for_each(Class::check)?;
        let rules = &self.protection;
        figure("cold_share", rules.cache_slow_start.initial_share)?;
        figure("fall_multiple", rules.cache_slow_start.overload_multiple)?;
        figure("parent_cold_share", rules.parent_slow_start.initial_share)?;
        figure("parent_fall_multiple", rules.parent_slow_start.overload_multiple)?;
        at_least("fall_span", rules.overload_window, MICROSECOND)?;
        at_least("warm_after", rules.cache_slow_start.full_after, Span::ZERO)?;
        at_least("parent_warm_after", rules.parent_slow_start.full_after, Span::ZERO)?;
        at_least("purge_grace", rules.purge_grace, Span::ZERO)?;
        at_least("purge_settles", rules.purge_settled_after, Span::ZERO)?;
        at_least("ask_within", rules.max_list_age, Span::ZERO)?;
        at_least("max_attempts", self.limits.max_attempts, 1)?;
        at_least("max_retry_after", self.limits.max_retry_after, Span::ZERO)
    }
}

impl Class {
    fn check(&self) -> Result<(), SettingsError> {
        figure("stretch", self.objective_stretch)?;
        figure("worth", self.priority_weight)?;
        at_least("target", self.latency_objective, MICROSECOND)?;
        at_least("deadline", self.client_deadline, MICROSECOND)?;
        at_least("window", self.dedup_window, Span::ZERO)?;
        at_least("fresh", self.fresh_for, Span::ZERO)?;
        at_least("grace", self.stale_for, Span::ZERO)
    }
}

fn figure(name: &'static str, value: f64) -> Result<(), SettingsError> {
    match value.is_finite() && value >= 0.0 {
        true => Ok(()),
        false => Err(SettingsError::Figure { name }),
    }
}

fn at_least<T: PartialOrd>(name: &'static str, value: T, least: T) -> Result<(), SettingsError> {
    match value >= least {
        true => Ok(()),
        false => Err(SettingsError::Span { name }),
    }
}

//! The operator's admission file. It is written in HCL and has one `admission` block. Every key is optional
//! and has a default. An unknown key, a value out of range or a second block is an error. A file with an
//! error is not applied: at startup the program exits, and at SIGHUP the old settings stay in use.
//!
//! ```hcl
//! admission {
//!   per_address      = 64     # open connections of one address, in addition to those in good standing
//!   per_prefix       = 512    # the same for an IPv4 /24 or an IPv6 /64 (see prefix_v4, prefix_v6)
//!   rate_per_s       = 50     # new connections per second of one unknown address (token bucket)
//!   burst            = 100
//!   reserve_known    = 0.1    # share of client connections that only known addresses may take
//!   reserve_upstream = 16     # client connections are rejected if this many descriptors or fewer are free
//! }
//! ```

use super::client_address::PrefixLengths;
use super::token_bucket::Rate;
use crate::interface::Span;
use serde::Deserialize;
use std::ops::RangeInclusive;

const PREFIX_V4_RANGE: RangeInclusive<u8> = 8..=32;
const PREFIX_V6_RANGE: RangeInclusive<u8> = 16..=128;
const RESERVE_KNOWN_RANGE: RangeInclusive<f64> = 0.0..=0.9;

/// Why an admission file cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum AdmissionError {
    /// The text is not HCL, or it has an unknown key or a value of the wrong type.
    #[error(transparent)]
    Parse(#[from] hcl::Error),
    /// The file has no `admission` block.
    #[error("the file has no admission block")]
    MissingBlock,
    /// A value is out of its range.
    #[error("admission.{key} is {value}, must be {expected}")]
    Range {
        /// Key in the `admission` block.
        key: &'static str,
        /// Value of the key.
        value: String,
        /// Description of the valid values.
        expected: &'static str,
    },
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct AdmissionFile {
    admission: Option<AdmissionSettings>,
}

/// The settings of admission control.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct AdmissionSettings {
    /// Whether new connections are checked at all. If not, all are accepted, as without the file.
    pub enabled: bool,
    /// Maximum number of open connections of one address, in addition to those in good standing; 0 means no
    /// cap.
    pub per_address: usize,
    /// Maximum number of open connections of one prefix, in addition to those in good standing; 0 means no
    /// cap.
    pub per_prefix: usize,
    /// Length of the prefix of an IPv4 address, in bits, 8 to 32.
    pub prefix_v4: u8,
    /// Length of the prefix of an IPv6 address, in bits, 16 to 128.
    pub prefix_v6: u8,
    /// Maximum rate of new connections of one address that is not known, per second; 0 means no limit.
    pub rate_per_s: f64,
    /// Number of connections that one address may open at once before the rate limits it; at least 1 if there
    /// is a rate.
    pub burst: f64,
    /// Maximum rate of new connections of one known address, per second; 0 means no limit. The caps do not
    /// count connections in good standing, so they do not limit a flood in which each connection sends a
    /// request. The address of such a flood is known, so this rate limits it.
    pub known_rate_per_s: f64,
    /// Burst of a known address, in connections.
    pub known_burst: f64,
    /// Maximum rate of new connections of one prefix, from known and other addresses, per second; 0 means no
    /// limit.
    pub prefix_rate_per_s: f64,
    /// Burst of a prefix, in connections.
    pub prefix_burst: f64,
    /// Time for which an address stays known after the last request on one of its connections was answered,
    /// in seconds.
    pub known_window_s: u64,
    /// Maximum number of known addresses. The one that was in good standing least recently is dropped first.
    pub known_capacity: usize,
    /// Maximum number of addresses, and likewise of prefixes, whose rates are tracked.
    pub tracked_capacity: usize,
    /// Share of the maximum number of client connections that only known addresses may take, 0 to 0.9.
    pub reserve_known: f64,
    /// Number of descriptors kept free for connections to table caches, parents and the origin.
    pub reserve_upstream: usize,
    /// Retry-After of rejected clients, in ms. If the wait for a token of their rate is longer, that is used
    /// instead.
    #[serde(rename = "pause_ms")]
    pub retry_after_ms: u64,
    /// Upper bound of the Retry-After, in ms.
    #[serde(rename = "most_pause_ms")]
    pub max_retry_after_ms: u64,
    /// Maximum number of rejected connections that are kept open to be answered. Further ones are closed
    /// before a byte is read.
    #[serde(rename = "most_refusing")]
    pub max_pending_rejections: usize,
    /// First backoff of accepts when the process has no descriptor left, in ms. It doubles with each failed
    /// accept.
    pub backoff_ms: u64,
    /// Upper bound of that backoff, in ms.
    #[serde(rename = "most_backoff_ms")]
    pub max_backoff_ms: u64,
    /// Whether a spare descriptor is held, with which a connection is accepted and rejected when no other is
    /// left.
    pub spare_descriptor: bool,
}

impl Default for AdmissionSettings {
    fn default() -> Self {
        AdmissionSettings {
            enabled: true,
            per_address: 64,
            per_prefix: 512,
            prefix_v4: 24,
            prefix_v6: 64,
            rate_per_s: 50.0,
            burst: 100.0,
            known_rate_per_s: 0.0,
            known_burst: 0.0,
            prefix_rate_per_s: 0.0,
            prefix_burst: 0.0,
            known_window_s: 600,
            known_capacity: 4096,
            tracked_capacity: 16_384,
            reserve_known: 0.1,
            reserve_upstream: 16,
            retry_after_ms: 1000,
            max_retry_after_ms: 10_000,
            max_pending_rejections: 64,
            backoff_ms: 10,
            max_backoff_ms: 1000,
            spare_descriptor: true,
        }
    }
}

impl AdmissionSettings {
    /// Returns settings that accept every connection, as without a file.
    pub fn disabled() -> Self {
        AdmissionSettings { enabled: false, ..AdmissionSettings::default() }
    }

    /// Parses the text of an admission file and checks the values.
    ///
    /// # Errors
    ///
    /// The text is not HCL, has no `admission` block or an unknown key, or has a value of the wrong type or
    /// out of its range.
    pub fn parse(text: &str) -> Result<Self, AdmissionError> {
        let file: AdmissionFile = hcl::from_str(text)?;
        let settings = file.admission.ok_or(AdmissionError::MissingBlock)?;
        settings.check()?;
        Ok(settings)
    }

    /// Checks that all values are in their ranges.
    ///
    /// # Errors
    ///
    /// A value is out of its range. The error names the first such key.
    pub fn check(&self) -> Result<(), AdmissionError> {
        ensure(PREFIX_V4_RANGE.contains(&self.prefix_v4), "prefix_v4", &self.prefix_v4, "8 to 32")?;
        ensure(PREFIX_V6_RANGE.contains(&self.prefix_v6), "prefix_v6", &self.prefix_v6, "16 to 128")?;
        check_rate("burst", self.address_rate())?;
        check_rate("known_burst", self.known_rate())?;
        check_rate("prefix_burst", self.prefix_rate())?;
        ensure(
            RESERVE_KNOWN_RANGE.contains(&self.reserve_known),
            "reserve_known",
            &self.reserve_known,
            "0 to 0.9",
        )?;
        let has_tables = self.known_capacity > 0 && self.tracked_capacity > 0;
        ensure(
            has_tables,
            "known_capacity",
            &self.known_capacity,
            "at least 1, and so must tracked_capacity",
        )?;
        ensure(
            self.retry_after_ms <= self.max_retry_after_ms,
            "pause_ms",
            &self.retry_after_ms,
            "at most most_pause_ms",
        )?;
        let is_backoff_valid = self.backoff_ms > 0 && self.backoff_ms <= self.max_backoff_ms;
        ensure(is_backoff_valid, "backoff_ms", &self.backoff_ms, "1 to most_backoff_ms")
    }

    /// Returns the rate limit of an address that is not known.
    pub fn address_rate(&self) -> Rate {
        Rate { per_s: self.rate_per_s, burst: self.burst }
    }

    /// Returns the rate limit of a known address.
    pub fn known_rate(&self) -> Rate {
        Rate { per_s: self.known_rate_per_s, burst: self.known_burst }
    }

    /// Returns the rate limit of a prefix.
    pub fn prefix_rate(&self) -> Rate {
        Rate { per_s: self.prefix_rate_per_s, burst: self.prefix_burst }
    }

    /// Returns the lengths of prefixes.
    pub(super) fn prefix_lengths(&self) -> PrefixLengths {
        PrefixLengths { v4: self.prefix_v4, v6: self.prefix_v6 }
    }

    /// Returns the time for which an address stays known.
    pub fn known_window(&self) -> Span {
        Span::from_secs(self.known_window_s as i64)
    }

    /// Returns the Retry-After of rejected clients, before a longer wait for a token is considered.
    pub fn retry_after(&self) -> Span {
        Span::from_millis(self.retry_after_ms as i64)
    }

    /// Returns the upper bound of the Retry-After.
    pub fn max_retry_after(&self) -> Span {
        Span::from_millis(self.max_retry_after_ms as i64)
    }

    /// Returns the first backoff of accepts when the process has no descriptor left.
    pub fn backoff(&self) -> Span {
        Span::from_millis(self.backoff_ms as i64)
    }

    /// Returns the upper bound of that backoff.
    pub fn max_backoff(&self) -> Span {
        Span::from_millis(self.max_backoff_ms as i64)
    }
}

fn check_rate(key: &'static str, rate: Rate) -> Result<(), AdmissionError> {
    let is_finite = rate.per_s.is_finite() && rate.per_s >= 0.0 && rate.burst.is_finite();
    let value = format!("{} at a rate of {} per second", rate.burst, rate.per_s);
    ensure(is_finite, key, &value, "finite, at a finite rate of 0 or more")?;
    ensure(!rate.is_limited() || rate.burst >= 1.0, key, &value, "at least 1 if the rate is above 0")
}

fn ensure(
    holds: bool,
    key: &'static str,
    value: &dyn std::fmt::Display,
    expected: &'static str,
) -> Result<(), AdmissionError> {
    if holds {
        return Ok(());
    }
    Err(AdmissionError::Range { key, value: value.to_string(), expected })
}

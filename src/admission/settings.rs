//! The operator's admission file, in HCL: one `admission` block. Every key may be left out and has a default; an
//! unknown key, a value out of its range or a second block is an error. A file with an error changes nothing: at the
//! start the program ends, at SIGHUP the old settings stay.
//!
//! ```hcl
//! admission {
//!   per_address      = 64     # open connections of one address, beyond those in good standing
//!   per_prefix       = 512    # the same for an IPv4 /24 or an IPv6 /64 (see prefix_v4, prefix_v6)
//!   rate_per_s       = 50     # new connections a second of one unknown address (token bucket)
//!   burst            = 100
//!   reserve_known    = 0.1    # share of clients' connections that only known addresses may take
//!   reserve_upstream = 16     # descriptors below which no client's connection is taken
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
    /// It is not HCL, or has an unknown key or a value of another type.
    #[error(transparent)]
    Parse(#[from] hcl::Error),
    /// It has no `admission` block.
    #[error("no admission block")]
    MissingBlock,
    /// A value is out of its range.
    #[error("admission.{key}: {expected}")]
    Range {
        /// The key.
        key: &'static str,
        /// What it must be.
        expected: &'static str,
    },
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct AdmissionFile {
    admission: Option<AdmissionSettings>,
}

/// The settings of admission control. Counts are connections.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct AdmissionSettings {
    /// Whether connections are checked at all; else all are accepted, as without the file.
    pub enabled: bool,
    /// Open connections of one address, beyond those in good standing; 0: no cap.
    pub per_address: usize,
    /// Open connections of one prefix, beyond those in good standing; 0: no cap.
    pub per_prefix: usize,
    /// Bits of an IPv4 address that make its prefix, 8 to 32.
    pub prefix_v4: u8,
    /// Bits of an IPv6 address that make its prefix, 16 to 128.
    pub prefix_v6: u8,
    /// New connections a second of one address that is not known; 0: no limit.
    pub rate_per_s: f64,
    /// Connections that one address may open at once before its rate holds; at least 1 where there is a rate.
    pub burst: f64,
    /// New connections a second of one known address; 0: no limit. A flood that asked once is known too, so this
    /// bounds it where the caps, which grow with good standing, do not.
    pub known_rate_per_s: f64,
    /// The burst of a known address.
    pub known_burst: f64,
    /// New connections a second of one prefix, known or not; 0: no limit.
    pub prefix_rate_per_s: f64,
    /// The burst of a prefix.
    pub prefix_burst: f64,
    /// How long an address stays known after a connection of it was last in good standing, in seconds.
    pub known_window_s: u64,
    /// Known addresses in the table; the one in good standing longest ago is dropped first.
    pub known_capacity: usize,
    /// Addresses, and prefixes, whose rates are followed.
    pub tracked_capacity: usize,
    /// The share of clients' connections, 0 to 0.9, that only known addresses may take.
    pub reserve_known: f64,
    /// Descriptors kept free for connections to table caches, parents and the origin.
    pub reserve_upstream: usize,
    /// The Retry-After of rejected clients, in milliseconds; the wait for a token if that is longer.
    #[serde(rename = "pause_ms")]
    pub retry_after_ms: u64,
    /// The longest Retry-After, in milliseconds.
    #[serde(rename = "most_pause_ms")]
    pub max_retry_after_ms: u64,
    /// Rejected connections that are open to be answered; further ones are closed before a byte is read.
    #[serde(rename = "most_refusing")]
    pub max_pending_rejections: usize,
    /// The first backoff of accepts when the process has no descriptor left, in milliseconds; it doubles each time.
    pub backoff_ms: u64,
    /// The longest such backoff, in milliseconds.
    #[serde(rename = "most_backoff_ms")]
    pub max_backoff_ms: u64,
    /// Whether a descriptor is held spare, to accept and reject one connection when there are no others.
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
    /// Settings that accept every connection, as without a file.
    pub fn disabled() -> Self {
        AdmissionSettings { enabled: false, ..AdmissionSettings::default() }
    }

    /// Reads the file's text.
    ///
    /// # Errors
    ///
    /// The text is not HCL or not of the form, or a value is out of its range.
    pub fn parse(text: &str) -> Result<Self, AdmissionError> {
        let file: AdmissionFile = hcl::from_str(text)?;
        let settings = file.admission.ok_or(AdmissionError::MissingBlock)?;
        settings.check()?;
        Ok(settings)
    }

    /// Checks the ranges.
    ///
    /// # Errors
    ///
    /// The first key out of its range.
    pub fn check(&self) -> Result<(), AdmissionError> {
        ensure(PREFIX_V4_RANGE.contains(&self.prefix_v4), "prefix_v4", "8 to 32")?;
        ensure(PREFIX_V6_RANGE.contains(&self.prefix_v6), "prefix_v6", "16 to 128")?;
        check_rate("burst", self.address_rate())?;
        check_rate("known_burst", self.known_rate())?;
        check_rate("prefix_burst", self.prefix_rate())?;
        ensure(RESERVE_KNOWN_RANGE.contains(&self.reserve_known), "reserve_known", "0 to 0.9")?;
        let has_tables = self.known_capacity > 0 && self.tracked_capacity > 0;
        ensure(has_tables, "known_capacity", "at least 1, and so tracked_capacity")?;
        ensure(self.retry_after_ms <= self.max_retry_after_ms, "pause_ms", "at most most_pause_ms")?;
        let is_backoff_valid = self.backoff_ms > 0 && self.backoff_ms <= self.max_backoff_ms;
        ensure(is_backoff_valid, "backoff_ms", "1 to most_backoff_ms")
    }

    /// The rate of one address.
    pub fn address_rate(&self) -> Rate {
        Rate { per_s: self.rate_per_s, burst: self.burst }
    }

    /// The rate of one known address.
    pub fn known_rate(&self) -> Rate {
        Rate { per_s: self.known_rate_per_s, burst: self.known_burst }
    }

    /// The rate of one prefix.
    pub fn prefix_rate(&self) -> Rate {
        Rate { per_s: self.prefix_rate_per_s, burst: self.prefix_burst }
    }

    /// How many bits of an address make its prefix.
    pub(super) fn prefix_lengths(&self) -> PrefixLengths {
        PrefixLengths { v4: self.prefix_v4, v6: self.prefix_v6 }
    }

    /// How long an address stays known.
    pub fn known_window(&self) -> Span {
        Span::from_secs(self.known_window_s as i64)
    }

    /// The Retry-After of rejected clients.
    pub fn retry_after(&self) -> Span {
        Span::from_millis(self.retry_after_ms as i64)
    }

    /// The longest Retry-After.
    pub fn max_retry_after(&self) -> Span {
        Span::from_millis(self.max_retry_after_ms as i64)
    }

    /// The first backoff of accepts when the process has no descriptor left.
    pub fn backoff(&self) -> Span {
        Span::from_millis(self.backoff_ms as i64)
    }

    /// The longest such backoff.
    pub fn max_backoff(&self) -> Span {
        Span::from_millis(self.max_backoff_ms as i64)
    }
}

fn check_rate(key: &'static str, rate: Rate) -> Result<(), AdmissionError> {
    let is_finite = rate.per_s.is_finite() && rate.per_s >= 0.0 && rate.burst.is_finite();
    ensure(is_finite, key, "a finite rate of 0 or more")?;
    ensure(!rate.is_limited() || rate.burst >= 1.0, key, "at least 1 where its rate is on")
}

fn ensure(holds: bool, key: &'static str, expected: &'static str) -> Result<(), AdmissionError> {
    if holds {
        return Ok(());
    }
    Err(AdmissionError::Range { key, expected })
}

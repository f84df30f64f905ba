//! The operator's admission file, in HCL (`hcl-rs`): one `admission` block. Every key may be left out and takes the
//! default below; an unknown key, a value out of its range or a second block is an error, and a file with an error
//! changes nothing (at the start the program ends, at SIGHUP the old settings stay).
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

use super::bucket::Rate;
use crate::interface::Span;
use serde::Deserialize;

/// Why an admission file cannot be used.
#[derive(Debug, thiserror::Error, PartialEq, Eq)]
pub enum AdmissionError {
    /// Not HCL, or not of the form.
    #[error("{0}")]
    Form(String),
    /// A value out of its range.
    #[error("admission.{key}: {why}")]
    Range {
        /// The key.
        key: &'static str,
        /// What it must be.
        why: &'static str,
    },
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct File {
    admission: Option<AdmissionSettings>,
}

/// What admission goes by. Counts are connections, times milliseconds or seconds as their names say.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct AdmissionSettings {
    /// Whether connections are judged at all; without it all are taken, as without the file.
    pub enabled: bool,
    /// Open connections of one address, beyond those of it in good standing; 0: no cap.
    pub per_address: usize,
    /// Open connections of one prefix, beyond those of it in good standing; 0: no cap.
    pub per_prefix: usize,
    /// Bits of an IPv4 address that make its prefix, 8 to 32.
    pub prefix_v4: u8,
    /// Bits of an IPv6 address that make its prefix, 16 to 128.
    pub prefix_v6: u8,
    /// New connections a second of one address that is not known; 0: no limit.
    pub rate_per_s: f64,
    /// Connections one address may open at once before its rate holds; at least 1 where the rate is on.
    pub burst: f64,
    /// New connections a second of one known address; 0: no limit. A flood that asked once is known too, so this
    /// bounds it where the caps, which grow with good standing, do not.
    pub known_rate_per_s: f64,
    /// The known address's burst.
    pub known_burst: f64,
    /// New connections a second of one prefix, known or not; 0: no limit.
    pub prefix_rate_per_s: f64,
    /// The prefix's burst.
    pub prefix_burst: f64,
    /// An address counts as known this long after a connection of it was last in good standing, s.
    pub known_window_s: u64,
    /// Known addresses held at most; the one in good standing longest ago goes first.
    pub known_capacity: usize,
    /// Addresses whose rates are followed at most.
    pub tracked_capacity: usize,
    /// The share of clients' connections, 0 to 0.9, that only known addresses may take.
    pub reserve_known: f64,
    /// Descriptors kept free for connections to table caches, parents and the origin.
    pub reserve_upstream: usize,
    /// How long a refused client is told to stay away, ms; a rate's own wait if longer, up to `most_pause_ms`.
    pub pause_ms: u64,
    /// The longest pause told, ms.
    pub most_pause_ms: u64,
    /// Refused connections that are answered at once; beyond them a refused connection is closed before a byte is read.
    pub most_refusing: usize,
    /// The first pause of accepts when the process is out of descriptors, ms; each next one doubles.
    pub backoff_ms: u64,
    /// The longest such pause, ms.
    pub most_backoff_ms: u64,
    /// Whether a descriptor is held spare, to take and refuse one connection when there are no more.
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
            pause_ms: 1000,
            most_pause_ms: 10_000,
            most_refusing: 64,
            backoff_ms: 10,
            most_backoff_ms: 1000,
            spare_descriptor: true,
        }
    }
}

impl AdmissionSettings {
    /// Settings under which every connection is taken: what holds without a file.
    pub fn off() -> Self {
        AdmissionSettings { enabled: false, ..AdmissionSettings::default() }
    }

    /// Reads the file's text.
    ///
    /// # Errors
    ///
    /// Text that is not HCL or not of the form (with its line and column where the parser gives them), or a value
    /// out of its range.
    pub fn parse(text: &str) -> Result<Self, AdmissionError> {
        let file: File = hcl::from_str(text).map_err(|error| AdmissionError::Form(error.to_string()))?;
        let settings = file.admission.ok_or_else(|| AdmissionError::Form("no admission block".into()))?;
        settings.check()?;
        Ok(settings)
    }

    /// Checks the ranges.
    ///
    /// # Errors
    ///
    /// The first key out of its range.
    pub fn check(&self) -> Result<(), AdmissionError> {
        let range = |key, why| Err(AdmissionError::Range { key, why });
        if !(8..=32).contains(&self.prefix_v4) {
            return range("prefix_v4", "8 to 32");
        }
        if !(16..=128).contains(&self.prefix_v6) {
            return range("prefix_v6", "16 to 128");
        }
        for (key, per_s, burst) in [
            ("burst", self.rate_per_s, self.burst),
            ("known_burst", self.known_rate_per_s, self.known_burst),
            ("prefix_burst", self.prefix_rate_per_s, self.prefix_burst),
        ] {
            if !(per_s.is_finite() && per_s >= 0.0 && burst.is_finite()) {
                return range(key, "a finite rate of 0 or more");
            }
            if per_s > 0.0 && burst < 1.0 {
                return range(key, "at least 1 where its rate is on");
            }
        }
        if !(0.0..=0.9).contains(&self.reserve_known) {
            return range("reserve_known", "0 to 0.9");
        }
        if self.known_capacity == 0 || self.tracked_capacity == 0 {
            return range("known_capacity", "at least 1, and so tracked_capacity");
        }
        if self.pause_ms > self.most_pause_ms {
            return range("pause_ms", "at most most_pause_ms");
        }
        if self.backoff_ms == 0 || self.backoff_ms > self.most_backoff_ms {
            return range("backoff_ms", "1 to most_backoff_ms");
        }
        Ok(())
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

    /// The known window.
    pub fn known_window(&self) -> Span {
        Span::from_secs(self.known_window_s as i64)
    }

    /// How long a refused client is told to stay away.
    pub fn pause(&self) -> Span {
        Span::from_millis(self.pause_ms as i64)
    }
}

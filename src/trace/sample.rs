//! Samples a trace that is longer than the test without changing its rate. The trace is cut into as many strata as
//! there are slices. From each stratum one slice is taken, at a position drawn from the seed; the slices have equal
//! lengths and fill the test. Within a slice every row is kept with its distance in time from the others, so that the
//! rate, the bursts and the repeated requests for an object stay. Thinning or speeding up the trace would change them.

use crate::interface::{Instant, Span};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;

/// The shortest span: no slice is shorter, and no rate is computed over less.
const MIN_SPAN: Span = Span::from_micros(1);
/// The key in [`Rates::compare`]'s result for all classes together.
pub const ALL: &str = "all";

/// The slices of a trace that a test uses, and when they are replayed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Slices {
    /// Start of each slice in the trace. Each is `length` long and is replayed directly after the one before.
    starts: Vec<Instant>,
    length: Span,
}

impl Slices {
    /// Returns the slices of a trace from `first` to `last` for a test of length `window`. A trace that fits is one
    /// slice.
    pub fn new(first: Instant, last: Instant, window: Span, slices: usize, seed: u64) -> Self {
        let span = (last - first + MIN_SPAN).max(MIN_SPAN);
        if span <= window {
            return Slices { starts: vec![first], length: span };
        }
        let slices = slices.clamp(1, window.max(MIN_SPAN).as_micros() as usize) as i64;
        let length = (window / slices).max(MIN_SPAN);
        let stratum = span / slices;
        let spare = (stratum - length).max(Span::ZERO).as_micros();
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let start = |slice| first + slice * stratum + Span::from_micros(random.random_range(0..=spare));
        Slices { starts: (0..slices).map(start).collect(), length }
    }

    /// Returns when a row of this time is replayed, from the start of the test; `None` if it is in no slice.
    pub fn replay_time(&self, at: Instant) -> Option<Span> {
        let slice = self.starts.partition_point(|start| *start <= at).checked_sub(1)?;
        let within = at - self.starts[slice];
        (within < self.length).then(|| slice as i64 * self.length + within)
    }

    /// Returns the total length of the slices.
    pub fn length(&self) -> Span {
        self.starts.len() as i64 * self.length
    }

    /// Returns the number of slices.
    pub fn count(&self) -> usize {
        self.starts.len()
    }
}

/// Counts of rows by class, of the whole trace and of its sample.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Rates {
    /// Number of usable rows in the trace, by class.
    pub trace_rows: BTreeMap<String, u64>,
    /// Length of the trace.
    pub trace_span: Span,
    /// Number of rows in the sample, by class.
    pub sampled_rows: BTreeMap<String, u64>,
    /// Length of the sample.
    pub sampled_span: Span,
}

/// The rates of a trace and of its sample.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RateComparison {
    /// Rows per second of the trace.
    pub trace: f64,
    /// Rows per second of the sample.
    pub sample: f64,
    /// Relative difference of the sample's rate; -1 if the sample is empty, 0 if the trace is.
    pub error: f64,
}

impl From<RateComparison> for (f64, f64, f64) {
    fn from(rates: RateComparison) -> Self {
        (rates.trace, rates.sample, rates.error)
    }
}

impl RateComparison {
    fn new(trace: f64, sample: f64) -> Self {
        let error = if trace > 0.0 { sample / trace - 1.0 } else { 0.0 };
        RateComparison { trace, sample, error }
    }
}

impl Rates {
    /// Returns the comparison of each class by its name, and that of all rows under [`ALL`].
    pub fn compare(&self) -> BTreeMap<String, RateComparison> {
        let mut comparisons = BTreeMap::new();
        for (class, count) in &self.trace_rows {
            let taken = self.sampled_rows.get(class).copied().unwrap_or(0);
            comparisons.insert(class.clone(), self.comparison(*count, taken));
        }
        let all = self.comparison(self.trace_rows.values().sum(), self.sampled_rows.values().sum());
        comparisons.insert(ALL.to_owned(), all);
        comparisons
    }

    fn comparison(&self, all: u64, taken: u64) -> RateComparison {
        RateComparison::new(rate(all, self.trace_span), rate(taken, self.sampled_span))
    }
}

/// Returns rows per second.
fn rate(count: u64, span: Span) -> f64 {
    let seconds = span.max(MIN_SPAN).as_secs_f64();
    count as f64 / seconds
}

#[cfg(test)]
mod tests;

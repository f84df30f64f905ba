//! Samples a trace that is longer than the test without changing its rate: the trace is cut into as many strata as
//! there are slices, and from each a slice of the test's own share is taken at a place drawn from the seed. Within a
//! slice every row is kept with its distances, so the rate, its bursts and what is asked for again and again stay; a
//! thinned or sped-up trace would keep none of them.

use crate::interface::{Instant, Span};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;

/// The shortest span.
const MIN_SPAN: Span = Span::from_micros(1);
/// The name under which all classes together are compared.
pub const ALL: &str = "all";

/// Which parts of a trace are taken, and when they are played.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Slices {
    /// Begin in the trace; each is `length` long and is played right behind the one before.
    starts: Vec<Instant>,
    length: Span,
}

impl Slices {
    /// Slices of a trace from `first` to `last` for a test of `window`; a trace that fits is taken whole.
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

    /// When a row of this time is played, from the start; `None`: it is not.
    pub fn replay_time(&self, at: Instant) -> Option<Span> {
        let slice = self.starts.partition_point(|start| *start <= at).checked_sub(1)?;
        let within = at - self.starts[slice];
        (within < self.length).then(|| slice as i64 * self.length + within)
    }

    /// How long all of them are played.
    pub fn length(&self) -> Span {
        self.starts.len() as i64 * self.length
    }

    /// How many there are.
    pub fn count(&self) -> usize {
        self.starts.len()
    }
}

/// Counts by class of the whole trace, and of what was taken of it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Rates {
    /// Rows of the trace by class.
    pub trace_rows: BTreeMap<String, u64>,
    /// Its length.
    pub trace_span: Span,
    /// Rows taken by class.
    pub sampled_rows: BTreeMap<String, u64>,
    /// What they are played in.
    pub sampled_span: Span,
}

/// The rate of a trace against that of its sample.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RateComparison {
    /// Rows a second of the trace.
    pub trace: f64,
    /// Rows a second of the sample.
    pub sample: f64,
    /// By what part the sample's rate differs; -1: nothing was taken.
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
    /// The comparison of each class, and of all rows as [`ALL`].
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

/// Rows a second, of a count in a span.
fn rate(count: u64, span: Span) -> f64 {
    let seconds = span.max(MIN_SPAN).as_secs_f64();
    count as f64 / seconds
}

#[cfg(test)]
mod tests;

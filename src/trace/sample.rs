//! Samples a trace that is longer than the test without bending its rate: the trace is cut into as many strata as
//! there are slices, and from each a slice of the test's own share is taken at a place drawn from the seed. Within a
//! slice every row is kept with its distances, so the rate, its bursts and what is asked for again and again stay; a
//! thinned or sped-up trace would keep none of them.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;

/// Which parts of a trace are taken, and when they are played.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Slices {
    /// Begin in the trace, us; each is `length` long and is played right behind the one before.
    starts: Vec<i64>,
    length: i64,
}

impl Slices {
    /// Slices of a trace from `first` to `last`, us, for a test of `window`; a trace that fits is taken whole.
    pub fn new(first: i64, last: i64, window: i64, slices: usize, seed: u64) -> Self {
        let span = (last - first + 1).max(1);
        if span <= window {
            return Slices { starts: vec![first], length: span };
        }
        let slices = slices.clamp(1, window.max(1) as usize) as i64;
        let (length, stratum) = ((window / slices).max(1), span / slices);
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let place = |n| first + n * stratum + random.random_range(0..=(stratum - length).max(0));
        Slices { starts: (0..slices).map(place).collect(), length }
    }

    /// When a row of this time is played, us from the start; `None`: it is not.
    pub fn played(&self, at: i64) -> Option<i64> {
        let n = self.starts.partition_point(|start| *start <= at).checked_sub(1)?;
        let within = at - self.starts[n];
        (within < self.length).then(|| n as i64 * self.length + within)
    }

    /// How long all of them are played, us.
    pub fn length(&self) -> i64 {
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
    pub all: BTreeMap<String, u64>,
    /// Its length, us.
    pub span: i64,
    /// Rows taken by class.
    pub taken: BTreeMap<String, u64>,
    /// What they are played in, us.
    pub played: i64,
}

impl Rates {
    /// By class, and in all as `all`: the rate of the trace, a second, that of the sample, and by what part the sample's
    /// differs. A class of which nothing was taken has -1.
    pub fn errors(&self) -> BTreeMap<String, (f64, f64, f64)> {
        let mut all = self.all.clone();
        let mut taken = self.taken.clone();
        all.insert("all".into(), self.all.values().sum());
        taken.insert("all".into(), self.taken.values().sum());
        let rate = |count: u64, span: i64| count as f64 / (span.max(1) as f64 / 1e6);
        let of = |(class, count): (String, u64)| {
            let told = rate(count, self.span);
            let sampled = rate(taken.get(&class).copied().unwrap_or(0), self.played);
            (class, (told, sampled, if told > 0.0 { sampled / told - 1.0 } else { 0.0 }))
        };
        all.into_iter().map(of).collect()
    }
}

#[cfg(test)]
mod tests;

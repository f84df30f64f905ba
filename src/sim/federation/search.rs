//! Many runs on all cores, and what they came to.

use super::{run, Outcome, Planted};
use crate::interface::Span;
use crate::sim::rules::Breach;
use rayon::prelude::*;
use std::collections::BTreeMap;
use std::ops::Range;
use std::panic::{catch_unwind, AssertUnwindSafe};

/// What many seeds came to: by rule the seeds that broke it with what happened, and the sums of [`Outcome::counts`].
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Summary {
    /// Seeds that were played.
    pub seeds: u64,
    /// Seeds that broke a rule, with the first breach of each.
    pub broken: BTreeMap<u64, Breach>,
    /// Commands, leaders, new files, acts.
    pub counts: [u64; 4],
}

/// Plays seeds on all cores; a panic is a broken rule, too.
pub fn search(seeds: Range<u64>, planted: Option<Planted>) -> Summary {
    let count = seeds.end.saturating_sub(seeds.start);
    let play = |seed| {
        let played = catch_unwind(AssertUnwindSafe(|| run(seed, planted)));
        played.unwrap_or_else(|panic| {
            let text = crate::caught::text(&*panic);
            Outcome {
                breaches: vec![Breach { rule: "panic", at: Span::ZERO, text }],
                trace: 0,
                counts: [0; 4],
            }
        })
    };
    let played: Vec<(u64, Outcome)> = seeds.into_par_iter().map(|seed| (seed, play(seed))).collect();
    let mut summary = Summary { seeds: count, ..Summary::default() };
    for (seed, outcome) in played {
        summary.counts.iter_mut().zip(outcome.counts).for_each(|(sum, one)| *sum += one);
        if let Some(breach) = outcome.breaches.into_iter().next() {
            summary.broken.insert(seed, breach);
        }
    }
    summary
}

impl std::fmt::Display for Summary {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let [commands, leaders, files, acts] = self.counts;
        writeln!(
            f,
            "{} federations: {commands} commands, {leaders} terms with a leader, {files} new files, {acts} acts",
            self.seeds
        )?;
        for (seed, Breach { rule, at, text }) in self.broken.iter().take(3) {
            writeln!(f, "seed {seed} breaks {rule} at {} ms: {text}", at.as_millis())?;
        }
        write!(f, "{} seeds break a rule", self.broken.len())
    }
}

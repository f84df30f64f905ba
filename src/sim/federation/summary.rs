//! Plays many seeds on all cores, and combines their results.

use super::{run, FederationCounts, FederationOutcome, PlantedBug};
use crate::interface::Span;
use crate::panics;
use crate::sim::rules::Breach;
use rayon::prelude::*;
use std::collections::BTreeMap;
use std::fmt;
use std::ops::Range;
use std::panic::{catch_unwind, AssertUnwindSafe};

/// Largest number of failing seeds that a summary lists.
const LISTED_SEEDS: usize = 3;

/// Combined result of many seeds; its `Display` form is printed by `dahliatrack sim --federation`.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FederationSummary {
    /// Number of seeds played.
    pub seeds: u64,
    /// First breach of each seed that broke a rule, by seed.
    pub broken: BTreeMap<u64, Breach>,
    /// Sums of the counts of all runs.
    pub counts: FederationCounts,
}

/// Plays one seed. A panic is reported as a breach of the rule "panic".
fn play(seed: u64, planted_bug: Option<PlantedBug>) -> FederationOutcome {
    let played = catch_unwind(AssertUnwindSafe(|| run(seed, planted_bug)));
    played.unwrap_or_else(|panic| {
        let breach = Breach { rule: "panic", at: Span::ZERO, text: panics::message(&*panic) };
        FederationOutcome { breaches: vec![breach], ..FederationOutcome::default() }
    })
}

/// Plays the seeds on all cores, optionally with a planted bug.
pub fn search(seeds: Range<u64>, planted_bug: Option<PlantedBug>) -> FederationSummary {
    let count = seeds.end.saturating_sub(seeds.start);
    let outcomes: Vec<(u64, FederationOutcome)> =
        seeds.into_par_iter().map(|seed| (seed, play(seed, planted_bug))).collect();
    let counts = outcomes.iter().map(|(_, outcome)| outcome.counts).sum();
    let first_breach = |(seed, outcome): (u64, FederationOutcome)| {
        outcome.breaches.into_iter().next().map(|breach| (seed, breach))
    };
    let broken = outcomes.into_iter().filter_map(first_breach).collect();
    FederationSummary { seeds: count, broken, counts }
}

impl fmt::Display for FederationSummary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let FederationCounts { commands, leaders, files, acts } = self.counts;
        writeln!(
            f,
            "{} federations: {commands} commands, {leaders} terms with a leader, {files} new files, {acts} acts",
            self.seeds
        )?;
        for (seed, Breach { rule, at, text }) in self.broken.iter().take(LISTED_SEEDS) {
            writeln!(f, "seed {seed} breaks {rule} at {} ms: {text}", at.as_millis())?;
        }
        write!(f, "{} seeds break a rule", self.broken.len())
    }
}

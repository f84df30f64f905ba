//! Plays many seeds on all cores, and says what they came to.

use super::{run, FederationCounts, FederationOutcome, PlantedBug};
use crate::interface::Span;
use crate::panics;
use crate::sim::rules::Breach;
use rayon::prelude::*;
use std::collections::BTreeMap;
use std::fmt;
use std::ops::Range;
use std::panic::{catch_unwind, AssertUnwindSafe};

/// The failing seeds that a summary lists.
const LISTED_SEEDS: usize = 3;

/// What many seeds came to.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FederationSummary {
    /// The number of seeds played.
    pub seeds: u64,
    /// The first breach of each seed that broke a rule.
    pub broken: BTreeMap<u64, Breach>,
    /// What happened in all runs.
    pub counts: FederationCounts,
}

/// Plays one seed; a panic counts as a broken rule.
fn play(seed: u64, planted: Option<PlantedBug>) -> FederationOutcome {
    let played = catch_unwind(AssertUnwindSafe(|| run(seed, planted)));
    played.unwrap_or_else(|panic| {
        let breach = Breach { rule: "panic", at: Span::ZERO, text: panics::message(&*panic) };
        FederationOutcome { breaches: vec![breach], ..FederationOutcome::default() }
    })
}

/// Plays seeds on all cores.
pub fn search(seeds: Range<u64>, planted: Option<PlantedBug>) -> FederationSummary {
    let count = seeds.end.saturating_sub(seeds.start);
    let outcomes: Vec<(u64, FederationOutcome)> =
        seeds.into_par_iter().map(|seed| (seed, play(seed, planted))).collect();
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

//! Plays many seeds in parallel, and shrinks the fault script of each failing seed to the faults that it
//! needs.

mod summary;

pub use summary::{Failure, Summary};

use super::rules::Breach;
use super::world::{run, AnswerCounts, PlantedBug, RunOutcome};
use crate::interface::Span;
use crate::panics;
use crate::standin::faults::{Fault, RunPlan};
use rayon::prelude::*;
use std::collections::BTreeMap;
use std::ops::Range;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::time::Instant;

/// Plays one seed with the given faults of its script. A panic is reported as a breach of the rule "panic".
pub fn run_seed(plan: &RunPlan, seed: u64, faults: &[Fault], planted_bug: Option<PlantedBug>) -> RunOutcome {
    let played = catch_unwind(AssertUnwindSafe(|| run(plan, seed, faults, planted_bug)));
    played.unwrap_or_else(|panic| {
        let breach = Breach { rule: "panic", at: Span::ZERO, text: panics::message(&*panic) };
        RunOutcome { breaches: vec![breach], ..RunOutcome::default() }
    })
}

/// Drops faults from a seed's script one by one while the rule is still broken. In the result, no single
/// remaining fault can be dropped.
pub fn shrink(plan: &RunPlan, seed: u64, rule: &str, planted_bug: Option<PlantedBug>) -> Failure {
    let script = plan.script(seed);
    let pick = |keep: &[usize]| -> Vec<Fault> { keep.iter().map(|n| script[*n].clone()).collect() };
    let run_kept = |keep: &[usize]| run_seed(plan, seed, &pick(keep), planted_bug);
    let is_broken = |keep: &Vec<usize>| run_kept(keep).breach_of(rule).is_some();
    let mut keep: Vec<usize> = (0..script.len()).collect();
    loop {
        let fewer = lists_without_one(&keep).find(is_broken);
        let Some(fewer) = fewer else { break };
        keep = fewer;
    }
    let outcome = run_kept(&keep);
    let describe = |breach: &Breach| format!("at {} ms: {}", breach.at.as_millis(), breach.text);
    Failure {
        seed,
        rule: rule.to_owned(),
        text: outcome.breach_of(rule).map(describe).unwrap_or_default(),
        faults: pick(&keep),
        keep,
        trace: outcome.trace,
    }
}

/// Returns copies of the list, each without one of its elements, in the order of the omitted element.
fn lists_without_one(list: &[usize]) -> impl Iterator<Item = Vec<usize>> + '_ {
    (0..list.len()).map(|n| {
        let mut fewer = list.to_vec();
        fewer.remove(n);
        fewer
    })
}

/// Combined results of several runs.
#[derive(Default)]
struct Totals {
    answers: AnswerCounts,
    steps: u64,
    ties: u64,
    /// First rule that each failing seed broke, by seed.
    failed: BTreeMap<u64, &'static str>,
}

impl Totals {
    fn of_run(seed: u64, outcome: &RunOutcome) -> Self {
        let first = outcome.breaches.first().map(|breach| (seed, breach.rule));
        Totals {
            answers: outcome.answers,
            steps: outcome.steps,
            ties: outcome.ties,
            failed: first.into_iter().collect(),
        }
    }

    fn add(mut self, other: Totals) -> Self {
        self.answers += other.answers;
        self.steps += other.steps;
        self.ties += other.ties;
        self.failed.extend(other.failed);
        self
    }
}

/// Plays the seeds on all cores, and shrinks the first `max_failures` failures.
pub fn search(
    plan: &RunPlan,
    seeds: Range<u64>,
    planted_bug: Option<PlantedBug>,
    max_failures: usize,
) -> Summary {
    let begun = Instant::now();
    let count = seeds.end.saturating_sub(seeds.start);
    let totals_of_seed = |seed| Totals::of_run(seed, &run_seed(plan, seed, &plan.script(seed), planted_bug));
    let totals = seeds.into_par_iter().map(totals_of_seed).reduce(Totals::default, Totals::add);
    let mut broken: BTreeMap<String, u64> = BTreeMap::new();
    for rule in totals.failed.values() {
        *broken.entry((*rule).to_owned()).or_default() += 1;
    }
    let shrunk = totals.failed.iter().take(max_failures);
    let failures = shrunk.map(|(seed, rule)| shrink(plan, *seed, rule, planted_bug)).collect();
    Summary {
        seeds: count,
        took: begun.elapsed(),
        answers: totals.answers,
        steps: totals.steps,
        ties: totals.ties,
        broken,
        failures,
    }
}

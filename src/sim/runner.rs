//! Plays many seeds in parallel, and shrinks the script of one that fails to the faults that it needs.

use super::faults::{Fault, Plan};
use super::world::{run, Outcome, Sabotage};
use crate::caught;
use crate::interface::Span;
use rayon::prelude::*;
use serde::Serialize;
use std::collections::BTreeMap;
use std::fmt;
use std::ops::Range;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::time::{Duration, Instant};

/// A seed that broke a rule.
#[derive(Clone, Debug, Serialize)]
pub struct Failure {
    /// The seed.
    pub seed: u64,
    /// The rule that the shrunk run breaks first.
    pub rule: String,
    /// What happened, and when, ms from the start.
    pub text: String,
    /// The numbers of the faults that it needs, in the seed's script.
    pub keep: Vec<usize>,
    /// Those faults.
    pub faults: Vec<Fault>,
    /// The trace number of the shrunk run.
    pub trace: u64,
}

/// What many seeds came to.
#[derive(Clone, Debug)]
pub struct Summary {
    /// Seeds that were played.
    pub seeds: u64,
    /// How long it took.
    pub took: Duration,
    /// Requests that were served, refused, failed, and that a fault excuses.
    pub answers: [u64; 4],
    /// Things that happened on the network.
    pub steps: u64,
    /// Moments at which something came and something fell due at once.
    pub ties: u64,
    /// By rule: how many seeds broke it first.
    pub broken: BTreeMap<String, u64>,
    /// The first failures by seed, shrunk.
    pub failures: Vec<Failure>,
}

/// Plays one seed with some of its faults; a panic counts as a broken rule.
pub fn play(plan: &Plan, seed: u64, faults: &[Fault], sabotage: Option<Sabotage>) -> Outcome {
    let played = catch_unwind(AssertUnwindSafe(|| run(plan, seed, faults, sabotage)));
    played.unwrap_or_else(|panic| {
        let breach = super::rules::Breach { rule: "panic", at: Span::ZERO, text: caught::text(&*panic) };
        Outcome { breaches: vec![breach], trace: 0, steps: 0, answers: [0; 4], ties: 0, processes: 0 }
    })
}

/// Leaves out faults as long as the same rule is still broken: no one of those left can be left out.
pub fn shrink(plan: &Plan, seed: u64, rule: &str, sabotage: Option<Sabotage>) -> Failure {
    let script = plan.script(seed);
    let mut keep: Vec<usize> = (0..script.len()).collect();
    let pick = |keep: &[usize]| keep.iter().map(|n| script[*n].clone()).collect::<Vec<_>>();
    let breaks = |keep: &[usize]| {
        let outcome = play(plan, seed, &pick(keep), sabotage);
        outcome.breaches.iter().any(|breach| breach.rule == rule)
    };
    loop {
        let fewer = (0..keep.len()).map(|n| {
            let mut fewer = keep.clone();
            fewer.remove(n);
            fewer
        });
        match fewer.into_iter().find(|fewer| breaks(fewer)) {
            Some(fewer) => keep = fewer,
            None => break,
        }
    }
    let outcome = play(plan, seed, &pick(&keep), sabotage);
    let breach = outcome.breaches.iter().find(|breach| breach.rule == rule);
    let text =
        breach.map_or_else(String::new, |breach| format!("at {} ms: {}", breach.at.as_millis(), breach.text));
    Failure { seed, rule: rule.to_owned(), text, faults: pick(&keep), keep, trace: outcome.trace }
}

/// Plays seeds on all cores; `most` failures are shrunk and told.
pub fn search(plan: &Plan, seeds: Range<u64>, sabotage: Option<Sabotage>, most: usize) -> Summary {
    let begun = Instant::now();
    let count = seeds.end.saturating_sub(seeds.start);
    let empty = || (BTreeMap::new(), [0; 4], [0; 2]);
    let (failed, answers, [steps, ties]) = seeds
        .into_par_iter()
        .fold(empty, |(mut failed, mut answers, [steps, ties]), seed| {
            let outcome = play(plan, seed, &plan.script(seed), sabotage);
            answers.iter_mut().zip(outcome.answers).for_each(|(all, one)| *all += one);
            if let Some(breach) = outcome.breaches.first() {
                failed.insert(seed, breach.rule);
            }
            (failed, answers, [steps + outcome.steps, ties + outcome.ties])
        })
        .reduce(empty, |(mut failed, mut answers, [steps, ties]), (more, others, [s, t])| {
            failed.extend(more);
            answers.iter_mut().zip(others).for_each(|(all, one): (&mut u64, u64)| *all += one);
            (failed, answers, [steps + s, ties + t])
        });
    let mut broken: BTreeMap<String, u64> = BTreeMap::new();
    failed.values().for_each(|rule| *broken.entry((*rule).to_owned()).or_default() += 1);
    let failures = failed.iter().take(most).map(|(seed, rule)| shrink(plan, *seed, rule, sabotage)).collect();
    Summary { seeds: count, took: begun.elapsed(), answers, steps, ties, broken, failures }
}

impl fmt::Display for Summary {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let seconds = self.took.as_secs_f64();
        let [served, refused, failed, excused] = self.answers;
        writeln!(
            f,
            "{} seeds in {seconds:.1} s, {:.0} a second",
            self.seeds,
            self.seeds as f64 / seconds.max(1e-9)
        )?;
        writeln!(
            f,
            "requests: {served} served, {refused} refused, {failed} failed, {excused} excused by a fault"
        )?;
        writeln!(
            f,
            "{} network steps; {} times something came as something fell due",
            self.steps, self.ties
        )?;
        for failure in &self.failures {
            writeln!(f, "seed {} breaks {} {}", failure.seed, failure.rule, failure.text)?;
            for (number, fault) in failure.keep.iter().zip(&failure.faults) {
                writeln!(f, "  fault {number} at {} ms: {:?}", fault.at_ms, fault.what)?;
            }
            let keep: Vec<String> = failure.keep.iter().map(usize::to_string).collect();
            let keep = if keep.is_empty() { "none".to_owned() } else { keep.join(",") };
            writeln!(
                f,
                "  again: dahliatrack sim --seeds {}..{} --keep {keep}",
                failure.seed,
                failure.seed + 1
            )?;
            writeln!(f, "  its trace: {:016x}", failure.trace)?;
        }
        let rules: Vec<String> =
            self.broken.iter().map(|(rule, count)| format!("{rule} by {count}")).collect();
        let rules = if rules.is_empty() { String::new() } else { format!(": {}", rules.join(", ")) };
        write!(f, "{} seeds break a rule{rules}", self.broken.values().sum::<u64>())
    }
}

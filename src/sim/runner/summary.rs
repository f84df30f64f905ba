//! Combined result of many seeds, and its text output.

use crate::sim::world::AnswerCounts;
use crate::standin::faults::Fault;
use serde::Serialize;
use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

/// A seed that broke a rule, with its shrunk fault script.
#[derive(Clone, Debug, Serialize)]
pub struct Failure {
    /// Seed of the run, as given to `sim --seeds`.
    pub seed: u64,
    /// Name of the rule that the seed's full script broke first.
    pub rule: String,
    /// What happened and when, in ms from the start of the shrunk run.
    pub text: String,
    /// Positions, in the seed's script, of the faults that are needed to break the rule.
    pub keep: Vec<usize>,
    /// The faults at these positions.
    pub faults: Vec<Fault>,
    /// Trace hash of the shrunk run; see [`RunOutcome::trace`](crate::sim::world::RunOutcome::trace).
    pub trace: u64,
}

/// Combined result of many seeds; its `Display` form is printed by `dahliatrack sim`.
#[derive(Clone, Debug)]
pub struct Summary {
    /// Number of seeds played.
    pub seeds: u64,
    /// Time that all runs took, with shrinking, on the real clock.
    pub took: Duration,
    /// Outcomes of all requests of all runs.
    pub answers: AnswerCounts,
    /// Number of steps of the virtual network in all runs.
    pub steps: u64,
    /// Number of moments at which something arrived and a deadline expired at the same time.
    pub ties: u64,
    /// Number of seeds that broke each rule first, by rule.
    pub broken: BTreeMap<String, u64>,
    /// The first failures in the order of seeds, shrunk.
    pub failures: Vec<Failure>,
}

impl fmt::Display for Summary {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let seconds = self.took.as_secs_f64();
        let rate = self.seeds as f64 / seconds.max(1e-9);
        writeln!(f, "{} seeds in {seconds:.1} s, {rate:.0} a second", self.seeds)?;
        let AnswerCounts { served, rejected, failed, excused } = self.answers;
        writeln!(
            f,
            "requests: {served} served, {rejected} refused, {failed} failed, {excused} excused by a fault"
        )?;
        let (steps, ties) = (self.steps, self.ties);
        writeln!(f, "{steps} network steps; {ties} times something came as something fell due")?;
        for failure in &self.failures {
            writeln!(f, "{failure}")?;
        }
        let broken = self.broken.values().sum::<u64>();
        write!(f, "{broken} seeds break a rule")?;
        if !self.broken.is_empty() {
            let by_rule = self.broken.iter().map(|(rule, count)| format!("{rule} by {count}"));
            write!(f, ": {}", by_rule.collect::<Vec<_>>().join(", "))?;
        }
        Ok(())
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let seed = self.seed;
        writeln!(f, "seed {seed} breaks {} {}", self.rule, self.text)?;
        for (number, fault) in self.keep.iter().zip(&self.faults) {
            writeln!(f, "  fault {number} at {} ms: {:?}", fault.at_ms, fault.kind)?;
        }
        let keep: Vec<String> = self.keep.iter().map(usize::to_string).collect();
        let keep = if keep.is_empty() { "none".to_owned() } else { keep.join(",") };
        writeln!(f, "  again: dahliatrack sim --seeds {seed}..{} --keep {keep}", seed + 1)?;
        write!(f, "  its trace: {:016x}", self.trace)
    }
}

//! What many seeds came to, and how it is printed.

use crate::sim::world::AnswerCounts;
use crate::standin::faults::Fault;
use serde::Serialize;
use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

/// A seed that broke a rule.
#[derive(Clone, Debug, Serialize)]
pub struct Failure {
    /// The seed.
    pub seed: u64,
    /// The rule that the run broke first.
    pub rule: String,
    /// What happened, and when, ms from the start of the shrunk run.
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
    /// The number of seeds played.
    pub seeds: u64,
    /// How long it took.
    pub took: Duration,
    /// What became of all requests.
    pub answers: AnswerCounts,
    /// Steps of the network.
    pub steps: u64,
    /// Moments at which something arrived and a deadline fell due at once.
    pub ties: u64,
    /// By rule: how many seeds broke it first.
    pub broken: BTreeMap<String, u64>,
    /// The first failures by seed, shrunk.
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

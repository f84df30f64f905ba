//! Result of a run.

use crate::sim::rules::Breach;
use serde::Serialize;
use std::ops::AddAssign;

/// Result of a run, as printed by `dahliatrack sim --keep`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct RunOutcome {
    /// First breach of each broken rule, in the order of time; empty if the run kept all rules.
    pub breaches: Vec<Breach>,
    /// Hash of everything that happened in the run; equal runs have equal hashes.
    pub trace: u64,
    /// Number of steps of the virtual network.
    pub steps: u64,
    /// Outcomes of the requests, by kind.
    pub answers: AnswerCounts,
    /// Number of moments at which something arrived and a deadline expired at the same time.
    pub ties: u64,
    /// Number of processes of the edge proxy that were started.
    pub processes: u32,
}

impl RunOutcome {
    /// Returns the first breach of a rule; `None` if the run kept it.
    pub fn breach_of(&self, rule: &str) -> Option<&Breach> {
        self.breaches.iter().find(|breach| breach.rule == rule)
    }
}

/// Number of requests by outcome; serialized as a list of the counts in this order.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
#[serde(into = "[u64; 4]")]
pub struct AnswerCounts {
    /// Requests that were served.
    pub served: u64,
    /// Requests that the edge proxy rejected.
    pub rejected: u64,
    /// Requests whose final answer was a failure.
    pub failed: u64,
    /// Requests that need no answer: cancelled, not accepted by any process, or ended by a fault. A request
    /// that is sent again counts here too.
    pub excused: u64,
}

impl AnswerCounts {
    /// Returns the sum of all counts.
    pub fn total(&self) -> u64 {
        <[u64; 4]>::from(*self).iter().sum()
    }
}

impl From<AnswerCounts> for [u64; 4] {
    fn from(counts: AnswerCounts) -> Self {
        [counts.served, counts.rejected, counts.failed, counts.excused]
    }
}

impl AddAssign for AnswerCounts {
    fn add_assign(&mut self, other: AnswerCounts) {
        self.served += other.served;
        self.rejected += other.rejected;
        self.failed += other.failed;
        self.excused += other.excused;
    }
}

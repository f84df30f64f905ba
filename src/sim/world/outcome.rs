//! How a run came out.

use crate::sim::rules::Breach;
use serde::Serialize;
use std::ops::AddAssign;

/// How a run came out.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct RunOutcome {
    /// The broken rules, in the order of time.
    pub breaches: Vec<Breach>,
    /// A hash of all that happened: equal runs have equal ones.
    pub trace: u64,
    /// Steps of the network.
    pub steps: u64,
    /// What became of the requests.
    pub answers: AnswerCounts,
    /// Moments at which something arrived and a deadline fell due at once.
    pub ties: u64,
    /// The number of processes started.
    pub processes: u32,
}

impl RunOutcome {
    /// The breach of a rule, if it was broken.
    pub fn breach_of(&self, rule: &str) -> Option<&Breach> {
        self.breaches.iter().find(|breach| breach.rule == rule)
    }
}

/// What became of requests; serialized as a list of these counts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
#[serde(into = "[u64; 4]")]
pub struct AnswerCounts {
    /// Served.
    pub served: u64,
    /// Rejected.
    pub rejected: u64,
    /// Failed.
    pub failed: u64,
    /// Without an answer that was owed: cancelled, not accepted by any process, or ended by a fault.
    pub excused: u64,
}

impl AnswerCounts {
    /// All requests.
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

//! The verdicts of a report, one for each expectation.

use crate::config::hcl_document::Position;
use serde::{Serialize, Serializer};

/// The result of one expectation.
#[derive(Clone, Debug, Serialize)]
pub struct Verdict {
    /// The label of the expectation's block.
    pub name: String,
    /// The line at which its block begins, from 1.
    pub line: usize,
    /// Whether all of its rules held.
    pub passed: bool,
    /// What was explored for it.
    #[serde(rename = "asked")]
    pub coverage: Coverage,
    /// Number of the module's decisions that were checked, over all explorations.
    pub decisions: usize,
    /// How far the verdict covers the module's random choices.
    pub choices: Choices,
    /// The first counter-example to each rule that was broken.
    pub broken: Vec<BrokenRule>,
}

/// What was explored for a verdict; serialized as an array of the four counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(into = "[usize; 4]")]
pub struct Coverage {
    /// Number of the expectation's scenarios.
    pub scenarios: usize,
    /// Number of points, in each scenario.
    pub points: usize,
    /// Number of classes, at each point.
    pub classes: usize,
    /// Number of seeds for each combination of scenario, point and class.
    pub seeds: usize,
}

impl From<Coverage> for [usize; 4] {
    fn from(coverage: Coverage) -> Self {
        [coverage.scenarios, coverage.points, coverage.classes, coverage.seeds]
    }
}

/// How far a verdict covers the module's random choices.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Choices {
    /// All seeds led to the same decisions.
    Fixed,
    /// Decisions differ between seeds, but the rules hold whichever ready cache of the point is chosen.
    Bounded {
        /// Number of caches to choose from, at the point where it is largest.
        eligible: usize,
    },
    /// Decisions differ between seeds, and only the choices made with these seeds were checked.
    Explored {
        /// The first and the last seed.
        seeds: [u64; 2],
        /// Number of caches that were chosen, at the point where their share is smallest.
        seen: usize,
        /// Number of caches to choose from at that point.
        eligible: usize,
    },
}

impl Choices {
    /// Returns the one of two values that covers fewer of the random choices.
    pub(super) fn weaker(self, other: Choices) -> Choices {
        if other.is_weaker_than(&self) {
            other
        } else {
            self
        }
    }

    fn is_weaker_than(&self, other: &Choices) -> bool {
        match (other, self) {
            (Choices::Fixed, _) => true,
            (_, Choices::Fixed) => false,
            (Choices::Bounded { eligible: known }, Choices::Bounded { eligible }) => known < eligible,
            (Choices::Bounded { .. }, Choices::Explored { .. }) => true,
            (Choices::Explored { .. }, Choices::Bounded { .. }) => false,
            (
                Choices::Explored { seen: known_seen, eligible: known_eligible, .. },
                Choices::Explored { seen, eligible, .. },
            ) => seen * known_eligible < known_seen * eligible,
        }
    }
}

/// A counter-example to a rule.
#[derive(Clone, Debug, Serialize)]
pub struct BrokenRule {
    /// The rule's key in its `expect` block.
    pub rule: &'static str,
    /// The position of the rule in the file; serialized as an array of line and column.
    #[serde(serialize_with = "line_and_column")]
    pub at: Position,
    /// One sentence for the operator: class, object, point and scenario, and what was decided against the
    /// rule.
    pub reason: String,
    /// The name of the class.
    pub class: String,
    /// The name of the point.
    pub point: String,
    /// The label of the scenario; empty if nothing changes.
    pub scenario: String,
    /// The object in 16 hex digits; `None` if the rule is about the share of many objects.
    pub object: Option<String>,
    /// The name of the server that violates the rule, if the violation is about one server.
    pub server: Option<String>,
    /// The seed with which the counter-example can be repeated.
    pub seed: u64,
}

fn line_and_column<S: Serializer>(place: &Position, serializer: S) -> Result<S::Ok, S::Error> {
    [place.line, place.column].serialize(serializer)
}

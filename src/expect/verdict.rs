//! The results of expectations: the verdicts of a report.

use crate::config::hcl_document::Position;
use serde::{Serialize, Serializer};

/// The result of one expectation.
#[derive(Clone, Debug, Serialize)]
pub struct Verdict {
    /// The expectation's name.
    pub name: String,
    /// The line where it begins.
    pub line: usize,
    /// Whether all of its rules held.
    pub passed: bool,
    /// The number of questions behind it.
    pub asked: Extent,
    /// Decisions that were checked.
    pub decisions: usize,
    /// What is known of the module's random choices.
    pub choices: Choices,
    /// For each rule that was broken, the first counter-example.
    pub broken: Vec<Broken>,
}

/// The number of questions behind a verdict; serialized as an array of the four counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(into = "[usize; 4]")]
pub struct Extent {
    /// Scenarios.
    pub scenarios: usize,
    /// Points.
    pub points: usize,
    /// Classes.
    pub classes: usize,
    /// Seeds of each.
    pub seeds: usize,
}

impl From<Extent> for [usize; 4] {
    fn from(extent: Extent) -> Self {
        [extent.scenarios, extent.points, extent.classes, extent.seeds]
    }
}

/// What is known of the random choices behind a verdict.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Choices {
    /// All seeds led to the same decisions.
    Fixed,
    /// They differ, and the rules hold for whichever ready cache of the point is chosen.
    Bounded {
        /// The number of caches to choose from, of the point with most of them.
        eligible: usize,
    },
    /// They differ, and only the choices of these seeds were checked.
    Explored {
        /// The first and the last seed.
        seeds: [u64; 2],
        /// Caches that were chosen, of the point with the smallest share of chosen ones.
        seen: usize,
        /// Caches to choose from at that point.
        eligible: usize,
    },
}

impl Choices {
    /// The one of two that says less of the random choices.
    pub(super) fn less_known(self, other: Choices) -> Choices {
        if other.is_less_known_than(&self) {
            other
        } else {
            self
        }
    }

    fn is_less_known_than(&self, other: &Choices) -> bool {
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

/// A rule that was broken, with a counter-example.
#[derive(Clone, Debug, Serialize)]
pub struct Broken {
    /// The rule's key in the file.
    pub rule: &'static str,
    /// Its place; serialized as an array of line and column.
    #[serde(serialize_with = "line_and_column")]
    pub at: Position,
    /// One sentence: which object, class, point and server broke it, and how.
    pub reason: String,
    /// The class.
    pub class: String,
    /// The point.
    pub point: String,
    /// The scenario; empty where nothing happens.
    pub scenario: String,
    /// The object, 16 hex digits; absent where the rule is about many.
    pub object: Option<String>,
    /// The server that is at fault, if one is.
    pub server: Option<String>,
    /// The seed that shows it.
    pub seed: u64,
}

fn line_and_column<S: Serializer>(place: &Position, serializer: S) -> Result<S::Ok, S::Error> {
    [place.line, place.column].serialize(serializer)
}

//! The questions that a suite of expectations needs answered.

use super::expectation::{Breadth, Expectation, Scenario};
use super::explore::at_point;
use super::site::Site;
use crate::interface::{ClassId, ObjectId, ZoneId};
use crate::splitmix64::next;
use std::collections::BTreeMap;

/// Seeds the sampled objects of classes; the class's number is added.
const SAMPLE_SEED: u64 = 0x5eed_0000;
/// A sample of popular objects is smaller by this factor, since each of them is requested many times.
const POPULAR_SAMPLE_DIVISOR: usize = 8;

/// What is explored once, for all expectations that need it.
pub(super) struct Question<'a> {
    pub(super) scenario: Scenario,
    pub(super) point: ZoneId,
    pub(super) class: ClassId,
    /// The first expectation that needs it.
    pub(super) wanted: &'a Expectation,
    pub(super) askers: Vec<Asker>,
}

/// An expectation that needs a question.
pub(super) struct Asker {
    /// Its place in the suite.
    pub(super) expectation: usize,
    /// The scenario in its own words.
    pub(super) label: String,
}

/// The questions of a suite; equal ones are one.
pub(super) fn questions<'a>(site: &Site, suite: &'a [Expectation]) -> Vec<Question<'a>> {
    let mut questions: BTreeMap<String, Question> = BTreeMap::new();
    for (expectation, wanted) in suite.iter().enumerate() {
        for point in &wanted.points {
            for scenario in &wanted.scenarios {
                let mut scenario = at_point(site, scenario, *point);
                let label = std::mem::take(&mut scenario.label);
                for class in &wanted.classes {
                    let question = Question::new(scenario.clone(), *point, *class, wanted);
                    let question = questions.entry(question.key()).or_insert(question);
                    question.add_asker(expectation, &label);
                }
            }
        }
    }
    questions.into_values().collect()
}

impl<'a> Question<'a> {
    fn new(scenario: Scenario, point: ZoneId, class: ClassId, wanted: &'a Expectation) -> Self {
        Question { scenario, point, class, wanted, askers: Vec::new() }
    }

    /// Equal keys mean equal explorations.
    fn key(&self) -> String {
        let Expectation { objects, popular, .. } = self.wanted;
        format!("{:?}", (&self.scenario, self.point, self.class, objects, popular))
    }

    /// Adds an expectation, once; they are added in the suite's order.
    fn add_asker(&mut self, expectation: usize, label: &str) {
        if self.askers.last().is_none_or(|last| last.expectation != expectation) {
            self.askers.push(Asker { expectation, label: label.to_owned() });
        }
    }

    /// The objects that are requested.
    pub(super) fn objects(&self, breadth: Breadth) -> Vec<ObjectId> {
        if !self.wanted.objects.is_empty() {
            return self.wanted.objects.clone();
        }
        let count = if self.wanted.popular {
            breadth.objects.div_ceil(POPULAR_SAMPLE_DIVISOR)
        } else {
            breadth.objects
        };
        sample(self.class, count)
    }
}

/// The sampled objects of a class, the same at each run.
fn sample(class: ClassId, count: usize) -> Vec<ObjectId> {
    // Spread over all 64 bits as the platform's ids are.
    let mut state = SAMPLE_SEED + u64::from(class.0);
    (0..count).map(|_| ObjectId(next(&mut state))).collect()
}

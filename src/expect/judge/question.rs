//! The questions of a suite: each exploration is made once, for all expectations that need it.

use super::answers::{Answered, Case};
use crate::expect::expectation::{Breadth, Expectation, Scenario};
use crate::expect::explore::at_point;
use crate::expect::site::Site;
use crate::interface::{ClassId, ObjectId, ZoneId};
use crate::spread::next;
use crate::SettingsError;
use std::collections::BTreeMap;

/// Where the sampled objects of classes begin; the class's number is added.
const SAMPLE_SEED: u64 = 0x5eed_0000;
/// Of popular objects one in so many of a sample is asked for: a few say as much as many, since each is asked for
/// again and again.
const POPULAR_SAMPLE_DIVISOR: usize = 8;

/// What is explored once, for all expectations that ask it.
pub(super) struct Question<'a> {
    pub(super) scenario: Scenario,
    pub(super) point: ZoneId,
    pub(super) class: ClassId,
    pub(super) wanted: &'a Expectation,
    askers: Vec<Asker>,
}

/// An expectation that asks a question.
struct Asker {
    /// Its index in the suite.
    expectation: usize,
    /// How it words the scenario.
    label: String,
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

    /// Adds an expectation, once; they come in the suite's order.
    fn add_asker(&mut self, expectation: usize, label: &str) {
        if self.askers.last().is_none_or(|last| last.expectation != expectation) {
            self.askers.push(Asker { expectation, label: label.to_owned() });
        }
    }

    /// What each expectation that asks makes of the answer, with its place in the suite.
    pub(super) fn cases(
        &self,
        site: &Site,
        breadth: Breadth,
        suite: &[Expectation],
    ) -> Result<Vec<(usize, Case)>, SettingsError> {
        let answered = Answered::ask(site, breadth, self)?;
        let case = |asker: &Asker| {
            let wanted = &suite[asker.expectation];
            (asker.expectation, answered.case(wanted, &asker.label))
        };
        Ok(self.askers.iter().map(case).collect())
    }

    /// The objects that are asked for.
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

/// The objects of a class that are sampled: the same ones at each run.
fn sample(class: ClassId, count: usize) -> Vec<ObjectId> {
    // Spread over all 64 bits as the platform's ids are.
    let mut state = SAMPLE_SEED + u64::from(class.0);
    (0..count).map(|_| ObjectId(next(&mut state))).collect()
}

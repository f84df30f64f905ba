//! The questions that a suite of expectations needs answered.

use super::expectation::{Expectation, ExploreSettings, Scenario};
use super::explore::scenario_at_point;
use super::site::Site;
use crate::interface::{ClassId, ObjectId, ZoneId};
use crate::splitmix64::next;
use std::collections::BTreeMap;

/// Seeds the sampled objects of classes; the class's number is added.
const SAMPLE_SEED: u64 = 0x5eed_0000;
/// A sample of popular objects is smaller by this factor, since each of them is requested many times.
const POPULAR_SAMPLE_DIVISOR: usize = 8;

/// What is explored once, for all expectations that need it.
pub(super) struct TestCase<'a> {
    pub(super) scenario: Scenario,
    pub(super) point: ZoneId,
    pub(super) class: ClassId,
    /// The first expectation that needs it.
    pub(super) expectation: &'a Expectation,
    pub(super) dependents: Vec<Dependent>,
}

/// An expectation that needs a question.
pub(super) struct Dependent {
    /// Its place in the suite.
    pub(super) expectation_index: usize,
    /// The scenario in its own words.
    pub(super) label: String,
}

/// The questions of a suite; equal ones are one.
pub(super) fn test_cases<'a>(site: &Site, suite: &'a [Expectation]) -> Vec<TestCase<'a>> {
    let mut test_cases: BTreeMap<String, TestCase> = BTreeMap::new();
    for (index, expectation) in suite.iter().enumerate() {
        for point in &expectation.points {
            for scenario in &expectation.scenarios {
                let mut scenario = scenario_at_point(site, scenario, *point);
                let label = std::mem::take(&mut scenario.label);
                for class in &expectation.classes {
                    let test_case = TestCase::new(scenario.clone(), *point, *class, expectation);
                    let test_case = test_cases.entry(test_case.key()).or_insert(test_case);
                    test_case.add_dependent(index, &label);
                }
            }
        }
    }
    test_cases.into_values().collect()
}

impl<'a> TestCase<'a> {
    fn new(scenario: Scenario, point: ZoneId, class: ClassId, expectation: &'a Expectation) -> Self {
        TestCase { scenario, point, class, expectation, dependents: Vec::new() }
    }

    /// Equal keys mean equal explorations.
    fn key(&self) -> String {
        let Expectation { objects, popular, .. } = self.expectation;
        format!("{:?}", (&self.scenario, self.point, self.class, objects, popular))
    }

    /// Adds an expectation, once; they are added in the suite's order.
    fn add_dependent(&mut self, expectation_index: usize, label: &str) {
        if self.dependents.last().is_none_or(|last| last.expectation_index != expectation_index) {
            self.dependents.push(Dependent { expectation_index, label: label.to_owned() });
        }
    }

    /// The objects that are requested.
    pub(super) fn objects(&self, explore_settings: ExploreSettings) -> Vec<ObjectId> {
        if !self.expectation.objects.is_empty() {
            return self.expectation.objects.clone();
        }
        let count = if self.expectation.popular {
            explore_settings.objects.div_ceil(POPULAR_SAMPLE_DIVISOR)
        } else {
            explore_settings.objects
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

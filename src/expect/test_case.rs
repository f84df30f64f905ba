//! The test cases of a suite: each combination of scenario, point, class and objects that has to be explored.

use super::expectation::{Expectation, ExploreSettings, Scenario};
use super::explore::scenario_at_point;
use super::site::Site;
use crate::interface::{ClassId, ObjectId, ZoneId};
use crate::splitmix64::next;
use std::collections::BTreeMap;

/// Seed for the sampled objects; the class's number is added, so that classes get different objects.
const SAMPLE_SEED: u64 = 0x5eed_0000;
/// A sample of popular objects is smaller by this factor, since each of them is requested many times.
const POPULAR_SAMPLE_DIVISOR: usize = 8;

/// A combination of scenario, point, class and objects. It is explored once for all expectations that depend
/// on it.
pub(super) struct TestCase<'a> {
    pub(super) scenario: Scenario,
    pub(super) point: ZoneId,
    pub(super) class: ClassId,
    /// The first expectation that depends on it; the others request the same objects as often.
    pub(super) expectation: &'a Expectation,
    pub(super) dependents: Vec<Dependent>,
}

/// An expectation that depends on a test case.
pub(super) struct Dependent {
    /// The expectation's index in the suite.
    pub(super) expectation_index: usize,
    /// The scenario's label in this expectation.
    pub(super) label: String,
}

/// Returns the test cases of a suite, in the order of their keys. Test cases with the same key are merged.
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

    /// Returns the key by which test cases are merged. Equal keys mean equal explorations.
    fn key(&self) -> String {
        let Expectation { objects, popular, .. } = self.expectation;
        format!("{:?}", (&self.scenario, self.point, self.class, objects, popular))
    }

    /// Adds an expectation unless it is the last one added. Expectations come in the suite's order, so each
    /// is added once.
    fn add_dependent(&mut self, expectation_index: usize, label: &str) {
        if self.dependents.last().is_none_or(|last| last.expectation_index != expectation_index) {
            self.dependents.push(Dependent { expectation_index, label: label.to_owned() });
        }
    }

    /// Returns the objects to request: those that the expectation names, otherwise a sample.
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

/// Returns sampled objects of a class, which are the same in each run.
fn sample(class: ClassId, count: usize) -> Vec<ObjectId> {
    // The ids are spread over all 64 bits, as the platform's are.
    let mut state = SAMPLE_SEED + u64::from(class.0);
    (0..count).map(|_| ObjectId(next(&mut state))).collect()
}

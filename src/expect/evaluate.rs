//! Explores all test cases of a suite, and evaluates its expectations on the results.

use super::case_run::{CaseResult, CaseRun};
use super::expectation::{Expectation, ExploreSettings, Rule};
use super::site::Site;
use super::test_case::{test_cases, Dependent, TestCase};
use super::verdict::{BrokenRule, Choices, Coverage, Verdict};
use crate::config::hcl_document::Located;
use crate::SettingsError;
use rayon::prelude::*;

/// The result of one expectation in one test case.
struct IndexedResult {
    /// The expectation's index in the suite.
    expectation_index: usize,
    result: CaseResult,
}

/// Explores each test case once, and returns a verdict for each expectation, in the suite's order.
///
/// # Errors
///
/// Returns an error if no router can start with the settings.
pub fn evaluate(
    site: &Site,
    explore_settings: ExploreSettings,
    suite: &[Expectation],
) -> Result<Vec<Verdict>, SettingsError> {
    let test_cases = test_cases(site, suite);
    let evaluated =
        test_cases.par_iter().map(|test_case| evaluate_test_case(test_case, site, explore_settings, suite));
    let evaluated: Vec<Vec<IndexedResult>> = evaluated.collect::<Result<_, _>>()?;
    let mut results: Vec<Vec<CaseResult>> = suite.iter().map(|_| Vec::new()).collect();
    for IndexedResult { expectation_index, result } in evaluated.into_iter().flatten() {
        results[expectation_index].push(result);
    }
    Ok(suite
        .iter()
        .zip(results)
        .map(|(expectation, results)| verdict(explore_settings, expectation, &results))
        .collect())
}

/// Explores a test case, and evaluates each expectation that depends on it.
fn evaluate_test_case(
    test_case: &TestCase,
    site: &Site,
    explore_settings: ExploreSettings,
    suite: &[Expectation],
) -> Result<Vec<IndexedResult>, SettingsError> {
    let run = CaseRun::explore(site, explore_settings, test_case)?;
    let result = |dependent: &Dependent| {
        let expectation = &suite[dependent.expectation_index];
        IndexedResult {
            expectation_index: dependent.expectation_index,
            result: run.evaluate(expectation, &dependent.label),
        }
    };
    Ok(test_case.dependents.iter().map(result).collect())
}

fn verdict(explore_settings: ExploreSettings, expectation: &Expectation, results: &[CaseResult]) -> Verdict {
    let first = |rule: &Located<Rule>| results.iter().find_map(|result| result.broken.get(&rule.at)).cloned();
    let broken: Vec<BrokenRule> = expectation.rules.iter().filter_map(first).collect();
    let choices = results.iter().map(|result| result.choices.clone());
    Verdict {
        name: expectation.name.clone(),
        line: expectation.at.line,
        passed: broken.is_empty(),
        coverage: Coverage {
            scenarios: expectation.scenarios.len(),
            points: expectation.points.len(),
            classes: expectation.classes.len(),
            seeds: explore_settings.seeds as usize,
        },
        decisions: results.iter().map(|result| result.decisions).sum(),
        choices: choices.fold(Choices::Fixed, Choices::weaker),
        broken,
    }
}

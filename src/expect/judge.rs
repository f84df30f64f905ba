//! Asks the decision module all that the expectations need, and judges its decisions.

use super::answered::{Answered, Case};
use super::expectation::{Breadth, Expectation, Rule};
use super::question::{questions, Asker, Question};
use super::site::Site;
use super::verdict::{Broken, Choices, Extent, Verdict};
use crate::config::hcl_document::Located;
use crate::SettingsError;
use rayon::prelude::*;

/// What one question showed of an expectation.
struct AnsweredCase {
    /// The expectation's place in the suite.
    expectation: usize,
    case: Case,
}

/// Asks each question once, and judges the answers by all expectations.
///
/// # Errors
///
/// Settings with which no router can start.
pub fn judge(site: &Site, breadth: Breadth, suite: &[Expectation]) -> Result<Vec<Verdict>, SettingsError> {
    let questions = questions(site, suite);
    let answered = questions.par_iter().map(|question| answered_cases(question, site, breadth, suite));
    let answered: Vec<Vec<AnsweredCase>> = answered.collect::<Result<_, _>>()?;
    let mut cases: Vec<Vec<Case>> = suite.iter().map(|_| Vec::new()).collect();
    for AnsweredCase { expectation, case } in answered.into_iter().flatten() {
        cases[expectation].push(case);
    }
    Ok(suite.iter().zip(cases).map(|(wanted, cases)| verdict(breadth, wanted, &cases)).collect())
}

/// Asks a question, and judges the answer by each expectation that needs it.
fn answered_cases(
    question: &Question,
    site: &Site,
    breadth: Breadth,
    suite: &[Expectation],
) -> Result<Vec<AnsweredCase>, SettingsError> {
    let answered = Answered::ask(site, breadth, question)?;
    let case = |asker: &Asker| {
        let wanted = &suite[asker.expectation];
        AnsweredCase { expectation: asker.expectation, case: answered.case(wanted, &asker.label) }
    };
    Ok(question.askers.iter().map(case).collect())
}

fn verdict(breadth: Breadth, wanted: &Expectation, cases: &[Case]) -> Verdict {
    let first = |rule: &Located<Rule>| cases.iter().find_map(|case| case.broken.get(&rule.at)).cloned();
    let broken: Vec<Broken> = wanted.rules.iter().filter_map(first).collect();
    let choices = cases.iter().map(|case| case.choices.clone());
    Verdict {
        name: wanted.name.clone(),
        line: wanted.at.line,
        passed: broken.is_empty(),
        asked: Extent {
            scenarios: wanted.scenarios.len(),
            points: wanted.points.len(),
            classes: wanted.classes.len(),
            seeds: breadth.seeds as usize,
        },
        decisions: cases.iter().map(|case| case.decisions).sum(),
        choices: choices.fold(Choices::Fixed, Choices::less_known),
        broken,
    }
}

//! Judges the decisions of the decision module by the expectations of a suite.
//!
//! - `question`: which explorations a suite needs.
//! - `answers`: the explorations of one question, and the rules that they break.

mod answers;
mod question;

use super::expectation::{Breadth, Expectation, Rule};
use super::site::Site;
use super::verdict::{Broken, Choices, Extent, Verdict};
use crate::config::located::Located;
use crate::SettingsError;
use answers::Case;
use question::questions;
use rayon::prelude::*;

/// Asks all that the expectations need, each question once, and judges them.
///
/// # Errors
///
/// Settings with which no router can start.
pub fn judge(site: &Site, breadth: Breadth, suite: &[Expectation]) -> Result<Vec<Verdict>, SettingsError> {
    let questions = questions(site, suite);
    let answered = questions.par_iter().map(|question| question.cases(site, breadth, suite));
    let answered: Vec<Vec<(usize, Case)>> = answered.collect::<Result<_, _>>()?;
    let mut cases: Vec<Vec<Case>> = suite.iter().map(|_| Vec::new()).collect();
    for (expectation, case) in answered.into_iter().flatten() {
        cases[expectation].push(case);
    }
    Ok(suite.iter().zip(cases).map(|(wanted, cases)| verdict(breadth, wanted, &cases)).collect())
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

//! Tests a configuration against the routing that its operators expect. The decision module itself decides
//! each request, without sockets or traffic. See docs/expectations.md.
//!
//! - `site`: the configuration with the servers of its endpoint list; `names`, `selector`: resolve the names
//!   in expectations.
//! - `expectation`: expectations, scenarios and rules; `language`: parses the file that defines them.
//! - `evaluate`: explores all test cases, and returns a verdict for each expectation; `test_case`: what is
//!   explored once for all expectations that depend on it; `case_run`: the explorations of a test case;
//!   `rules`, `fill_cycle`: find violations of rules.
//! - `explore`: runs one exploration on a virtual clock; `world`, `planned_end`: simulate the servers;
//!   `decisions`: the resulting trace.
//! - `lint`: finds faults of a configuration that need no expectation.
//! - `verdict`, `report`: the results.

mod case_run;
pub mod decisions;
pub mod evaluate;
pub mod expectation;
pub mod explore;
mod fill_cycle;
pub mod language;
pub mod lint;
mod names;
mod planned_end;
pub mod report;
mod rules;
pub mod selector;
pub mod site;
mod test_case;
pub mod verdict;
mod world;

#[cfg(test)]
mod tests;

use crate::config::hcl_document::{HclDocument, HclError};
use crate::config::{read_text_file, Config, ConfigError};
use evaluate::evaluate;
use expectation::{ExploreSettings, Suite, MAX_SEEDS};
use language::parse;
use lint::{lint, Severity};
use report::Report;
use site::Site;
use std::path::Path;

/// The reason why a check cannot be made.
#[derive(Debug, thiserror::Error)]
pub enum ExpectError {
    /// The configuration cannot be read or used.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The expectations cannot be used; each error is shown on its own line.
    #[error("{}", .0.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n"))]
    Expectations(Vec<HclError>),
    /// No router can start with these settings at some point.
    #[error("settings: {0}")]
    Settings(#[from] crate::SettingsError),
    /// The name given with `--only` is not the name of an expectation.
    #[error("expectation {0:?} is not defined in the file")]
    NoSuchExpectation(String),
}

/// Options of the command line that override the file's `explore` block and select expectations.
#[derive(Clone, Debug, Default)]
pub struct Overrides {
    /// The first seed; `None`: the file's.
    pub seed: Option<u64>,
    /// Number of seeds, limited to 1 to [`MAX_SEEDS`]; `None`: the file's.
    pub seeds: Option<u64>,
    /// The name of the only expectation to check; `None`: all.
    pub only: Option<String>,
}

/// Checks a configuration file against a file of expectations.
///
/// # Errors
///
/// Returns an error if a file cannot be read or used. An expectation that does not hold is not an error but a
/// verdict.
pub fn check(config: &Path, expectations: &Path, overrides: &Overrides) -> Result<Report, ExpectError> {
    let site = Site::from_config(&Config::read(config)?);
    let text = read_text_file(expectations)?;
    let file = expectations.display().to_string();
    let suite = parse(HclDocument { file: &file, text: &text }, &site).map_err(ExpectError::Expectations)?;
    Ok(check_site(&site, &apply_overrides(suite, overrides)?, &file)?)
}

/// Applies the command line's overrides to a suite.
fn apply_overrides(mut suite: Suite, overrides: &Overrides) -> Result<Suite, ExpectError> {
    if let Some(only) = &overrides.only {
        suite.expectations.retain(|expectation| expectation.name == *only);
        if suite.expectations.is_empty() {
            return Err(ExpectError::NoSuchExpectation(only.clone()));
        }
    }
    let file = suite.explore_settings;
    suite.explore_settings = ExploreSettings {
        seed: overrides.seed.unwrap_or(file.seed),
        seeds: overrides.seeds.unwrap_or(file.seeds).clamp(1, MAX_SEEDS),
        ..file
    };
    Ok(suite)
}

/// Checks a site against a suite of expectations; `file` is the suite's path, for the report.
///
/// # Errors
///
/// Returns an error if no router can start with the settings.
pub fn check_site(site: &Site, suite: &Suite, file: &str) -> Result<Report, crate::SettingsError> {
    let verdicts = evaluate(site, suite.explore_settings, &suite.expectations)?;
    let findings = lint(site);
    let passed = verdicts.iter().all(|verdict| verdict.passed)
        && findings.iter().all(|finding| finding.severity < Severity::Error);
    Ok(Report { file: file.to_owned(), passed, findings, verdicts })
}

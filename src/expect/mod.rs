//! Routing expectations as tests: what operators expect of a configuration is compared with what the decision module
//! itself decides, without sockets or traffic. See docs/expectations.md.
//!
//! - `site`: the configuration with the servers of its list; `names`, `selector`: how expectations name its parts.
//! - `expectation`: what operators expect; `language`: the file in which they write it.
//! - `judge`: asks the decision module and gives a verdict for each expectation. `question`: what is asked, once for
//!   all expectations; `answered`: the explorations of a question; `rules`, `fill_cycle`: what violates a rule.
//! - `explore`: one exploration, on a virtual clock; `world`, `planned_end`: how attempts end in it; `decisions`: its
//!   result.
//! - `lint`: faults of a configuration that need no expectation.
//! - `verdict`, `report`: the results.

mod answered;
pub mod decisions;
pub mod expectation;
pub mod explore;
mod fill_cycle;
pub mod judge;
pub mod language;
pub mod lint;
mod names;
mod planned_end;
mod question;
pub mod report;
mod rules;
pub mod selector;
pub mod site;
pub mod verdict;
mod world;

#[cfg(test)]
mod tests;

use crate::config::hcl_document::{HclDocument, HclError};
use crate::config::{read_text_file, Config, ConfigError};
use expectation::{Breadth, Suite, MAX_SEEDS};
use judge::judge;
use language::parse;
use lint::{lint, Severity};
use report::Report;
use site::Site;
use std::path::Path;

/// Why a check cannot be made.
#[derive(Debug, thiserror::Error)]
pub enum ExpectError {
    /// The configuration cannot be read or used.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The expectations cannot be used; each error is a line of its own.
    #[error("{}", .0.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n"))]
    Expectations(Vec<HclError>),
    /// No router starts with these settings at some point.
    #[error("settings: {0}")]
    Settings(#[from] crate::SettingsError),
    /// `--only` names no expectation.
    #[error("no expectation {0:?}")]
    Only(String),
}

/// What the command line overrides of the file's `explore` block.
#[derive(Clone, Debug, Default)]
pub struct Overrides {
    /// The first seed.
    pub seed: Option<u64>,
    /// How many seeds.
    pub seeds: Option<u64>,
    /// Only the expectation of this name.
    pub only: Option<String>,
}

/// Checks a configuration file against a file of expectations.
///
/// # Errors
///
/// Files that cannot be read or used. An expectation that does not hold is no error but a verdict.
pub fn check(config: &Path, expectations: &Path, overrides: &Overrides) -> Result<Report, ExpectError> {
    let site = Site::of(&Config::read(config)?);
    let text = read_text_file(expectations)?;
    let file = expectations.display().to_string();
    let suite = parse(HclDocument { file: &file, text: &text }, &site).map_err(ExpectError::Expectations)?;
    Ok(check_site(&site, &overridden(suite, overrides)?, &file)?)
}

/// A suite as the command line overrides it.
fn overridden(mut suite: Suite, overrides: &Overrides) -> Result<Suite, ExpectError> {
    if let Some(only) = &overrides.only {
        suite.expectations.retain(|wanted| wanted.name == *only);
        if suite.expectations.is_empty() {
            return Err(ExpectError::Only(only.clone()));
        }
    }
    let file = suite.breadth;
    suite.breadth = Breadth {
        seed: overrides.seed.unwrap_or(file.seed),
        seeds: overrides.seeds.unwrap_or(file.seeds).clamp(1, MAX_SEEDS),
        ..file
    };
    Ok(suite)
}

/// Checks a site against expectations that were read.
///
/// # Errors
///
/// Settings with which no router can start.
pub fn check_site(site: &Site, suite: &Suite, file: &str) -> Result<Report, crate::SettingsError> {
    let verdicts = judge(site, suite.breadth, &suite.expectations)?;
    let findings = lint(site);
    let passed = verdicts.iter().all(|verdict| verdict.passed)
        && findings.iter().all(|finding| finding.severity < Severity::Error);
    Ok(Report { file: file.to_owned(), passed, findings, verdicts })
}

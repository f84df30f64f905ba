//! Routing expectations as tests: what operators expect of a configuration, held against what the decision module
//! itself decides, without a socket and without traffic. See docs/expectations.md.
//!
//! [`site`] is the configuration as the list leaves it, [`expectation`] what operators expect and [`language`] the file
//! in which they write it; [`explore`] asks the module on a clock of its own, [`mod@judge`] compares and gives
//! [`verdict`]s, [`mod@lint`] looks for what is wrong whatever is expected.

pub mod decisions;
pub mod expectation;
pub mod explore;
mod fill_cycle;
pub mod judge;
pub mod language;
pub mod lint;
pub mod report;
mod rules;
pub mod site;
pub mod verdict;
mod world;

#[cfg(test)]
mod tests;

use crate::config::located::{Doc, DocError};
use crate::config::{read_text, Config, ConfigError};
use expectation::{Breadth, Suite};
use judge::judge;
use language::parse;
use lint::{lint, Severity};
use report::Report;
use site::Site;
use std::path::Path;

/// Why nothing could be checked.
#[derive(Debug, thiserror::Error)]
pub enum ExpectError {
    /// The configuration cannot be read or used.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The expectations cannot be used; each error is a line of its own.
    #[error("{}", .0.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n"))]
    Expectations(Vec<DocError>),
    /// No router starts with these settings at some point.
    #[error("settings: {0}")]
    Settings(#[from] crate::SettingsError),
    /// Another file of the operator's cannot be used.
    #[error(transparent)]
    File(#[from] DocError),
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
    let text = read_text(expectations)?;
    let file = expectations.display().to_string();
    let mut suite = parse(Doc { file: &file, text: &text }, &site).map_err(ExpectError::Expectations)?;
    if let Some(only) = &overrides.only {
        suite.expectations.retain(|wanted| wanted.name == *only);
        if suite.expectations.is_empty() {
            return Err(ExpectError::Only(only.clone()));
        }
    }
    let usual = suite.breadth;
    suite.breadth = Breadth {
        seed: overrides.seed.unwrap_or(usual.seed),
        seeds: overrides.seeds.unwrap_or(usual.seeds).clamp(1, 1000),
        ..usual
    };
    Ok(check_site(&site, &suite, &file)?)
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

//! The report of a check, as lines of text and as JSON.

use super::lint::{Finding, Severity};
use super::verdict::{BrokenRule, Choices, Coverage, Verdict};
use serde::Serialize;
use std::fmt;

/// The result of a check; its serialized form is the JSON output.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// Path of the file of expectations.
    pub file: String,
    /// Whether every expectation holds and no finding is an error.
    pub passed: bool,
    /// Faults of the configuration that need no expectation.
    pub findings: Vec<Finding>,
    /// The expectations, in the file's order.
    pub verdicts: Vec<Verdict>,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let severity = match self.severity {
            Severity::Warning => "warning",
            Severity::Error => "error",
        };
        write!(f, "{severity} [{}] {}", self.code, self.text)
    }
}

impl fmt::Display for Choices {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Choices::Fixed => write!(f, "no random choice made a difference"),
            Choices::Bounded { eligible } => {
                write!(f, "random choices bounded: it holds for each of up to {eligible} ready caches")
            }
            Choices::Explored { seeds: [first, last], seen, eligible } => write!(
                f,
                "random choices explored by seeds {first} to {last} only, \
                 which chose {seen} of {eligible} ready caches"
            ),
        }
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        for finding in &self.findings {
            writeln!(f, "{finding}")?;
        }
        for verdict in &self.verdicts {
            self.write_verdict(f, verdict)?;
        }
        let failed = self.verdicts.iter().filter(|verdict| !verdict.passed).count();
        let errors = self.findings.iter().filter(|finding| finding.severity == Severity::Error).count();
        let passed = self.verdicts.len() - failed;
        write!(f, "{passed} expectations passed, {failed} failed; {errors} errors in the configuration")
    }
}

impl Report {
    fn write_verdict(&self, f: &mut fmt::Formatter, verdict: &Verdict) -> fmt::Result {
        let word = if verdict.passed { "passed" } else { "FAILED" };
        writeln!(f, "{word} {:?} ({}:{})", verdict.name, self.file, verdict.line)?;
        for broken in &verdict.broken {
            let BrokenRule { rule, at, reason, seed, .. } = broken;
            writeln!(f, "  {rule} at {}:{at}: {reason}", self.file)?;
            writeln!(f, "    reproduce with --seed {seed} --seeds 1 --only {:?}", verdict.name)?;
        }
        let Coverage { scenarios, points, classes, seeds } = verdict.coverage;
        let Verdict { decisions, choices, .. } = verdict;
        writeln!(
            f,
            "  {scenarios} scenarios, {points} points, {classes} classes, {seeds} seeds, {decisions} decisions; {choices}"
        )
    }
}

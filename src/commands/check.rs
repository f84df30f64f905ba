//! `dahliatrack check`: holds a configuration against routing expectations.

use super::output::{print_report, Format};
use super::CommandError;
use dahliatrack::expect::{self, Overrides};
use std::path::PathBuf;

/// What is checked, and how.
#[derive(clap::Args)]
pub struct CheckArgs {
    /// The configuration
    config: PathBuf,
    /// The expectations (HCL)
    #[arg(long)]
    expect: PathBuf,
    /// The first seed of the module's random choices, in place of the file's
    #[arg(long)]
    seed: Option<u64>,
    /// How many seeds, in place of the file's
    #[arg(long)]
    seeds: Option<u64>,
    /// Only the expectation of this name
    #[arg(long)]
    only: Option<String>,
    /// How the verdicts are written
    #[arg(long, value_enum, default_value = "text")]
    format: Format,
}

/// Prints the verdicts, and fails if an expectation does not hold.
pub fn run(args: CheckArgs) -> Result<(), CommandError> {
    let overrides = Overrides { seed: args.seed, seeds: args.seeds, only: args.only };
    let report = expect::check(&args.config, &args.expect, &overrides)?;
    print_report(&report, args.format);
    if !report.passed {
        return Err(CommandError::ExpectationsNotMet);
    }
    Ok(())
}

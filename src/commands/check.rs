//! `dahliatrack check`: checks a configuration against routing expectations.

use super::output::{print_report, Format};
use super::CommandError;
use dahliatrack::expect::{self, Overrides};
use std::path::PathBuf;

/// The files to check, the seeds, and the output format.
#[derive(clap::Args)]
pub struct CheckArgs {
    /// The configuration
    config: PathBuf,
    /// The expectations (HCL)
    #[arg(long)]
    expect: PathBuf,
    /// The first seed of the decision module's random choices; overrides the expectations file
    #[arg(long)]
    seed: Option<u64>,
    /// The number of seeds; overrides the expectations file
    #[arg(long)]
    seeds: Option<u64>,
    /// Check only the expectation with this name
    #[arg(long)]
    only: Option<String>,
    /// The output format of the verdicts
    #[arg(long, value_enum, default_value = "text")]
    format: Format,
}

/// Prints the verdicts. Returns an error if an expectation does not hold.
pub fn run(args: CheckArgs) -> Result<(), CommandError> {
    let overrides = Overrides { seed: args.seed, seeds: args.seeds, only: args.only };
    let report = expect::check(&args.config, &args.expect, &overrides)?;
    print_report(&report, args.format);
    if !report.passed {
        return Err(CommandError::ExpectationsNotMet);
    }
    Ok(())
}

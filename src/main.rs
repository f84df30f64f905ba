//! The command line program of the edge proxy.

mod commands;
mod logger;

use clap::Parser;
use commands::Command;
use std::process::ExitCode;

/// An edge proxy for a two-tier cache.
#[derive(Parser)]
#[command(version)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

fn main() -> ExitCode {
    match Cli::parse().command.run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("dahliatrack: {error}");
            ExitCode::from(error.exit_code())
        }
    }
}

//! `dahliatrack control`: the control service over xDS.

use super::log::LogArgs;
use super::CommandError;
use dahliatrack::control::service;
use std::path::PathBuf;

/// The files of a control service.
#[derive(clap::Args)]
pub struct ControlArgs {
    /// The configuration
    #[arg(long, env = "PROXY_CONFIG")]
    config: PathBuf,
    /// The operator's file of the control service (HCL)
    #[arg(long, env = "PROXY_CONTROL")]
    control: PathBuf,
    #[command(flatten)]
    log: LogArgs,
}

/// Serves until the process is told to stop.
pub fn run(args: ControlArgs) -> Result<(), CommandError> {
    args.log.start();
    service::run(&service::Files { config: args.config, control: args.control })?;
    Ok(())
}

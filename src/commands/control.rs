//! `dahliatrack control`: runs the control service, which sends decisions to other proxies over xDS.

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
    /// The operator's file for the control service (HCL)
    #[arg(long, env = "PROXY_CONTROL")]
    control: PathBuf,
    #[command(flatten)]
    log: LogArgs,
}

/// Serves until the process receives SIGTERM or SIGINT.
pub fn run(args: ControlArgs) -> Result<(), CommandError> {
    args.log.start();
    service::run(&service::Files { config: args.config, control: args.control })?;
    Ok(())
}

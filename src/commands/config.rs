//! `dahliatrack config` and `dahliatrack check-config`: whether a configuration can be used.

use super::output::print;
use super::CommandError;
use dahliatrack::config::{Config, Files, LoadedFiles};
use dahliatrack::expect::lint::{lint, point_names, Severity};
use dahliatrack::expect::site::Site;
use dahliatrack::server::route_classes;
use std::path::PathBuf;

#[derive(clap::Subcommand)]
pub enum ConfigCommand {
    /// Say whether a configuration can be used, and what is wrong with its servers, points and classes
    Validate {
        /// The configuration
        config: PathBuf,
        #[command(flatten)]
        operator_files: OperatorFiles,
    },
}

/// A configuration and the operator's files beside it.
#[derive(clap::Args)]
pub struct CheckConfigArgs {
    /// The configuration
    #[arg(long, env = "PROXY_CONFIG")]
    config: PathBuf,
    #[command(flatten)]
    operator_files: OperatorFiles,
}

/// The operator's files beside a configuration.
#[derive(clap::Args)]
pub struct OperatorFiles {
    /// The operator's file of the second front
    #[arg(long, env = "PROXY_SIGNED")]
    signed: Option<PathBuf>,
    /// The operator's admission file
    #[arg(long, env = "PROXY_ADMISSION")]
    admission: Option<PathBuf>,
}

/// Checks the files, and the site that they describe.
pub fn run(command: ConfigCommand) -> Result<(), CommandError> {
    let ConfigCommand::Validate { config, operator_files } = command;
    check_files(config.clone(), operator_files)?;
    check_site(&Site::from_config(&Config::read(&config)?))
}

/// Checks the files alone.
pub fn run_check_config(args: CheckConfigArgs) -> Result<(), CommandError> {
    check_files(args.config, args.operator_files)
}

/// Reads the files, and prints what is in them.
fn check_files(config: PathBuf, operator_files: OperatorFiles) -> Result<(), CommandError> {
    let OperatorFiles { signed, admission } = operator_files;
    let files = Files { config, signed, admin: None, admission, federation: None };
    let admission_is_on = files.read_admission()?.enabled;
    let LoadedFiles { config, signed } = files.read()?;
    let routes = signed.map(|signed| route_classes(&signed, &config.settings)).transpose()?;
    print(&format!("{}: usable, {} events known", config.name, config.initial_events.events.len()));
    if let Some(routes) = routes {
        print(&format!("second front: usable, {} routes", routes.len()));
    }
    if admission_is_on {
        print(&"admission: usable, on");
    }
    Ok(())
}

/// Prints what is wrong with a site, and fails if that includes errors.
fn check_site(site: &Site) -> Result<(), CommandError> {
    print(&format!("{} servers, points {}", site.servers.len(), point_names(site)));
    let findings = lint(site);
    findings.iter().for_each(|finding| print(finding));
    match findings.iter().filter(|finding| finding.severity == Severity::Error).count() {
        0 => Ok(()),
        errors => Err(CommandError::InvalidSite(errors)),
    }
}

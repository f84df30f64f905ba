//! `dahliatrack serve`: runs the edge proxy.

use super::log::LogArgs;
use super::CommandError;
use dahliatrack::config::Files;
use dahliatrack::server::Server;
use std::net::SocketAddr;
use std::path::PathBuf;

/// The files and addresses of an edge proxy.
#[derive(clap::Args)]
pub struct ServeArgs {
    /// The configuration
    #[arg(long, env = "PROXY_CONFIG")]
    config: PathBuf,
    /// The operator's file for the signed front; the signed front is off without it
    #[arg(long, env = "PROXY_SIGNED")]
    signed: Option<PathBuf>,
    /// The address for operators' calls; overrides `admin` of the configuration; off without either
    #[arg(long, env = "PROXY_ADMIN")]
    admin: Option<SocketAddr>,
    /// The operator's admission file (HCL): caps, rates and reserves for clients' connections; off without it
    #[arg(long, env = "PROXY_ADMISSION")]
    admission: Option<PathBuf>,
    /// The operator's file for the federation (HCL): its members and its settings; off without it
    #[cfg(feature = "federation")]
    #[arg(long, env = "PROXY_FEDERATION")]
    federation: Option<PathBuf>,
    #[command(flatten)]
    log: LogArgs,
}

/// Serves until the process receives SIGTERM or SIGINT.
pub fn run(args: ServeArgs) -> Result<(), CommandError> {
    args.log.start();
    let files = Files {
        config: args.config,
        signed: args.signed,
        admin: args.admin,
        admission: args.admission,
        #[cfg(feature = "federation")]
        federation: args.federation,
        #[cfg(not(feature = "federation"))]
        federation: None,
    };
    Ok(Server::start(files)?.run()?)
}

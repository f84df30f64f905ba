//! `dahliatrack lab`: the project's own laboratory.
//!
//! - `replay`: replays traces against stand-in caches (`replay`, `demo`).
//! - `trace`: makes up a trace; `site`: makes up a site.
//! - `xds`: measures the control service.

mod replay;
mod site;
mod trace;
#[cfg(feature = "control")]
mod xds;

use super::CommandError;

#[derive(clap::Subcommand)]
pub enum LabCommand {
    /// Start stand-in caches, a feed and an edge proxy on loopback, play a short made-up trace, and report
    Demo(replay::DemoArgs),
    /// Replay a public cluster trace (CSV) over the edge proxy's front against stand-in caches, and report
    Replay(replay::ReplayArgs),
    /// Write a made-up trace in a published format (Azure Functions Invocation Trace 2021) to standard output
    Trace(trace::TraceArgs),
    #[cfg(feature = "control")]
    /// Measure the control service in this process: from a drain to each stand-in client's view without that cache
    Xds(xds::XdsArgs),
    /// Print the configuration of a made-up site, to try the tools on
    Site(site::SiteArgs),
}

/// Carries out a command.
pub fn run(command: LabCommand) -> Result<(), CommandError> {
    match command {
        LabCommand::Demo(args) => replay::run_demo(args),
        LabCommand::Replay(args) => replay::run_replay(args),
        LabCommand::Trace(args) => trace::run(args),
        #[cfg(feature = "control")]
        LabCommand::Xds(args) => xds::run(args),
        LabCommand::Site(args) => {
            site::run(args);
            Ok(())
        }
    }
}

//! `dahliatrack lab`: traces, stand-in sites and measurements, for tests on one machine.
//!
//! - `replay`: replays traces against stand-in caches (commands `replay` and `demo`).
//! - `trace`: generates a synthetic trace; `site`: generates the configuration of a synthetic site.
//! - `xds`: measures the control service.

mod replay;
mod site;
mod trace;
#[cfg(feature = "control")]
mod xds;

use super::CommandError;

#[derive(clap::Subcommand)]
pub enum LabCommand {
    /// Start stand-in caches, a feed and an edge proxy on loopback, replay a short synthetic trace, and report
    Demo(replay::DemoArgs),
    /// Replay a public cluster trace (CSV) through an edge proxy against stand-in caches, and report
    Replay(replay::ReplayArgs),
    /// Write a synthetic trace in a published format (Azure Functions Invocation Trace 2021) to standard output
    Trace(trace::TraceArgs),
    #[cfg(feature = "control")]
    /// Measure the control service in this process: from a drain until each stand-in client's list lacks the cache
    Xds(xds::XdsArgs),
    /// Print the configuration of a synthetic site, for trying out the tools
    Site(site::SiteArgs),
}

/// Runs the command.
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

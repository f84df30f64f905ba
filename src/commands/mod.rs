//! The commands of the command line. Each has a module with its arguments and its implementation.
//!
//! - `serve`: runs the edge proxy.
//! - `control`: runs the control service over xDS.
//! - `federation`: creates and checks the stores of a federation's members.
//! - `config`: checks whether a configuration can be used; `check`: checks whether it routes as expected.
//! - `sign`: issues signed URLs and tokens.
//! - `sim`: the simulator; `flood`: a connection flood; `lab`: traces, stand-in sites and measurements.
//!
//! They share `log` (logging arguments), `output` (printing results) and `error` (errors and their exit codes).
//!
//! The doc comments of arguments and commands are the text of `--help`.

mod check;
mod config;
#[cfg(feature = "control")]
mod control;
mod error;
#[cfg(feature = "federation")]
mod federation;
mod flood;
mod lab;
mod log;
mod output;
mod serve;
mod sign;
mod sim;

pub use error::CommandError;

#[derive(clap::Subcommand)]
pub enum Command {
    /// Serve until SIGTERM or SIGINT, then answer the open requests and exit; SIGHUP reloads the files
    Serve(serve::ServeArgs),
    #[cfg(feature = "federation")]
    /// Create and check the stores of federation members
    #[command(subcommand)]
    Federation(federation::FederationCommand),
    #[cfg(feature = "control")]
    /// Send the decisions to other proxies over xDS until SIGTERM or SIGINT; SIGHUP reloads the operator's file
    Control(control::ControlArgs),
    /// Simulate the network code on a virtual clock with faults drawn from seeds, and check every rule
    Sim(sim::SimArgs),
    /// Check a configuration against routing expectations with the decision module itself; sends no traffic
    Check(check::CheckArgs),
    /// Check configurations
    #[command(subcommand)]
    Config(config::ConfigCommand),
    /// Check whether a configuration can be used, as `config validate` does, but without checking its site
    CheckConfig(config::CheckConfigArgs),
    /// Issue a signed URL or a token for the signed front
    #[command(subcommand)]
    Sign(sign::SignCommand),
    /// Flood an edge proxy on loopback while known clients send requests from another address, for a limited time
    Flood(flood::FloodArgs),
    /// Replay traces, generate traces and sites, and measure, all on this machine
    #[command(subcommand)]
    Lab(lab::LabCommand),
    /// Print the version
    Version,
}

impl Command {
    /// Runs the command.
    pub fn run(self) -> Result<(), CommandError> {
        match self {
            Command::Serve(args) => serve::run(args),
            #[cfg(feature = "federation")]
            Command::Federation(command) => federation::run(command),
            #[cfg(feature = "control")]
            Command::Control(args) => control::run(args),
            Command::Sim(args) => sim::run(args),
            Command::Check(args) => check::run(args),
            Command::Config(command) => config::run(command),
            Command::CheckConfig(args) => config::run_check_config(args),
            Command::Sign(command) => sign::run(command),
            Command::Flood(args) => flood::run(args),
            Command::Lab(command) => lab::run(command),
            Command::Version => {
                output::print(&format!("dahliatrack {}", env!("CARGO_PKG_VERSION")));
                Ok(())
            }
        }
    }
}

//! The commands of the command line, one module each: its arguments and what it does.
//!
//! - `serve`: the edge proxy.
//! - `control`: the control service over xDS.
//! - `federation`: the stores of a federation's members.
//! - `config`: whether a configuration can be used; `check`: whether it routes as expected.
//! - `sign`: signed URLs and tokens.
//! - `sim`: the simulator; `flood`: a connection flood; `lab`: traces, stand-in sites and measurements.
//!
//! Shared by them: `log` (what is logged), `output` (what is printed) and `error` (failures and their exit codes).
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
    /// Serve until SIGTERM or SIGINT, then answer what is open and exit; SIGHUP reads the files again
    Serve(serve::ServeArgs),
    #[cfg(feature = "federation")]
    /// Work on the federation's stores
    #[command(subcommand)]
    Federation(federation::FederationCommand),
    #[cfg(feature = "control")]
    /// Hand the decisions to other proxies over xDS until SIGTERM or SIGINT; SIGHUP reads the operator's file again
    Control(control::ControlArgs),
    /// Play the network code on a virtual clock against faults drawn from seeds, checking every rule
    Sim(sim::SimArgs),
    /// Hold a configuration against routing expectations, asking the decision module itself; sends no traffic
    Check(check::CheckArgs),
    /// Work on configurations
    #[command(subcommand)]
    Config(config::ConfigCommand),
    /// Read a configuration and say whether it can be used, as `config validate` does, by its files alone
    CheckConfig(config::CheckConfigArgs),
    /// Issue a signed URL or a token of the second front
    #[command(subcommand)]
    Sign(sign::SignCommand),
    /// Flood an edge proxy on loopback from one address while known clients play from another; bounded in time
    Flood(flood::FloodArgs),
    /// The project's own laboratory
    #[command(subcommand)]
    Lab(lab::LabCommand),
    /// Print the version
    Version,
}

impl Command {
    /// Carries out the command.
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

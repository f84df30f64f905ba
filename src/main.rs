//! The command line of the edge proxy.

mod logger;

use clap::{Parser, Subcommand};
use dahliatrack::config::Config;
use dahliatrack::server::Server;
use std::path::PathBuf;
use std::process::ExitCode;

/// A real edge proxy for a two-tier cache.
#[derive(Parser)]
#[command(version)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Serve until SIGTERM or SIGINT, then answer what is open and exit
    Serve {
        /// The configuration
        #[arg(long, env = "PROXY_CONFIG")]
        config: PathBuf,
        /// The least important log lines to write
        #[arg(long, default_value = "info", value_parser = level)]
        log: log::LevelFilter,
    },
    /// Read a configuration and say whether it can be used
    CheckConfig {
        /// The configuration
        #[arg(long, env = "PROXY_CONFIG")]
        config: PathBuf,
    },
    /// Print the version
    Version,
}

fn level(word: &str) -> Result<log::LevelFilter, String> {
    word.parse().map_err(|_| "one of off, error, warn, info, debug, trace".to_owned())
}

/// The exit code of a configuration that cannot be used.
const BAD_CONFIG: u8 = 2;

fn main() -> ExitCode {
    match Cli::parse().command {
        Command::Serve { config, log } => serve(&config, log),
        Command::CheckConfig { config } => match Config::read(&config) {
            Ok(config) => {
                println!("{}: usable; {} events known", config.name, config.known.events.len());
                ExitCode::SUCCESS
            }
            Err(error) => bad(BAD_CONFIG, &error),
        },
        Command::Version => {
            println!("dahliatrack {}", env!("CARGO_PKG_VERSION"));
            ExitCode::SUCCESS
        }
    }
}

fn serve(path: &std::path::Path, level: log::LevelFilter) -> ExitCode {
    logger::start(level);
    let config = match Config::read(path) {
        Ok(config) => config,
        Err(error) => return bad(BAD_CONFIG, &error),
    };
    match Server::start(config).and_then(|mut server| server.run()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => bad(1, &error),
    }
}

fn bad(code: u8, error: &dyn std::fmt::Display) -> ExitCode {
    eprintln!("dahliatrack: {error}");
    ExitCode::from(code)
}

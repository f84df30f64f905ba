//! Errors of commands, and their exit codes.

use dahliatrack::config::hcl_document::HclError;
use dahliatrack::config::ConfigError;
#[cfg(feature = "control")]
use dahliatrack::control::service::ControlError;
use dahliatrack::expect::ExpectError;
use dahliatrack::front::signed::credentials::SignError;
use dahliatrack::lab::replay::ReplayError;
use dahliatrack::server::ServerError;
use dahliatrack::trace::TraceError;

/// The exit code if a file of the operator's cannot be used.
const EXIT_BAD_CONFIG: u8 = 2;
/// The exit code of every other failure.
const EXIT_FAILURE: u8 = 1;

/// An error of a command; printed on standard error.
#[derive(Debug, thiserror::Error)]
pub enum CommandError {
    #[error(transparent)]
    Config(#[from] ConfigError),
    #[error(transparent)]
    Document(#[from] HclError),
    #[error(transparent)]
    Server(#[from] ServerError),
    #[error(transparent)]
    Sign(#[from] SignError),
    #[cfg(feature = "control")]
    #[error(transparent)]
    Control(#[from] ControlError),
    #[error(transparent)]
    Expect(#[from] ExpectError),
    #[error("the configuration has {0} errors")]
    InvalidSite(usize),
    #[error(transparent)]
    Replay(#[from] ReplayError),
    #[error(transparent)]
    Trace(#[from] TraceError),
    #[error("report page: {0}")]
    ReportPage(#[from] minijinja::Error),
    #[error("a rule was broken in the simulation")]
    RuleBroken,
    #[error("at least one expectation does not hold")]
    ExpectationsNotMet,
    #[error("flood: --target, --known-from and --flood-from must be loopback addresses")]
    FloodNotLoopback,
    #[error("flood: {0}")]
    FloodHistogram(#[from] hdrhistogram::CreationError),
}

impl CommandError {
    /// Returns the exit code of the process: 2 for files that cannot be used, 1 otherwise.
    pub fn exit_code(&self) -> u8 {
        if self.is_config() {
            EXIT_BAD_CONFIG
        } else {
            EXIT_FAILURE
        }
    }

    /// Whether the error is a file of the operator's that cannot be used.
    fn is_config(&self) -> bool {
        match self {
            CommandError::Config(_)
            | CommandError::Document(_)
            | CommandError::Expect(_)
            | CommandError::InvalidSite(_)
            | CommandError::Trace(_) => true,
            CommandError::Server(error) => error.is_config(),
            #[cfg(feature = "control")]
            CommandError::Control(error) => error.is_config(),
            CommandError::Sign(_)
            | CommandError::FloodNotLoopback
            | CommandError::FloodHistogram(_)
            | CommandError::ExpectationsNotMet
            | CommandError::RuleBroken
            | CommandError::Replay(_)
            | CommandError::ReportPage(_) => false,
        }
    }
}

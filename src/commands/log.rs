//! The logging arguments, shared by the commands that write a log.

use crate::logger::{self, LogFormat};
use tracing::level_filters::LevelFilter;

/// The level and the format of the log.
#[derive(clap::Args)]
pub struct LogArgs {
    /// The lowest level of log lines to write
    #[arg(long, default_value = "info", value_parser = parse_level)]
    log: LevelFilter,
    /// The format of log lines
    #[arg(long, value_enum, default_value = "text")]
    log_format: LogFormat,
}

impl LogArgs {
    /// Starts logging with this level and format.
    pub fn start(&self) {
        logger::start(self.log, self.log_format);
    }
}

#[derive(Debug, thiserror::Error)]
#[error("expected one of off, error, warn, info, debug, trace")]
struct LevelError;

fn parse_level(word: &str) -> Result<LevelFilter, LevelError> {
    word.parse().map_err(|_| LevelError)
}

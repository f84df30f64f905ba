//! The arguments of commands that log.

use crate::logger::{self, LogFormat};
use tracing::level_filters::LevelFilter;

/// What is logged, and how.
#[derive(clap::Args)]
pub struct LogArgs {
    /// The least important log lines to write
    #[arg(long, default_value = "info", value_parser = parse_level)]
    log: LevelFilter,
    /// How log lines are written
    #[arg(long, value_enum, default_value = "text")]
    log_format: LogFormat,
}

impl LogArgs {
    /// Starts to log.
    pub fn start(&self) {
        logger::start(self.log, self.log_format);
    }
}

#[derive(Debug, thiserror::Error)]
#[error("one of off, error, warn, info, debug, trace")]
struct LevelError;

fn parse_level(word: &str) -> Result<LevelFilter, LevelError> {
    word.parse().map_err(|_| LevelError)
}

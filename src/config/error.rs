//! Errors of configuration files that cannot be used.

use super::settings::SettingsParseError;
use crate::SettingsError;
use std::error::Error;
use std::path::{Path, PathBuf};

/// Why a configuration file cannot be used. Its text is a single line that begins with the file's path.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// The file cannot be read.
    #[error("{}: {error}", path.display())]
    Read {
        /// Path of the file.
        path: PathBuf,
        /// The error of the operating system.
        error: std::io::Error,
    },
    /// The file's contents cannot be used.
    #[error("{}: {}", path.display(), one_line(reason.as_ref()))]
    Invalid {
        /// Path of the file.
        path: PathBuf,
        /// What is wrong, and where in the file.
        reason: Box<dyn Error + Send + Sync>,
    },
}

impl ConfigError {
    /// Creates the error for a file whose contents cannot be used.
    pub fn invalid(path: &Path, reason: impl Into<Box<dyn Error + Send + Sync>>) -> Self {
        ConfigError::Invalid { path: path.to_owned(), reason: reason.into() }
    }
}

/// Joins the text of an error into one line, since some parsers quote several lines of the file.
fn one_line(error: &dyn Error) -> String {
    error.to_string().split_whitespace().collect::<Vec<_>>().join(" ")
}

/// Why the contents of PROXY_CONFIG cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum ConfigParseError {
    /// The text is not JSON, or lacks a key, or a value has another type; the error names the key's path.
    #[error(transparent)]
    Json(#[from] serde_path_to_error::Error<serde_json::Error>),
    /// The configuration is followed by more text.
    #[error(transparent)]
    Trailing(#[from] serde_json::Error),
    /// The seed is not a number of at most 16 hex digits.
    #[error("seed {0:?} is not a number of at most 16 hex digits")]
    Seed(String),
    /// The settings message is not usable.
    #[error(transparent)]
    SettingsMessage(#[from] SettingsParseError),
    /// A router cannot start with the settings.
    #[error("settings: {0}")]
    Settings(#[from] SettingsError),
    /// A class has an empty name, or none.
    #[error("settings: a class has no name")]
    UnnamedClass,
    /// Two classes have the same name.
    #[error("settings: class {0:?} is defined twice")]
    DuplicateClass(String),
}

//! Why a configuration cannot be used.

use super::settings::SettingsParseError;
use crate::SettingsError;
use std::error::Error;
use std::path::{Path, PathBuf};

/// Why a configuration file cannot be used; its text is one plain line.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// A file cannot be read.
    #[error("{}: {error}", path.display())]
    Read {
        /// The file.
        path: PathBuf,
        /// Why.
        error: std::io::Error,
    },
    /// A file's contents cannot be used.
    #[error("{}: {}", path.display(), one_line(reason.as_ref()))]
    Invalid {
        /// The file.
        path: PathBuf,
        /// What is wrong, and where in the file.
        reason: Box<dyn Error + Send + Sync>,
    },
}

impl ConfigError {
    /// A file whose contents cannot be used.
    pub fn invalid(path: &Path, reason: impl Into<Box<dyn Error + Send + Sync>>) -> Self {
        ConfigError::Invalid { path: path.to_owned(), reason: reason.into() }
    }
}

/// The text of an error on one line; some parsers quote several lines of the file.
fn one_line(error: &dyn Error) -> String {
    error.to_string().split_whitespace().collect::<Vec<_>>().join(" ")
}

/// Why the contents of PROXY_CONFIG cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum ConfigParseError {
    /// The text is not JSON, or lacks a key, or a value has another type; the error names the key's path.
    #[error(transparent)]
    Json(#[from] serde_path_to_error::Error<serde_json::Error>),
    /// Something follows the configuration.
    #[error(transparent)]
    Trailing(#[from] serde_json::Error),
    /// The seed is not a number of at most 16 hex digits.
    #[error("seed: {0:?} is not hex")]
    Seed(String),
    /// The settings message cannot be read.
    #[error(transparent)]
    SettingsMessage(#[from] SettingsParseError),
    /// No router can start with the settings.
    #[error("settings: {0}")]
    Settings(#[from] SettingsError),
    /// A class lacks its name.
    #[error("settings: a class has no name")]
    UnnamedClass,
    /// Two classes have one name.
    #[error("settings: class {0:?} comes twice")]
    DuplicateClass(String),
}

//! Errors of settings messages that cannot be used, or cannot replace the settings in use.

/// Why a settings message cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum SettingsParseError {
    /// The text is not JSON, or lacks a key, or a value has another type; the error names the key's path.
    #[error("settings: {0}")]
    Json(#[from] serde_path_to_error::Error<serde_json::Error>),
    /// The message is followed by more text.
    #[error("settings: {0}")]
    Trailing(serde_json::Error),
    /// A list with one entry for each class is too short.
    #[error("settings: domain.{key} has no entry for class number {class}")]
    MissingClassEntry {
        /// The list's key in the section `domain`.
        key: &'static str,
        /// The class's index in the list of classes.
        class: usize,
    },
    /// The value of a key is not one of the words that the key may have.
    #[error("settings: {key} has the unknown value {value:?}")]
    UnknownValue {
        /// The key, without its section.
        key: &'static str,
        /// The value as it was written.
        value: String,
    },
}

/// A class is new or has other rules, but all class numbers are in use by earlier classes, including retired ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("settings: all class numbers are in use, including those of retired classes")]
pub struct ClassNumbersExhausted;

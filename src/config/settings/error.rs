//! Why a settings message cannot be used, or cannot replace the one in use.

/// Why a settings message cannot be read.
#[derive(Debug, thiserror::Error)]
pub enum SettingsParseError {
    /// The text is not JSON, or lacks a key, or a value has another type; the error names the key's path.
    #[error("settings: {0}")]
    Json(#[from] serde_path_to_error::Error<serde_json::Error>),
    /// Something follows the message.
    #[error("settings: {0}")]
    Trailing(serde_json::Error),
    /// A list that is ordered by class is too short.
    #[error("settings: domain.{key} has no entry for class {class}")]
    MissingClassEntry {
        /// The list's key.
        key: &'static str,
        /// The class's place in the list of classes.
        class: usize,
    },
    /// A value is none of the words that its key may have.
    #[error("settings: {key} has the unknown word {value:?}")]
    UnknownValue {
        /// The key.
        key: &'static str,
        /// The value.
        value: String,
    },
}

/// A class is new or has other rules, and all class numbers are in use by classes that were there before.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("settings: no class numbers are left")]
pub struct ClassNumbersExhausted;

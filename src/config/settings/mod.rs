//! The settings of a site: the decision module's, and those of the program around it.
//!
//! - `message`: the settings message as it is written in JSON.
//! - `convert`: its conversion, one function a section.
//! - `program`: names, classes and transport limits for the program.
//! - `reconfigure`: how new settings replace those of a running program.
//! - `error`: why a message cannot be used.

mod convert;
mod error;
mod message;
mod program;
mod reconfigure;

use crate::interface::Settings;
pub use error::{ClassNumbersExhausted, SettingsParseError};
use message::SettingsMessage;
pub use program::{ClassInfo, ProgramSettings};
pub use reconfigure::Reconfiguration;

/// The settings of a site, as one settings message states them.
#[derive(Clone, Debug, PartialEq)]
pub struct SiteSettings {
    /// For the decision module.
    pub policy: Settings,
    /// For the program around it.
    pub program: ProgramSettings,
}

impl SiteSettings {
    /// Reads a settings message. The values are not checked; see [`Settings::check`].
    ///
    /// # Errors
    ///
    /// Text that is not JSON, or not of the message's form.
    pub fn parse(text: &[u8]) -> Result<Self, SettingsParseError> {
        let mut json = serde_json::Deserializer::from_slice(text);
        let message: SettingsMessage = serde_path_to_error::deserialize(&mut json)?;
        json.end().map_err(SettingsParseError::Trailing)?;
        convert::site_settings(&message)
    }
}

#[cfg(test)]
mod tests;

//! The settings of a site, for the decision module and for the program around it.
//!
//! - `message`: the settings message as it is written in JSON.
//! - `convert`: the conversion of the message, one function for each section.
//! - `program`: the names, classes and transport limits that the program uses.
//! - `reconfigure`: the replacement of a running program's settings by new ones.
//! - `error`: errors of messages that cannot be used.

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

/// The settings of a site, converted from one settings message.
#[derive(Clone, Debug, PartialEq)]
pub struct SiteSettings {
    /// The settings of the decision module.
    pub policy: Settings,
    /// The settings of the program around it.
    pub program: ProgramSettings,
}

impl SiteSettings {
    /// Parses a settings message. The values are not checked; see [`Settings::check`].
    ///
    /// # Errors
    ///
    /// Returns an error if the text is not JSON or does not have the message's form.
    pub fn parse(text: &[u8]) -> Result<Self, SettingsParseError> {
        let mut json = serde_json::Deserializer::from_slice(text);
        let message: SettingsMessage = serde_path_to_error::deserialize(&mut json)?;
        json.end().map_err(SettingsParseError::Trailing)?;
        convert::site_settings(&message)
    }
}

#[cfg(test)]
mod tests;

//! The settings that are the same for all points and snapshots of a run.

use crate::config::settings::ProgramSettings;
use crate::control::resource::Content;
use crate::interface::{Settings, ZoneId};

/// A function that encodes a resource as protobuf, from its name and content.
pub type EncodeFn = fn(&str, &Content) -> Vec<u8>;

/// The settings, names and encoder that are the same for all points and snapshots of a run.
pub(super) struct Site {
    pub(super) settings: Settings,
    pub(super) names: ProgramSettings,
    pub(super) encode: EncodeFn,
}

impl Site {
    /// Returns the name of a zone, or its number if the settings have no name for it.
    pub(super) fn zone_name(&self, zone: ZoneId) -> String {
        let name = self.names.zones.get(usize::from(zone.0));
        name.cloned().unwrap_or_else(|| zone.0.to_string())
    }
}

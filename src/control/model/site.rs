//! What stays the same for all points and all snapshots of a run.

use crate::config::settings::ProgramSettings;
use crate::control::resource::Content;
use crate::interface::{Settings, ZoneId};

/// Encodes a resource, by its name and content, in its wire form.
pub type EncodeFn = fn(&str, &Content) -> Vec<u8>;

/// What stays the same for all points and all snapshots of a run.
pub(super) struct Site {
    pub(super) settings: Settings,
    pub(super) names: ProgramSettings,
    pub(super) encode: EncodeFn,
}

impl Site {
    /// A zone's name, or its number where the settings do not name it.
    pub(super) fn zone_name(&self, zone: ZoneId) -> String {
        let name = self.names.zones.get(usize::from(zone.0));
        name.cloned().unwrap_or_else(|| zone.0.to_string())
    }
}

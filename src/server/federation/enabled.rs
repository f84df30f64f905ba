//! The handle with the cargo feature `federation`.

use crate::config::{ConfigError, Files};
use crate::federation::runtime::Handle;
use crate::federation::settings::FederationSettings;
use std::io;

/// The edge proxy's member; `None` if the edge proxy belongs to no federation.
#[derive(Default)]
pub(in crate::server) struct FederationHandle(Option<Handle>);

/// The checked settings from the federation file; `None` if there is no such file.
pub(in crate::server) struct CheckedSettings(Option<FederationSettings>);

impl FederationHandle {
    /// Reads and checks the federation file, if there is one.
    pub fn read(files: &Files) -> Result<CheckedSettings, ConfigError> {
        files.federation.as_deref().map(FederationSettings::read).transpose().map(CheckedSettings)
    }

    /// Starts the member, if there are settings for one.
    pub fn start(CheckedSettings(settings): CheckedSettings, seed: u64) -> io::Result<Self> {
        settings.map(|settings| Handle::start(settings, seed)).transpose().map(FederationHandle)
    }

    /// Reads the federation file again, and checks that its settings can take effect without a restart.
    pub fn check(&self, files: &Files) -> Result<CheckedSettings, ConfigError> {
        let checked = Self::read(files)?;
        if let (Some(handle), Some(settings), Some(path)) = (&self.0, &checked.0, &files.federation) {
            handle.check(settings).map_err(|setting| ConfigError::invalid(path, setting))?;
        }
        Ok(checked)
    }

    /// Passes checked settings to the member.
    pub fn reload(&mut self, checked: CheckedSettings) {
        if let (Some(handle), Some(settings)) = (&mut self.0, checked.0) {
            handle.reload(settings);
        }
    }

    /// Pauses the member while there is a newer process of this edge proxy, which then runs the member
    /// instead, and resumes it when there is none.
    pub fn set_newer_process(&mut self, has_newer: bool) {
        let Some(handle) = &mut self.0 else { return };
        if has_newer {
            handle.pause();
        } else {
            handle.resume();
        }
    }

    /// Notifies the member that the shutdown has begun.
    pub fn stop(&mut self) {
        self.0.iter_mut().for_each(Handle::stop);
    }

    /// Waits until the member has ended.
    pub fn finish(&mut self) {
        self.0.iter_mut().for_each(Handle::join);
    }

    /// Returns the state that the member last published, as JSON; `None` if the edge proxy belongs to no
    /// federation.
    pub fn json(&self) -> Option<String> {
        let view = self.0.as_ref()?.view();
        Some(serde_json::to_string_pretty(&*view).unwrap_or_default() + "\n")
    }

    /// Passes each of the member's metrics to `line`, as key and value.
    pub fn metrics(&self, line: &mut impl FnMut(&str, u64)) {
        let Some(handle) = &self.0 else { return };
        let view = handle.view();
        for (key, value) in [
            ("halted", u64::from(view.halted.is_some())),
            ("term", view.term.get()),
            ("leader", view.leader.get()),
            ("committed", view.committed.get()),
            ("applied", view.applied.get()),
            ("revision", view.revision),
            ("members", view.members.len() as u64),
            ("connected", view.members.iter().filter(|member| member.connected).count() as u64),
            ("elections", view.elections),
            ("dropped", view.dropped),
            ("refused", view.refused),
            ("slowest_save_us", view.slowest_save_us),
        ] {
            line(&format!("federation.{key}"), value);
        }
    }
}

//! The thin tie to the federation: the edge proxy's loop starts its member, tells it of reloads, of a newer process and of
//! the end, and words what it last published. It never waits for it. Without the cargo feature, or without a file, there is
//! nothing here.

#[cfg(feature = "federation")]
pub(super) use on::FederationHandle;

#[cfg(not(feature = "federation"))]
pub(super) use off::FederationHandle;

#[cfg(feature = "federation")]
mod on {
    use crate::config::{ConfigError, Files};
    use crate::federation::runtime::Handle;
    use crate::federation::settings::FederationSettings;
    use std::io;

    /// The edge proxy's member, where it is one.
    #[derive(Default)]
    pub(crate) struct FederationHandle(Option<Handle>);

    /// A file that can be taken over.
    pub(crate) struct CheckedSettings(Option<FederationSettings>);

    impl FederationHandle {
        /// Reads the file, if there is one.
        pub fn read(files: &Files) -> Result<CheckedSettings, ConfigError> {
            files.federation.as_deref().map(FederationSettings::read).transpose().map(CheckedSettings)
        }

        /// Starts the member.
        pub fn start(CheckedSettings(settings): CheckedSettings, seed: u64) -> io::Result<Self> {
            settings.map(|settings| Handle::start(settings, seed)).transpose().map(FederationHandle)
        }

        /// Whether a new file can be taken over in service.
        pub fn check(&self, files: &Files) -> Result<CheckedSettings, ConfigError> {
            let checked = Self::read(files)?;
            if let (Some(handle), Some(settings), Some(path)) = (&self.0, &checked.0, &files.federation) {
                let fixed = |setting| ConfigError::invalid(path, setting);
                handle.check(settings).map_err(fixed)?;
            }
            Ok(checked)
        }

        pub fn reload(&mut self, checked: CheckedSettings) {
            if let (Some(handle), Some(settings)) = (&mut self.0, checked.0) {
                handle.reload(settings);
            }
        }

        /// A newer process of this edge proxy is there, or it is gone.
        pub fn newer(&mut self, there: bool) {
            let Some(handle) = &mut self.0 else { return };
            if there {
                handle.pause();
            } else {
                handle.resume();
            }
        }

        pub fn stop(&mut self) {
            self.0.iter_mut().for_each(Handle::stop);
        }

        pub fn finish(&mut self) {
            self.0.iter_mut().for_each(Handle::join);
        }

        /// What operators are told, as JSON; `None`: this edge proxy belongs to no federation.
        pub fn json(&self) -> Option<String> {
            let view = self.0.as_ref()?.view();
            Some(serde_json::to_string_pretty(&*view).unwrap_or_default() + "\n")
        }

        /// Figures, by key.
        pub fn figures(&self, line: &mut impl FnMut(&str, u64)) {
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
}

#[cfg(not(feature = "federation"))]
mod off {
    use crate::config::{ConfigError, Files};

    /// Nothing.
    #[derive(Default)]
    pub(crate) struct FederationHandle(());

    /// No file.
    pub(crate) struct CheckedSettings(());

    impl FederationHandle {
        pub fn read(_: &Files) -> Result<CheckedSettings, ConfigError> {
            Ok(CheckedSettings(()))
        }

        pub fn start(_: CheckedSettings, _: u64) -> std::io::Result<Self> {
            Ok(FederationHandle(()))
        }

        pub fn check(&self, _: &Files) -> Result<CheckedSettings, ConfigError> {
            Ok(CheckedSettings(()))
        }

        pub fn reload(&mut self, _: CheckedSettings) {}

        pub fn newer(&mut self, _: bool) {}

        pub fn stop(&mut self) {}

        pub fn finish(&mut self) {}

        pub fn json(&self) -> Option<String> {
            None
        }

        pub fn figures(&self, _: &mut impl FnMut(&str, u64)) {}
    }
}

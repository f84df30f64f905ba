//! The reload at SIGHUP: `feed`, `limits`, `settings` and the operator's files take effect at once,
//! everything else at the next start.

use super::budget::ResourceBudget;
use super::federation::CheckedSettings;
use super::signed_endpoint::{route_classes, RouteClass};
use super::{Server, ServerError};
use crate::admission::AdmissionSettings;
use crate::config::settings::{Reconfiguration, SiteSettings};
use crate::config::signed::SignedConfig;
use crate::config::{Config, ConfigError, Files, LoadedFiles, ProcessLimits};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use tracing::{info, warn};

/// Number of reloads since the start, by result.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct ReloadCounters {
    /// The new configuration took effect.
    pub succeeded: u64,
    /// The new configuration was rejected, and the old one stayed in force.
    pub failed: u64,
}

/// A new configuration that has passed all checks.
struct CheckedConfig {
    admission: AdmissionSettings,
    federation: CheckedSettings,
    signed: Option<(Vec<RouteClass>, SignedConfig)>,
    key_paths: BTreeSet<String>,
    limits: ProcessLimits,
    feed: SocketAddr,
    settings: SiteSettings,
    /// Whether some of the changes take effect only at the next start.
    needs_restart: bool,
}

impl Server {
    /// Reads the files again. If one of them is unusable, nothing changes. Open requests are not affected:
    /// the rules under which they were submitted still apply to them.
    pub(super) fn reload(&mut self) {
        let Some(files) = &self.config.files else { return };
        match self.check_files(files) {
            Ok(checked) => {
                self.apply(checked);
                self.reloads.succeeded += 1;
            }
            Err(error) => {
                self.reloads.failed += 1;
                warn!("reload: {error}; the old configuration stays in force");
            }
        }
    }

    /// Applies this process's share of the limits.
    pub(super) fn update_process_share(&mut self) {
        let share = self.handover.process_share();
        self.budget = ResourceBudget::new(&self.config.limits, share.processes);
        self.net.set_limits(self.budget.buffer_limits());
        self.upstream.set_limits(self.budget.pool_limits(&self.config.settings.program));
        self.upstream.close_excess_idle(self.now, &mut self.net, &mut self.deadlines);
        self.core.set_process_share(share.processes as u32, share.position as u32);
    }

    /// Reads and checks all files first, so that [`Server::apply`] cannot fail halfway.
    fn check_files(&self, files: &Files) -> Result<CheckedConfig, ServerError> {
        let admission = files.read_admission()?;
        let federation = self.federation.check(files)?;
        let LoadedFiles { config, signed } = files.read()?;
        if let Some(key) = self.config.key_paths.difference(&config.key_paths).next() {
            return Err(ConfigError::invalid(
                &files.config,
                format!("key {key:?} is missing, but the configuration in force has it"),
            )
            .into());
        }
        let Config { name, listen, limits, feed, key_paths, settings, .. } = config;
        let reconfigured = settings.reconfigure(&self.config.settings);
        let Reconfiguration { settings, needs_restart } =
            reconfigured.map_err(|error| ConfigError::invalid(&files.config, error))?;
        let needs_restart = needs_restart || name != self.config.name || listen != self.config.listen;
        let signed = signed.map(|signed| route_classes(&signed, &settings).map(|routes| (routes, signed)));
        let signed = signed.transpose()?;
        Ok(CheckedConfig { admission, federation, signed, key_paths, limits, feed, settings, needs_restart })
    }

    fn apply(&mut self, checked: CheckedConfig) {
        let CheckedConfig { admission, federation, signed, key_paths, limits, feed, settings, needs_restart } =
            checked;
        self.core.reconfigure(settings.policy.clone());
        self.admission.reconfigure(admission);
        self.federation.reload(federation);
        self.config.update(key_paths, limits, settings);
        self.update_process_share();
        if let (Some(endpoint), Some((routes, signed))) = (&mut self.signed, signed) {
            endpoint.routes = routes;
            endpoint.front.reload(signed);
        }
        info!(
            "reloaded: feed {feed}{}",
            if needs_restart { "; the other changes take effect at the next start" } else { "" }
        );
        self.feed.move_to(self.now, feed, &mut self.net, &mut self.deadlines);
    }
}

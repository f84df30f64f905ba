//! The configuration in force, against which a new one is compared at a reload.

use crate::config::settings::SiteSettings;
use crate::config::{Config, Files, ProcessLimits};
use crate::interface::Span;
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// The configuration in force.
pub(super) struct ActiveConfig {
    /// The files that a reload reads; none in the simulator.
    pub files: Option<Files>,
    /// The name of the edge proxy.
    pub name: String,
    /// The address of the Thrift front.
    pub listen: SocketAddr,
    /// The keys of the configuration file.
    pub keys: BTreeSet<String>,
    /// What the process may use.
    pub limits: ProcessLimits,
    /// The site's settings.
    pub settings: SiteSettings,
}

impl ActiveConfig {
    /// The configuration at the start.
    pub fn new(files: Option<Files>, config: &Config) -> Self {
        ActiveConfig {
            files,
            name: config.name.clone(),
            listen: config.listen,
            keys: config.key_paths.clone(),
            limits: config.limits,
            settings: config.settings.clone(),
        }
    }

    /// Takes over what a reload may change.
    pub fn update(&mut self, keys: BTreeSet<String>, limits: ProcessLimits, settings: SiteSettings) {
        self.keys = keys;
        self.limits = limits;
        self.settings = settings;
    }

    /// Whether rejections may tell clients when to come back.
    pub fn sends_retry_after(&self) -> bool {
        self.settings.policy.limits.retry_after
    }

    /// The longest that a client of any class waits for its answer.
    pub fn max_client_deadline(&self) -> Span {
        let classes = self.settings.program.classes.iter();
        classes.map(|class| class.client_deadline).max().unwrap_or(Span::ZERO)
    }
}

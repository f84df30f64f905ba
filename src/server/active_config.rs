//! The configuration in force, with which a reload compares a new one.

use crate::config::settings::SiteSettings;
use crate::config::{Config, Files, ProcessLimits};
use crate::interface::Span;
use std::collections::BTreeSet;
use std::net::SocketAddr;

pub(super) struct ActiveConfig {
    /// The files that a reload reads; `None` in the simulator.
    pub files: Option<Files>,
    /// Name of the edge proxy; a change takes effect at the next start.
    pub name: String,
    /// Address of the Thrift front; a change takes effect at the next start.
    pub listen: SocketAddr,
    /// Keys present in the configuration file. A reload fails if one of them is missing.
    pub key_paths: BTreeSet<String>,
    /// Limits on memory and descriptors.
    pub limits: ProcessLimits,
    /// The site's settings: policy and program.
    pub settings: SiteSettings,
}

impl ActiveConfig {
    /// Returns the configuration as it is at the start.
    pub fn new(files: Option<Files>, config: &Config) -> Self {
        ActiveConfig {
            files,
            name: config.name.clone(),
            listen: config.listen,
            key_paths: config.key_paths.clone(),
            limits: config.limits,
            settings: config.settings.clone(),
        }
    }

    /// Replaces the parts that a reload may change.
    pub fn update(&mut self, key_paths: BTreeSet<String>, limits: ProcessLimits, settings: SiteSettings) {
        self.key_paths = key_paths;
        self.limits = limits;
        self.settings = settings;
    }

    /// Whether rejections include a Retry-After time.
    pub fn sends_retry_after(&self) -> bool {
        self.settings.policy.limits.retry_after
    }

    /// Returns the longest client deadline of the classes in use; zero if there are none. Those that a reload has retired
    /// do not count, although requests of theirs may still be open.
    pub fn max_client_deadline(&self) -> Span {
        let classes = self.settings.program.classes.iter().filter(|class| !class.retired);
        classes.map(|class| class.client_deadline).max().unwrap_or(Span::ZERO)
    }
}

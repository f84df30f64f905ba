//! The handle without the cargo feature `federation`; it does nothing.

use crate::config::{ConfigError, Files};
use std::io;

/// The handle of an edge proxy that has no member.
#[derive(Default)]
pub(in crate::server) struct FederationHandle {}

/// The result of a check that reads no file.
pub(in crate::server) struct CheckedSettings;

impl FederationHandle {
    /// Reads no file.
    pub fn read(_: &Files) -> Result<CheckedSettings, ConfigError> {
        Ok(CheckedSettings)
    }

    /// Starts no member.
    pub fn start(_: CheckedSettings, _: u64) -> io::Result<Self> {
        Ok(FederationHandle {})
    }

    /// Reads no file.
    pub fn check(&self, _: &Files) -> Result<CheckedSettings, ConfigError> {
        Ok(CheckedSettings)
    }

    /// Does nothing.
    pub fn reload(&mut self, _: CheckedSettings) {}

    /// Does nothing.
    pub fn set_newer_process(&mut self, _: bool) {}

    /// Does nothing.
    pub fn stop(&mut self) {}

    /// Does nothing.
    pub fn finish(&mut self) {}

    /// Returns `None`, since the edge proxy belongs to no federation.
    pub fn json(&self) -> Option<String> {
        None
    }

    /// Reports no metrics.
    pub fn metrics(&self, _: &mut impl FnMut(&str, u64)) {}
}

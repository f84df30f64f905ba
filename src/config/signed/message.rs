//! The operator's file of the second front as it is written in TOML, and the checks of its values.

use super::error::SignedConfigError;
use super::keys::KeyMessage;
use super::Route;
use serde::Deserialize;
use std::collections::BTreeSet;
use std::net::SocketAddr;

const DEFAULT_HEAD_TIMEOUT_MS: u64 = 5_000;
const DEFAULT_IDLE_TIMEOUT_MS: u64 = 30_000;

const SCHEMES: [&str; 2] = ["http", "https"];
/// The segment of a route's path that stands for the object.
const OBJECT_SEGMENT: &str = "{object}";
/// The segments of a route's path that stand for a value.
const VALUE_SEGMENTS: [&str; 3] = ["{group}", OBJECT_SEGMENT, "{part}"];

/// The whole file.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct SignedMessage {
    pub listen: SocketAddr,
    pub scheme: String,
    pub hosts: Vec<String>,
    #[serde(default)]
    pub audience: Vec<String>,
    #[serde(default = "default_head_timeout_ms")]
    pub head_timeout_ms: u64,
    #[serde(default = "default_idle_timeout_ms")]
    pub idle_timeout_ms: u64,
    pub key: Vec<KeyMessage>,
    pub route: Vec<Route>,
}

impl SignedMessage {
    /// Reads the file's text.
    pub fn parse(text: Vec<u8>) -> Result<Self, SignedConfigError> {
        let text = String::from_utf8(text).map_err(|_| SignedConfigError::NotUtf8)?;
        Ok(toml::from_str(&text)?)
    }

    /// Checks the values, but for keys and routes.
    pub fn check_scheme_and_hosts(&self) -> Result<(), SignedConfigError> {
        if !SCHEMES.contains(&self.scheme.as_str()) {
            return Err(SignedConfigError::Scheme(self.scheme.clone()));
        }
        let is_valid = |host: &String| !host.is_empty() && *host == host.to_ascii_lowercase();
        if self.hosts.is_empty() || !self.hosts.iter().all(is_valid) {
            return Err(SignedConfigError::Hosts);
        }
        Ok(())
    }
}

/// Checks that each route names one object, and nothing twice.
pub(super) fn check_routes(routes: &[Route]) -> Result<(), SignedConfigError> {
    match routes.iter().find(|route| !is_usable(&route.path)) {
        Some(route) => Err(SignedConfigError::Route(route.path.clone())),
        None => Ok(()),
    }
}

fn is_usable(path: &str) -> bool {
    let mut seen = BTreeSet::new();
    let mut values = path.split('/').filter(|segment| VALUE_SEGMENTS.contains(segment));
    let no_value_twice = values.all(|segment| seen.insert(segment));
    path.starts_with('/') && no_value_twice && seen.contains(OBJECT_SEGMENT)
}

fn default_head_timeout_ms() -> u64 {
    DEFAULT_HEAD_TIMEOUT_MS
}

fn default_idle_timeout_ms() -> u64 {
    DEFAULT_IDLE_TIMEOUT_MS
}

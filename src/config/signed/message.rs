//! The operator's file for the signed front as it is written in TOML, and the checks of its values.

use super::error::SignedConfigError;
use super::keys::KeyMessage;
use super::Route;
use serde::Deserialize;
use std::collections::BTreeSet;
use std::net::SocketAddr;

const DEFAULT_HEAD_TIMEOUT_MS: u64 = 5_000;
const DEFAULT_IDLE_TIMEOUT_MS: u64 = 30_000;

const SCHEMES: [&str; 2] = ["http", "https"];
/// The segment of a route's path in whose place a request names the object.
const OBJECT_SEGMENT: &str = "{object}";
/// The segments of a route's path in whose place a request states a value.
const VALUE_SEGMENTS: [&str; 3] = ["{group}", OBJECT_SEGMENT, "{part}"];

/// The whole file as it is parsed.
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
    /// Parses the text of the file.
    pub fn parse(text: Vec<u8>) -> Result<Self, SignedConfigError> {
        let text = String::from_utf8(text).map_err(|_| SignedConfigError::NotUtf8)?;
        Ok(toml::from_str(&text)?)
    }

    /// Checks that the scheme is http or https, and that there are hosts and all are in lower case.
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

/// Checks that the path of each route begins with `/`, has one segment for the object, and has no value segment twice.
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

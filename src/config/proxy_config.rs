//! PROXY_CONFIG, the platform's configuration of an edge proxy: its form and its checks.

use super::error::ConfigParseError;
use super::events::FeedBatch;
use super::key_paths::key_paths;
use super::settings::{ProgramSettings, SiteSettings};
use super::{read_file, ConfigError};
use serde::Deserialize;
use serde_json::Value;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::Path;

const HEXADECIMAL: u32 = 16;

/// What the process may use.
#[derive(Clone, Copy, Debug, Deserialize)]
pub struct ProcessLimits {
    /// Memory, in MB.
    pub memory_mb: u64,
    /// File descriptors.
    pub sockets: usize,
}

/// The configuration as it is written in JSON.
#[derive(Deserialize)]
struct ConfigMessage {
    name: String,
    listen: SocketAddr,
    seed: String,
    limits: ProcessLimits,
    feed: SocketAddr,
    #[serde(default)]
    flow_bytes_per_s: f64,
    #[serde(default)]
    admin: Option<SocketAddr>,
    known: FeedBatch,
    settings: Value,
}

/// PROXY_CONFIG, read and checked.
#[derive(Debug)]
pub struct Config {
    /// The edge proxy's name.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// The seed of the random numbers.
    pub seed: u64,
    /// What the process may use.
    pub limits: ProcessLimits,
    /// The address of the control feed.
    pub feed: SocketAddr,
    /// The address of the admin endpoint, which is off without it.
    pub admin: Option<SocketAddr>,
    /// The control feed's events up to the start.
    pub initial_events: FeedBatch,
    /// The settings of the decision module and of the program around it.
    pub settings: SiteSettings,
    /// The paths of its keys: a new file that lacks one of them was not written completely.
    pub key_paths: BTreeSet<String>,
}

impl Config {
    /// Reads a configuration file.
    ///
    /// # Errors
    ///
    /// A file that cannot be read or used.
    pub fn read(path: &Path) -> Result<Self, ConfigError> {
        let text = read_file(path)?;
        Self::parse(&text).map_err(|error| ConfigError::invalid(path, error))
    }

    /// Reads a configuration.
    ///
    /// # Errors
    ///
    /// What is wrong, and at which key.
    pub fn parse(text: &[u8]) -> Result<Self, ConfigParseError> {
        let mut json = serde_json::Deserializer::from_slice(text);
        let message: ConfigMessage = serde_path_to_error::deserialize(&mut json)?;
        json.end()?;
        let seed = parse_seed(&message.seed)?;
        let mut settings = SiteSettings::parse(message.settings.to_string().as_bytes())?;
        settings.program.transfer_bytes_per_s = message.flow_bytes_per_s;
        settings.policy.check()?;
        check_class_names(&settings.program)?;
        let key_paths = key_paths(&serde_json::from_slice(text)?);
        let ConfigMessage { name, listen, limits, feed, admin, known, .. } = message;
        Ok(Config { name, listen, seed, limits, feed, admin, initial_events: known, settings, key_paths })
    }
}

fn parse_seed(text: &str) -> Result<u64, ConfigParseError> {
    u64::from_str_radix(text, HEXADECIMAL).map_err(|_| ConfigParseError::Seed(text.to_owned()))
}

/// Clients state a class by its name.
fn check_class_names(program: &ProgramSettings) -> Result<(), ConfigParseError> {
    if program.class_names().any(str::is_empty) {
        return Err(ConfigParseError::UnnamedClass);
    }
    let mut seen = BTreeSet::new();
    match program.class_names().find(|name| !seen.insert(*name)) {
        Some(name) => Err(ConfigParseError::DuplicateClass(name.to_owned())),
        None => Ok(()),
    }
}

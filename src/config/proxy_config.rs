//! PROXY_CONFIG, the platform's configuration of an edge proxy: its JSON form and its checks.

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

/// The resources that the process may use.
#[derive(Clone, Copy, Debug, Deserialize)]
pub struct ProcessLimits {
    /// Maximum memory, in MB.
    pub memory_mb: u64,
    /// Maximum number of file descriptors.
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
    /// The edge proxy's name; a change takes effect only at the next start.
    pub name: String,
    /// The address at which clients connect; a change takes effect only at the next start.
    pub listen: SocketAddr,
    /// The seed of the router's random numbers.
    pub seed: u64,
    /// The resources that the process may use.
    pub limits: ProcessLimits,
    /// The address of the control feed.
    pub feed: SocketAddr,
    /// The address of the admin endpoint; `None` turns the endpoint off.
    pub admin: Option<SocketAddr>,
    /// The control feed's events that were known when the file was written.
    pub initial_events: FeedBatch,
    /// The settings of the decision module and the program around it.
    pub settings: SiteSettings,
    /// The paths of the file's keys. A newer file that lacks one of them was not written completely.
    pub key_paths: BTreeSet<String>,
}

impl Config {
    /// Reads and checks a configuration file.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be read or used.
    pub fn read(path: &Path) -> Result<Self, ConfigError> {
        let text = read_file(path)?;
        Self::parse(&text).map_err(|error| ConfigError::invalid(path, error))
    }

    /// Parses and checks the text of a configuration.
    ///
    /// # Errors
    ///
    /// Returns what is wrong, and at which key.
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

/// Checks that each class has a name of its own, since clients choose a class by its name.
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

//! What the edge proxy is told at its start: the platform's PROXY_CONFIG, and the settings in it.

pub mod events;
pub mod located;
pub mod settings;
pub mod signed;

use serde::Deserialize;
use serde_json::Value;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// Why a configuration cannot be used; its text is one plain line.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// A file cannot be read.
    #[error("{path}: {error}")]
    Read {
        /// The file.
        path: String,
        /// Why.
        error: std::io::Error,
    },
    /// A file is not in its form.
    #[error("{path}: {text}")]
    Form {
        /// The file.
        path: String,
        /// What is wrong, and where.
        text: String,
    },
}

impl ConfigError {
    /// A file that is not in its form; the text is kept to one line.
    pub fn form(path: &Path, text: impl ToString) -> Self {
        let text = text.to_string().split_whitespace().collect::<Vec<_>>().join(" ");
        ConfigError::Form { path: path.display().to_string(), text }
    }
}

/// What the process may use.
#[derive(Clone, Copy, Debug, Deserialize)]
pub struct ProcessLimits {
    /// Memory, in MB.
    pub memory_mb: u64,
    /// File descriptors.
    pub sockets: usize,
}

#[derive(Deserialize)]
struct Wire {
    name: String,
    listen: SocketAddr,
    seed: String,
    limits: ProcessLimits,
    feed: SocketAddr,
    #[serde(default)]
    flow_bytes_per_s: f64,
    #[serde(default)]
    admin: Option<SocketAddr>,
    known: events::FeedBatch,
    settings: Value,
}

/// PROXY_CONFIG, read and checked.
#[derive(Debug)]
pub struct Config {
    /// The edge proxy's name.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// For random numbers.
    pub seed: u64,
    /// What the process may use.
    pub limits: ProcessLimits,
    /// Where the control feed listens.
    pub feed: SocketAddr,
    /// Where operators' calls are taken, which is off without it.
    pub admin: Option<SocketAddr>,
    /// The control feed's events up to the start.
    pub known: events::FeedBatch,
    /// The settings of the decision module, and the names that go with them.
    pub settings: settings::SiteSettings,
    /// The keys that it has, by their paths: a new file that lacks one of them was not written whole.
    pub keys: BTreeSet<String>,
}

impl Config {
    /// Reads a configuration file.
    ///
    /// # Errors
    ///
    /// A file that cannot be read or used.
    pub fn read(path: &Path) -> Result<Self, ConfigError> {
        let text = read(path)?;
        Self::parse(&text).map_err(|text| ConfigError::form(path, text))
    }

    /// Reads a configuration.
    ///
    /// # Errors
    ///
    /// What is wrong, in one line.
    pub fn parse(text: &[u8]) -> Result<Self, String> {
        let mut json = serde_json::Deserializer::from_slice(text);
        let wire: Wire = serde_path_to_error::deserialize(&mut json).map_err(|e| e.to_string())?;
        json.end().map_err(|e| e.to_string())?;
        let seed =
            u64::from_str_radix(&wire.seed, 16).map_err(|_| format!("seed: {:?} is not hex", wire.seed))?;
        let mut settings = settings::parse(wire.settings.to_string().as_bytes())?;
        settings.names.flow_bytes_per_s = wire.flow_bytes_per_s;
        settings.settings.check().map_err(|e| format!("settings: {e}"))?;
        if settings.names.classes.iter().any(String::is_empty) {
            return Err("settings: a class has no name".into());
        }
        let classes = &settings.names.classes;
        if let Some(twice) = classes.iter().enumerate().find(|(i, name)| classes[..*i].contains(name)) {
            return Err(format!("settings: class {:?} comes twice", twice.1));
        }
        let keys = keys(&serde_json::from_slice(text).map_err(|e| e.to_string())?);
        let Wire { name, listen, limits, feed, admin, known, .. } = wire;
        Ok(Config { name, listen, seed, limits, feed, admin, known, settings, keys })
    }
}

/// The keys of the configuration that may come and go.
const OPTIONAL: [&str; 3] = ["admin", "known", "aim_stretch"];

/// The paths of an object's keys. Of a list, they are those that all its objects have.
fn keys(value: &Value) -> BTreeSet<String> {
    let below = |name: &str, value| keys(value).into_iter().map(|key| format!("{name}.{key}")).collect();
    match value {
        Value::Object(map) => {
            let fixed = map.iter().filter(|(name, _)| !OPTIONAL.contains(&name.as_str()));
            fixed
                .flat_map(|(name, value)| [below(name, value), BTreeSet::from([name.clone()])])
                .flatten()
                .collect()
        }
        Value::Array(list) => {
            let all = list.iter().map(keys).reduce(|all, one| &all & &one);
            all.unwrap_or_default()
        }
        _ => BTreeSet::new(),
    }
}

/// The files that a configuration comes from, at the start and at each SIGHUP.
#[derive(Clone, Debug)]
pub struct Files {
    /// PROXY_CONFIG.
    pub config: PathBuf,
    /// The operator's file of the second front, which is off without it.
    pub signed: Option<PathBuf>,
    /// PROXY_ADMIN: where operators' calls are taken, whatever the configuration says.
    pub admin: Option<SocketAddr>,
    /// PROXY_ADMISSION: the operator's admission file, in HCL; every connection is taken without it.
    pub admission: Option<PathBuf>,
    /// PROXY_FEDERATION: the operator's file of the federation, in HCL; off without it.
    pub federation: Option<PathBuf>,
}

impl Files {
    /// Reads and checks them all.
    ///
    /// # Errors
    ///
    /// A file that cannot be read or used.
    pub fn read(&self) -> Result<(Config, Option<signed::SignedConfig>), ConfigError> {
        let signed = self.signed.as_deref().map(signed::SignedConfig::read).transpose()?;
        let config = Config::read(&self.config)?;
        Ok((Config { admin: self.admin.or(config.admin), ..config }, signed))
    }

    /// Reads and checks the admission file; without one, admission is off.
    ///
    /// # Errors
    ///
    /// A file that cannot be read, is not HCL, or holds a value out of its range.
    pub fn admission(&self) -> Result<crate::admission::AdmissionSettings, ConfigError> {
        let Some(path) = &self.admission else { return Ok(crate::admission::AdmissionSettings::disabled()) };
        let text = read(path)?;
        let text = String::from_utf8(text).map_err(|_| ConfigError::form(path, "not UTF-8"))?;
        crate::admission::AdmissionSettings::parse(&text).map_err(|error| ConfigError::form(path, error))
    }
}

/// Reads a file.
///
/// # Errors
///
/// A file that cannot be read.
pub fn read(path: &Path) -> Result<Vec<u8>, ConfigError> {
    let file = || path.display().to_string();
    std::fs::read(path).map_err(|error| ConfigError::Read { path: file(), error })
}

#[cfg(test)]
mod tests;

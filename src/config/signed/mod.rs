//! The operator's file of the second front: where it listens, its keys, and what its paths name.
//!
//! - `message`: the file as it is written in TOML, and the checks of its values.
//! - `keys`: the keys, read from their files.
//! - `error`: why the file cannot be used.

mod error;
mod keys;
mod message;

use super::{read_file, ConfigError};
use crate::interface::Span;
use error::SignedConfigError;
use keys::KeyMessage;
pub use keys::{Algorithm, Key, Secret, BASE64};
use message::SignedMessage;
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::Path;

/// What the paths of one form name.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// The path's form: literal segments and `{group}`, `{object}` and `{part}`.
    pub path: String,
    /// The class's name.
    pub class: String,
    /// The group where the path names none.
    #[serde(default)]
    pub group: u32,
    /// The client's timeout in milliseconds; absent: the class's deadline.
    pub patience_ms: Option<u64>,
}

/// The operator's file, read and checked.
#[derive(Clone, Debug)]
pub struct SignedConfig {
    /// Where clients connect.
    pub listen: SocketAddr,
    /// The scheme of the links, which a terminator in front of this program may speak.
    pub scheme: String,
    /// The hosts of the links.
    pub hosts: Vec<String>,
    /// What `aud` of a token may name.
    pub audience: Vec<String>,
    /// How long a head may take to come.
    pub head_timeout: Span,
    /// How long a connection may be idle.
    pub idle_timeout: Span,
    /// The keys.
    pub keys: Vec<Key>,
    /// What paths name, the first that fits.
    pub routes: Vec<Route>,
}

impl SignedConfig {
    /// Reads an operator's file and the key files that it names, relative to its folder.
    ///
    /// # Errors
    ///
    /// A file that cannot be read or used.
    pub fn read(path: &Path) -> Result<Self, ConfigError> {
        let invalid = |error: SignedConfigError| ConfigError::invalid(path, error);
        let message = SignedMessage::parse(read_file(path)?).map_err(invalid)?;
        message.check_scheme_and_hosts().map_err(invalid)?;
        let keys = read_keys(path, message.key)?;
        message::check_routes(&message.route).map_err(invalid)?;
        Ok(SignedConfig {
            listen: message.listen,
            scheme: message.scheme,
            hosts: message.hosts,
            audience: message.audience,
            head_timeout: Span::from_millis(message.head_timeout_ms as i64),
            idle_timeout: Span::from_millis(message.idle_timeout_ms as i64),
            keys,
            routes: message.route,
        })
    }
}

/// Reads the keys that the operator's file at `path` names.
fn read_keys(path: &Path, messages: Vec<KeyMessage>) -> Result<Vec<Key>, ConfigError> {
    let folder = path.parent().unwrap_or(Path::new("."));
    let mut keys: Vec<Key> = Vec::with_capacity(messages.len());
    for message in messages {
        if keys.iter().any(|known| known.name == message.name) {
            return Err(ConfigError::invalid(path, SignedConfigError::DuplicateKey(message.name)));
        }
        keys.push(Key::read(folder, message)?);
    }
    Ok(keys)
}

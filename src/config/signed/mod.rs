//! The operator's file for the signed front, which serves signed URLs and tokens over HTTP/1.1: its address, its keys,
//! and its routes.
//!
//! - `message`: the file as it is written in TOML, and the checks of its values.
//! - `keys`: the keys, read from their files.
//! - `error`: errors of files that cannot be used.

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

/// Maps the paths of one form to a class and a group.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// The form of the path: literal segments, and the segments `{group}`, `{object}` and `{part}` for values.
    pub path: String,
    /// Name of the class of the requests.
    pub class: String,
    /// The object's group if the path has no `{group}`.
    #[serde(default)]
    pub group: u32,
    /// How long the client waits, in milliseconds; `None` means the class's deadline.
    pub patience_ms: Option<u64>,
}

/// The operator's file for the signed front, read and checked.
#[derive(Clone, Debug)]
pub struct SignedConfig {
    /// The address at which clients connect.
    pub listen: SocketAddr,
    /// The scheme of the signed URLs: http, or https if a TLS terminator in front of this program accepts the clients.
    pub scheme: String,
    /// The hosts of the signed URLs, in lower case.
    pub hosts: Vec<String>,
    /// The accepted values of a token's `aud`.
    pub audience: Vec<String>,
    /// Time within which a request head must arrive.
    pub head_timeout: Span,
    /// Idle time after which a connection is closed.
    pub idle_timeout: Span,
    /// The keys that verify signed URLs and tokens; their names are distinct.
    pub keys: Vec<Key>,
    /// The routes; the first one that matches a path is used.
    pub routes: Vec<Route>,
}

impl SignedConfig {
    /// Reads and checks an operator's file and the key files that it names, relative to its folder.
    ///
    /// # Errors
    ///
    /// Returns an error if a file cannot be read or used.
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

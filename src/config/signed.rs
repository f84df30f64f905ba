//! The operator's file of the second front: where it listens, its keys, and what its paths name.

use super::{read, ConfigError};
use crate::interface::Span;
use base64::engine::general_purpose::{GeneralPurpose, GeneralPurposeConfig};
use base64::engine::DecodePaddingMode;
use base64::{alphabet, Engine};
use serde::Deserialize;
use std::fmt;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// Base64 of the URL alphabet, read with its padding or without, written with it.
pub const BASE64: GeneralPurpose = GeneralPurpose::new(
    &alphabet::URL_SAFE,
    GeneralPurposeConfig::new().with_decode_padding_mode(DecodePaddingMode::Indifferent),
);
/// A secret of fewer bytes can be guessed; the published form of signed URLs has 16.
const LEAST_SECRET: usize = 16;

/// Bytes that no log and no error shows.
#[derive(Clone, PartialEq, Eq)]
pub struct Secret(pub Vec<u8>);

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str("Secret(..)")
    }
}

/// What a key is for, and its one algorithm.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
pub enum Algorithm {
    /// Signed URLs, HMAC with SHA-1: the published form.
    #[serde(rename = "url-hmac-sha1")]
    UrlSha1,
    /// Signed URLs, HMAC with SHA-256.
    #[serde(rename = "url-hmac-sha256")]
    UrlSha256,
    /// Tokens, HMAC with SHA-256.
    #[serde(rename = "HS256")]
    Hs256,
    /// Tokens, ECDSA on P-256 with SHA-256.
    #[serde(rename = "ES256")]
    Es256,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct WireKey {
    name: String,
    algorithm: Algorithm,
    secret_file: Option<PathBuf>,
    public_file: Option<PathBuf>,
    private_file: Option<PathBuf>,
    #[serde(default)]
    issuers: Vec<String>,
}

/// A key as it was read.
#[derive(Clone, Debug)]
pub struct Key {
    /// Its name: `KeyName` of a signed URL, `kid` of a token.
    pub name: String,
    /// Its one algorithm.
    pub algorithm: Algorithm,
    /// What checks: the secret, or the public key as PEM.
    pub checks: Secret,
    /// What signs: the secret, or the private key as PEM, if it is here.
    pub signs: Option<Secret>,
    /// Who may issue tokens under it; empty: tokens name no issuer.
    pub issuers: Vec<String>,
}

/// What the paths of one form name.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// The form, of literal segments and `{group}`, `{object}` and `{part}`.
    pub path: String,
    /// The class's name.
    pub class: String,
    /// The group where the path names none.
    #[serde(default)]
    pub group: u32,
    /// How long an answer is waited for, in milliseconds; absent: the class's deadline.
    pub patience_ms: Option<u64>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Wire {
    listen: SocketAddr,
    scheme: String,
    hosts: Vec<String>,
    #[serde(default)]
    audience: Vec<String>,
    #[serde(default = "head_ms")]
    head_timeout_ms: u64,
    #[serde(default = "idle_ms")]
    idle_timeout_ms: u64,
    key: Vec<WireKey>,
    route: Vec<Route>,
}

fn head_ms() -> u64 {
    5_000
}

fn idle_ms() -> u64 {
    30_000
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
        let text = read(path)?;
        let bad = |text: String| ConfigError::form(path, text);
        let text = String::from_utf8(text).map_err(|_| bad("not UTF-8".into()))?;
        let wire: Wire = toml::from_str(&text).map_err(|e| bad(e.to_string()))?;
        if !matches!(wire.scheme.as_str(), "http" | "https") {
            return Err(bad(format!("scheme {:?} is neither http nor https", wire.scheme)));
        }
        if wire.hosts.is_empty() || wire.hosts.iter().any(|h| h.is_empty() || *h != h.to_ascii_lowercase()) {
            return Err(bad("hosts must be named in lower case".into()));
        }
        let folder = path.parent().unwrap_or(Path::new("."));
        let mut keys: Vec<Key> = Vec::with_capacity(wire.key.len());
        for key in wire.key {
            if keys.iter().any(|known| known.name == key.name) {
                return Err(bad(format!("key {:?} is there twice", key.name)));
            }
            keys.push(load(folder, key)?);
        }
        for route in &wire.route {
            let names = |word: &str| route.path.split('/').filter(|segment| *segment == word).count();
            let twice = ["{group}", "{object}", "{part}"].iter().any(|word| names(word) > 1);
            if !route.path.starts_with('/') || names("{object}") != 1 || twice {
                return Err(bad(format!("route {:?} names no object, or something twice", route.path)));
            }
        }
        Ok(SignedConfig {
            listen: wire.listen,
            scheme: wire.scheme,
            hosts: wire.hosts,
            audience: wire.audience,
            head_timeout: Span::from_millis(wire.head_timeout_ms as i64),
            idle_timeout: Span::from_millis(wire.idle_timeout_ms as i64),
            keys,
            routes: wire.route,
        })
    }
}

fn load(folder: &Path, key: WireKey) -> Result<Key, ConfigError> {
    let WireKey { name, algorithm, secret_file, public_file, private_file, issuers } = key;
    let file = |file: &Option<PathBuf>| file.as_ref().map(|file| folder.join(file));
    let lacks = |what: &str| ConfigError::form(folder, format!("key {name:?} names no {what}"));
    let (checks, signs) = match algorithm {
        Algorithm::Es256 => {
            let public = file(&public_file).ok_or_else(|| lacks("public_file"))?;
            let private = file(&private_file).map(|file| read(&file)).transpose()?;
            (Secret(read(&public)?), private.map(Secret))
        }
        _ => {
            let path = file(&secret_file).ok_or_else(|| lacks("secret_file"))?;
            let text = read(&path)?;
            let bytes = BASE64
                .decode(text.trim_ascii())
                .map_err(|_| ConfigError::form(&path, "the secret is no base64url"))?;
            if bytes.len() < LEAST_SECRET {
                let text = format!("the secret has under {LEAST_SECRET} bytes");
                return Err(ConfigError::form(&path, text));
            }
            (Secret(bytes.clone()), Some(Secret(bytes)))
        }
    };
    Ok(Key { name, algorithm, checks, signs, issuers })
}

//! The keys of the signed front, which are read from their files.

use super::error::SignedConfigError;
use crate::config::{read_file, ConfigError};
use base64::engine::general_purpose::{GeneralPurpose, GeneralPurposeConfig};
use base64::engine::DecodePaddingMode;
use base64::{alphabet, Engine};
use serde::Deserialize;
use std::fmt;
use std::path::{Path, PathBuf};

/// Base64 with the URL-safe alphabet. Padding is optional in input and written in output.
pub const BASE64: GeneralPurpose = GeneralPurpose::new(
    &alphabet::URL_SAFE,
    GeneralPurposeConfig::new().with_decode_padding_mode(DecodePaddingMode::Indifferent),
);
/// Length of the secrets in the published form of signed URLs; shorter secrets are rejected.
const MIN_SECRET_BYTES: usize = 16;

/// Secret bytes; their debug form hides them, so that no log line and no error shows them.
#[derive(Clone, PartialEq, Eq)]
pub struct Secret(pub Vec<u8>);

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str("Secret(..)")
    }
}

/// The purpose of a key, and the only algorithm that it is used with.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
pub enum Algorithm {
    /// Signed URLs, HMAC with SHA-1, which is the published form.
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

/// A key as the operator's file states it.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct KeyMessage {
    pub name: String,
    pub algorithm: Algorithm,
    pub secret_file: Option<PathBuf>,
    pub public_file: Option<PathBuf>,
    pub private_file: Option<PathBuf>,
    #[serde(default)]
    pub issuers: Vec<String>,
}

/// A key, with the contents of its files.
#[derive(Clone, Debug)]
pub struct Key {
    /// The key's name, as in `KeyName` of a signed URL and `kid` of a token.
    pub name: String,
    /// The only algorithm that the key is used with.
    pub algorithm: Algorithm,
    /// What verifies signatures: the secret, or the public key as PEM.
    pub verification_key: Secret,
    /// What makes signatures: the secret, or the private key as PEM; `None` if the file names no private key.
    pub signing_key: Option<Secret>,
    /// Who may issue tokens with this key; empty if its tokens state no issuer.
    pub issuers: Vec<String>,
}

impl Key {
    /// Reads the files of a key; their names are relative to the folder of the operator's file.
    pub(super) fn read(folder: &Path, message: KeyMessage) -> Result<Self, ConfigError> {
        let (verification_key, signing_key) = match message.algorithm {
            Algorithm::Es256 => read_key_pair(folder, &message)?,
            Algorithm::UrlSha1 | Algorithm::UrlSha256 | Algorithm::Hs256 => {
                let secret =
                    read_secret(&named_file(folder, &message, "secret_file", &message.secret_file)?)?;
                (secret.clone(), Some(secret))
            }
        };
        let KeyMessage { name, algorithm, issuers, .. } = message;
        Ok(Key { name, algorithm, verification_key, signing_key, issuers })
    }
}

/// Reads the public key, and the private key if the operator's file names one.
fn read_key_pair(folder: &Path, message: &KeyMessage) -> Result<(Secret, Option<Secret>), ConfigError> {
    let public_file = named_file(folder, message, "public_file", &message.public_file)?;
    let private_file = message.private_file.as_ref().map(|file| folder.join(file));
    let private = private_file.map(|file| read_file(&file)).transpose()?;
    Ok((Secret(read_file(&public_file)?), private.map(Secret)))
}

fn read_secret(path: &Path) -> Result<Secret, ConfigError> {
    let text = read_file(path)?;
    let decoded = BASE64.decode(text.trim_ascii());
    let bytes = decoded.map_err(|_| ConfigError::invalid(path, SignedConfigError::SecretEncoding))?;
    if bytes.len() < MIN_SECRET_BYTES {
        let error = SignedConfigError::ShortSecret { min_bytes: MIN_SECRET_BYTES };
        return Err(ConfigError::invalid(path, error));
    }
    Ok(Secret(bytes))
}

/// Returns the path of a file that the key must name.
fn named_file(
    folder: &Path,
    message: &KeyMessage,
    setting: &'static str,
    file: &Option<PathBuf>,
) -> Result<PathBuf, ConfigError> {
    let missing = || {
        let error = SignedConfigError::MissingKeyFile { key: message.name.clone(), setting };
        ConfigError::invalid(folder, error)
    };
    file.as_ref().map(|file| folder.join(file)).ok_or_else(missing)
}

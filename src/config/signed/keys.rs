//! The keys of the second front, read from their files.

use super::error::SignedConfigError;
use crate::config::{read_file, ConfigError};
use base64::engine::general_purpose::{GeneralPurpose, GeneralPurposeConfig};
use base64::engine::DecodePaddingMode;
use base64::{alphabet, Engine};
use serde::Deserialize;
use std::fmt;
use std::path::{Path, PathBuf};

/// Base64 of the URL alphabet, read with its padding or without, written with it.
pub const BASE64: GeneralPurpose = GeneralPurpose::new(
    &alphabet::URL_SAFE,
    GeneralPurposeConfig::new().with_decode_padding_mode(DecodePaddingMode::Indifferent),
);
/// The published form of signed URLs has secrets of this length.
const MIN_SECRET_BYTES: usize = 16;

/// Bytes that no log line and no error shows.
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

/// A key as the operator's file names it.
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

/// A key with the contents of its files.
#[derive(Clone, Debug)]
pub struct Key {
    /// Its name: `KeyName` of a signed URL, `kid` of a token.
    pub name: String,
    /// Its one algorithm.
    pub algorithm: Algorithm,
    /// Verifies signatures: the secret, or the public key as PEM.
    pub verification_key: Secret,
    /// Makes signatures: the secret, or the private key as PEM where it is known.
    pub signing_key: Option<Secret>,
    /// Who may issue tokens under it; empty: tokens name no issuer.
    pub issuers: Vec<String>,
}

impl Key {
    /// Reads a key's files, whose names are relative to the folder of the operator's file.
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

/// The public key, and the private key where its file is named.
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

/// The path of a file that a key must name.
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

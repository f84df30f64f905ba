//! Credentials of requests: signed URLs and tokens are verified and issued. Pure: the time is passed in.
//!
//! - `url`: signed URLs and signed prefixes of URLs.
//! - `token`: signed JSON web tokens; `claims`: what a token says.
//! - `error`: why a credential is denied, and why one cannot be issued.

mod claims;
mod error;
mod token;
mod url;

pub use error::{Denial, InvalidCredential, SignError};

use super::uri::Uri;
use crate::config::signed::{Key, SignedConfig};
use crate::interface::UnixTime;

/// The parameter, or the cookie, that holds a token.
pub const TOKEN_PARAMETER: &str = "URISigningPackage";
const MICROS_PER_SEC: f64 = 1e6;
const URL_PREFIX: &str = "URLPrefix";
const EXPIRES: &str = "Expires";
const KEY_NAME: &str = "KeyName";
const SIGNATURE: &str = "Signature";
/// The parameters of a signed URL.
const SIGNED_URL_PARAMETERS: [&str; 4] = [URL_PREFIX, EXPIRES, KEY_NAME, SIGNATURE];

/// The URIs that a token is valid for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TokenScope {
    /// One URI: one object, or one part of it.
    Object(String),
    /// All URIs that begin so: one table.
    Table(String),
}

/// What an issued token says.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Grant {
    /// The URIs that it is valid for.
    pub scope: TokenScope,
    /// When it expires, in Unix seconds.
    pub exp: i64,
    /// When it becomes valid, in Unix seconds.
    pub nbf: Option<i64>,
    /// Who issues it.
    pub iss: Option<String>,
}

/// The keys by which credentials are verified and issued.
pub struct Keyring {
    keys: Vec<Key>,
    audience: Vec<String>,
}

impl Keyring {
    /// The operator's keys.
    pub fn new(config: &SignedConfig) -> Self {
        Keyring { keys: config.keys.clone(), audience: config.audience.clone() }
    }

    /// Verifies the credential of a request. Returns when it expires.
    ///
    /// # Errors
    ///
    /// The request is denied.
    pub fn verify(&self, uri: &Uri, cookie: Option<&str>, now: UnixTime) -> Result<UnixTime, Denial> {
        let is_signed = SIGNED_URL_PARAMETERS.iter().any(|name| uri.parameter(name).is_some());
        match (is_signed, uri.parameter(TOKEN_PARAMETER), cookie) {
            (false, None, None) => Err(Denial::Missing),
            (true, None, None) => self.verify_url(uri, now),
            (false, Some(token), None) => self.verify_token(token, &uri.without(TOKEN_PARAMETER), now),
            (false, None, Some(token)) => self.verify_token(token, uri, now),
            _ => Err(Denial::SeveralCredentials),
        }
    }
}

/// The prefix of all URIs of a table, in normal form.
fn table_uri(url: &str) -> Result<Uri, SignError> {
    let uri = unsigned_uri(url)?;
    if !uri.path.ends_with('/') || !uri.query.is_empty() {
        return Err(SignError::NoTrailingSlash);
    }
    Ok(uri)
}

/// A URI that has no credential yet, in normal form.
fn unsigned_uri(url: &str) -> Result<Uri, SignError> {
    let uri = Uri::parse_absolute(url)?;
    let has_parameter = |name: &&str| uri.parameter(name).is_some();
    if SIGNED_URL_PARAMETERS.iter().chain([&TOKEN_PARAMETER]).any(has_parameter) {
        return Err(SignError::HoldsCredential);
    }
    Ok(uri)
}

/// The Unix time of seconds with a fraction.
fn unix_time(seconds: f64) -> UnixTime {
    UnixTime::from_micros((seconds * MICROS_PER_SEC) as i64)
}

/// The expiry of a credential, if it has not passed.
fn check_expiry(seconds: f64, now: UnixTime) -> Result<UnixTime, Denial> {
    let expires = unix_time(seconds);
    if now >= expires {
        return Err(Denial::Expired);
    }
    Ok(expires)
}

#[cfg(test)]
mod tests;

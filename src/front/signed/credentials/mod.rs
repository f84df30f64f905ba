//! Credentials of requests: verifies and issues signed URLs and tokens. The code does no I/O and reads no
//! clock.
//!
//! - `url`: signed URLs and signed prefixes of URLs.
//! - `token`: signed JSON web tokens; `claims`: the claims of a token.
//! - `error`: errors of verifying and of issuing credentials.

mod claims;
mod error;
mod token;
mod url;

pub use error::{Denial, InvalidCredential, SignError};

use super::uri::Uri;
use crate::config::signed::{Key, SignedConfig};
use crate::interface::UnixTime;

/// The name of the query parameter or cookie that holds a token.
pub const TOKEN_PARAMETER: &str = "URISigningPackage";
const MICROS_PER_SEC: f64 = 1e6;
const URL_PREFIX: &str = "URLPrefix";
const EXPIRES: &str = "Expires";
const KEY_NAME: &str = "KeyName";
const SIGNATURE: &str = "Signature";
/// The query parameters that make up the credential of a signed URL.
const SIGNED_URL_PARAMETERS: [&str; 4] = [URL_PREFIX, EXPIRES, KEY_NAME, SIGNATURE];

/// The URIs for which an issued token is valid.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TokenScope {
    /// Exactly this URI: one object, or one part of it.
    Object(String),
    /// All URIs that begin with this one, which ends in a slash: one table.
    Table(String),
}

/// The contents of a token to be issued.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Grant {
    /// The URIs for which the token is valid.
    pub scope: TokenScope,
    /// When the token expires, in Unix seconds.
    pub exp: i64,
    /// When the token becomes valid, in Unix seconds; `None`: at once.
    pub nbf: Option<i64>,
    /// The issuer; `None` leaves it out.
    pub iss: Option<String>,
}

/// The keys with which credentials are verified and issued.
pub struct Keyring {
    keys: Vec<Key>,
    audience: Vec<String>,
}

impl Keyring {
    /// Creates a keyring with the keys and the audience of the operator's configuration.
    pub fn new(config: &SignedConfig) -> Self {
        Keyring { keys: config.keys.clone(), audience: config.audience.clone() }
    }

    /// Verifies the credential of a request. `cookie` is a token from a cookie. Returns when the credential
    /// expires.
    ///
    /// # Errors
    ///
    /// The request has no credential, more than one, or one that is not valid for `uri` now.
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

/// Returns the prefix of all URIs of a table, in normal form.
fn table_uri(url: &str) -> Result<Uri, SignError> {
    let uri = unsigned_uri(url)?;
    if !uri.path.ends_with('/') || !uri.query.is_empty() {
        return Err(SignError::NoTrailingSlash);
    }
    Ok(uri)
}

/// Returns a URI in normal form, which must not have a credential yet.
fn unsigned_uri(url: &str) -> Result<Uri, SignError> {
    let uri = Uri::parse_absolute(url)?;
    let has_parameter = |name: &&str| uri.parameter(name).is_some();
    if SIGNED_URL_PARAMETERS.iter().chain([&TOKEN_PARAMETER]).any(has_parameter) {
        return Err(SignError::HoldsCredential);
    }
    Ok(uri)
}

/// Converts Unix seconds, which may have a fraction.
fn unix_time(seconds: f64) -> UnixTime {
    UnixTime::from_micros((seconds * MICROS_PER_SEC) as i64)
}

/// Checks that a credential has not expired. Returns when it expires.
fn check_expiry(seconds: f64, now: UnixTime) -> Result<UnixTime, Denial> {
    let expires = unix_time(seconds);
    if now >= expires {
        return Err(Denial::Expired);
    }
    Ok(expires)
}

#[cfg(test)]
mod tests;

//! Signed URLs and tokens: what they are checked by and issued with. Pure: the time is passed in.

mod token;
mod url;

use super::uri::{MalformedUri, Uri};
use crate::config::signed::{Key, SignedConfig};
use crate::interface::UnixTime;

/// The parameter, or the cookie, that holds a token.
pub const PACKAGE: &str = "URISigningPackage";
const URL_PREFIX: &str = "URLPrefix";
const EXPIRES: &str = "Expires";
const KEY_NAME: &str = "KeyName";
const SIGNATURE: &str = "Signature";

/// Why a request is not let in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Denial {
    /// It can't be told what is meant: 400.
    Malformed(&'static str),
    /// There is neither a signature nor a token.
    Missing,
    /// It is not genuine, or not for this.
    Forged(&'static str),
    /// Its time is over.
    Expired,
    /// Its time has not come.
    Early,
}

impl Denial {
    /// The code for the log.
    pub fn code(self) -> &'static str {
        match self {
            Denial::Malformed(why) | Denial::Forged(why) => why,
            Denial::Missing => "missing",
            Denial::Expired => "expired",
            Denial::Early => "early",
        }
    }
}

/// Why something can't be signed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SignError {
    /// No key of that name signs this.
    #[error("no key {0:?} signs this")]
    Key(String),
    /// What is to be signed is no URI.
    #[error("not a URI that can be signed: {0}")]
    Uri(&'static str),
    /// The key itself is of no use.
    #[error("the key is of no use")]
    Unusable,
}

/// What a token is bound to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Binding {
    /// One URI: one object, or one part of it.
    Object(String),
    /// All URIs that begin so: one table.
    Table(String),
}

/// What a token is to say.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Grant {
    /// What it is bound to.
    pub binding: Binding,
    /// When it ends, in Unix seconds.
    pub exp: i64,
    /// When it begins.
    pub nbf: Option<i64>,
    /// Who issues it.
    pub iss: Option<String>,
}

/// The keys, and what they open.
pub struct Gate {
    keys: Vec<Key>,
    audience: Vec<String>,
}

impl Gate {
    /// A gate with the operator's keys.
    pub fn new(config: &SignedConfig) -> Self {
        Gate { keys: config.keys.clone(), audience: config.audience.clone() }
    }

    /// Checks a request; gives the Unix time from when on its right is over.
    ///
    /// # Errors
    ///
    /// It is not to be let in.
    pub fn check(&self, uri: &Uri, cookie: Option<&str>, now: UnixTime) -> Result<UnixTime, Denial> {
        let signed =
            [URL_PREFIX, EXPIRES, KEY_NAME, SIGNATURE].iter().any(|name| uri.parameter(name).is_some());
        let package = uri.parameter(PACKAGE);
        match (signed, package, cookie) {
            (false, None, None) => Err(Denial::Missing),
            (true, None, None) => self.check_url(uri, now),
            (false, Some(token), None) => self.check_token(token, &uri.without(PACKAGE), now),
            (false, None, Some(token)) => self.check_token(token, uri, now),
            _ => Err(Denial::Malformed("several credentials")),
        }
    }
}

/// The beginning of all URIs of a table, in normal form.
fn table(url: &str) -> Result<Uri, SignError> {
    let uri = fresh(url)?;
    // Else a link for table 1 would open table 17.
    match uri.path.ends_with('/') && uri.query.is_empty() {
        true => Ok(uri),
        false => Err(SignError::Uri("a table's URI ends in a slash")),
    }
}

/// A URL that holds no credential yet, in normal form.
fn fresh(url: &str) -> Result<Uri, SignError> {
    let uri = Uri::parse_absolute(url).map_err(|MalformedUri(why)| SignError::Uri(why))?;
    match [URL_PREFIX, EXPIRES, KEY_NAME, SIGNATURE, PACKAGE].iter().any(|name| uri.parameter(name).is_some())
    {
        true => Err(SignError::Uri("it holds a credential")),
        false => Ok(uri),
    }
}

fn unix_time(seconds: f64) -> UnixTime {
    UnixTime::from_micros((seconds * 1e6) as i64)
}

fn alive(seconds: f64, now: UnixTime) -> Result<UnixTime, Denial> {
    let end = unix_time(seconds);
    if now >= end {
        return Err(Denial::Expired);
    }
    Ok(end)
}

#[cfg(test)]
mod tests;

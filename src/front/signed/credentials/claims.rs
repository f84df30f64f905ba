//! The claims of a token.

use super::{Denial, InvalidCredential};
use serde_json::{Map, Value};

/// The claims that are supported, which may therefore be declared critical.
const SUPPORTED_CLAIMS: [&str; 8] = ["iss", "aud", "exp", "nbf", "iat", "cdniv", "cdniuc", "cdnicrit"];
/// Claims that restrict a token in ways that are not checked here. A token with one of them is denied.
const UNSUPPORTED_CLAIMS: [&str; 2] = ["cdniip", "jti"];
/// The supported version of the claims (`cdniv`).
const CLAIMS_VERSION: i64 = 1;
/// The value of `cdnistt` with which a token is not renewed.
const RENEWAL_DISABLED: i64 = 0;
/// The latest Unix time that is accepted, in seconds.
const MAX_UNIX_SECONDS: f64 = 1e11;

/// The claims of a token whose signature is valid.
pub(super) struct Claims(pub Map<String, Value>);

impl Claims {
    /// Returns a claim whose value is a string.
    pub(super) fn text(&self, name: &str) -> Result<Option<&str>, Denial> {
        match self.0.get(name) {
            None => Ok(None),
            Some(Value::String(text)) => Ok(Some(text.as_str())),
            Some(_) => Err(InvalidCredential::Claims.into()),
        }
    }

    /// Returns a claim whose value is a Unix time, in seconds.
    pub(super) fn time(&self, name: &str) -> Result<Option<f64>, Denial> {
        let Some(value) = self.0.get(name) else { return Ok(None) };
        let time = value.as_f64().filter(|time| (0.0..=MAX_UNIX_SECONDS).contains(time));
        time.map(Some).ok_or(InvalidCredential::Claims.into())
    }

    /// Checks that every critical claim is supported, and that no claim restricts the token in a way that is
    /// not checked here.
    pub(super) fn check_supported(&self) -> Result<(), Denial> {
        let critical = self.text("cdnicrit")?.unwrap_or_default();
        let is_supported = |name: &str| SUPPORTED_CLAIMS.contains(&name) && self.0.contains_key(name);
        if critical.split(',').map(str::trim).any(|name| !name.is_empty() && !is_supported(name)) {
            return Err(InvalidCredential::CriticalClaim.into());
        }
        let has_renewal =
            self.0.get("cdnistt").is_some_and(|transport| transport.as_i64() != Some(RENEWAL_DISABLED));
        if has_renewal || UNSUPPORTED_CLAIMS.iter().any(|name| self.0.contains_key(*name)) {
            return Err(InvalidCredential::UnsupportedClaim.into());
        }
        if self.0.get("cdniv").is_some_and(|version| version.as_i64() != Some(CLAIMS_VERSION)) {
            return Err(InvalidCredential::Version.into());
        }
        Ok(())
    }
}

//! Signed URLs: a MAC over the URL, or over a prefix of it.

use super::{
    check_expiry, table_uri, unsigned_uri, Denial, InvalidCredential, Keyring, SignError, EXPIRES, KEY_NAME,
    SIGNATURE, URL_PREFIX,
};
use crate::config::signed::{Algorithm, Key, Secret, BASE64};
use crate::front::signed::uri::Uri;
use crate::interface::UnixTime;
use base64::Engine;
use hmac::{Hmac, Mac};
use sha1::Sha1;
use sha2::Sha256;
use std::ops::RangeInclusive;

/// Number of digits that an expiry may have.
const EXPIRY_DIGITS: RangeInclusive<usize> = 1..=11;

impl Keyring {
    /// Verifies a signed URL. Returns when it expires.
    pub(super) fn verify_url(&self, uri: &Uri, now: UnixTime) -> Result<UnixTime, Denial> {
        // The signature does not cover what follows it, so it must be the last parameter.
        let names: Vec<&str> = uri.query.iter().rev().take(3).map(|p| p.name.as_str()).collect();
        if names != [SIGNATURE, KEY_NAME, EXPIRES] {
            return Err(InvalidCredential::Parameters.into());
        }
        let value = |name| uri.parameter(name).unwrap_or_default();
        let expires = parse_expiry(value(EXPIRES)).ok_or(InvalidCredential::Expires)?;
        let key_name = value(KEY_NAME);
        let key = self.keys.iter().find(|key| key.name == key_name).ok_or(InvalidCredential::Key)?;
        let signature = BASE64.decode(value(SIGNATURE)).map_err(|_| InvalidCredential::Signature)?;
        let signed_text = match uri.parameter(URL_PREFIX) {
            None => uri.without(SIGNATURE).to_string(),
            Some(prefix) => {
                check_prefix(prefix, uri)?;
                prefix_parameters(prefix, value(EXPIRES), key_name)
            }
        };
        if !is_signature_valid(key, &signed_text, &signature) {
            return Err(InvalidCredential::Signature.into());
        }
        check_expiry(expires as f64, now)
    }

    /// Signs a URL with the key of this name; the signature expires at `expires`, in Unix seconds.
    ///
    /// # Errors
    ///
    /// There is no such key for signed URLs, or the URL cannot be signed.
    pub fn sign_url(&self, key: &str, url: &str, expires: i64) -> Result<String, SignError> {
        let uri = unsigned_uri(url)?;
        let uri = uri.with(EXPIRES, &expires.to_string()).with(KEY_NAME, key);
        let mac = self.sign(key, &uri.to_string())?;
        Ok(uri.with(SIGNATURE, &BASE64.encode(mac)).to_string())
    }

    /// Signs a prefix of URLs with the key of this name; the signature expires at `expires`, in Unix seconds.
    /// Returns the parameters to append to any URL with this prefix.
    ///
    /// # Errors
    ///
    /// There is no such key for signed URLs, or the prefix is not a URL that ends in a slash.
    pub fn sign_prefix(&self, key: &str, prefix: &str, expires: i64) -> Result<String, SignError> {
        let uri = table_uri(prefix)?;
        let text = prefix_parameters(&BASE64.encode(uri.to_string()), &expires.to_string(), key);
        let mac = self.sign(key, &text)?;
        Ok(format!("{text}&{SIGNATURE}={}", BASE64.encode(mac)))
    }

    /// Returns the signature of a text by the key of this name.
    fn sign(&self, key: &str, text: &str) -> Result<Vec<u8>, SignError> {
        let known = self.keys.iter().find(|known| known.name == key);
        known.and_then(|key| mac(key, text)).ok_or_else(|| SignError::Key(key.to_owned()))
    }
}

/// Parses an expiry in Unix seconds. Only digits are accepted, so that a time cannot also be written in other
/// forms, such as with a sign.
fn parse_expiry(text: &str) -> Option<i64> {
    let is_number = EXPIRY_DIGITS.contains(&text.len()) && text.bytes().all(|b| b.is_ascii_digit());
    text.parse().ok().filter(|_| is_number)
}

/// Returns the query parameters that the signature of a prefix covers.
fn prefix_parameters(prefix: &str, expires: &str, key: &str) -> String {
    format!("{URL_PREFIX}={prefix}&{EXPIRES}={expires}&{KEY_NAME}={key}")
}

/// Checks that the prefix is the parameter just before the signed ones, and that the URI begins with it.
fn check_prefix(prefix: &str, uri: &Uri) -> Result<(), InvalidCredential> {
    // The signature covers the prefix and the parameters after it, but nothing before it.
    if uri.query.iter().rev().nth(3).is_none_or(|parameter| parameter.name != URL_PREFIX) {
        return Err(InvalidCredential::Parameters);
    }
    if !has_prefix(uri, prefix) {
        return Err(InvalidCredential::Prefix);
    }
    Ok(())
}

/// Whether a URI begins with a prefix, given in base64url. Both are compared in normal form. A prefix
/// consists of scheme, host and the beginning of a path.
fn has_prefix(uri: &Uri, prefix: &str) -> bool {
    let prefix = BASE64.decode(prefix).ok().and_then(|bytes| String::from_utf8(bytes).ok());
    let prefix = prefix.and_then(|text| Uri::parse_absolute(&text).ok());
    prefix.filter(|prefix| prefix.query.is_empty()).is_some_and(|prefix| {
        (&prefix.scheme, &prefix.host) == (&uri.scheme, &uri.host) && uri.path.starts_with(&prefix.path)
    })
}

/// Returns the MAC of a text; `None` if the key is not for signed URLs.
fn mac(key: &Key, text: &str) -> Option<Vec<u8>> {
    let Secret(secret) = &key.verification_key;
    Some(match key.algorithm {
        Algorithm::UrlSha1 => {
            Hmac::<Sha1>::new_from_slice(secret).ok()?.chain_update(text).finalize().into_bytes().to_vec()
        }
        Algorithm::UrlSha256 => {
            Hmac::<Sha256>::new_from_slice(secret).ok()?.chain_update(text).finalize().into_bytes().to_vec()
        }
        Algorithm::Hs256 | Algorithm::Es256 => return None,
    })
}

/// Whether a signature is the MAC of a text. The comparison takes constant time.
fn is_signature_valid(key: &Key, text: &str, signature: &[u8]) -> bool {
    let Secret(secret) = &key.verification_key;
    match key.algorithm {
        Algorithm::UrlSha1 => Hmac::<Sha1>::new_from_slice(secret)
            .is_ok_and(|mac| mac.chain_update(text).verify_slice(signature).is_ok()),
        Algorithm::UrlSha256 => Hmac::<Sha256>::new_from_slice(secret)
            .is_ok_and(|mac| mac.chain_update(text).verify_slice(signature).is_ok()),
        Algorithm::Hs256 | Algorithm::Es256 => false,
    }
}

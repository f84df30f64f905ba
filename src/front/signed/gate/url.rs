//! Signed URLs: a MAC over the URL, or over a prefix of it.

use super::{alive, fresh, table, Denial, Gate, SignError, EXPIRES, KEY_NAME, SIGNATURE, URL_PREFIX};
use crate::config::signed::{Algorithm, Key, Secret, BASE64};
use crate::front::signed::uri::Uri;
use crate::interface::UnixTime;
use base64::Engine;
use hmac::{Hmac, Mac};
use sha1::Sha1;
use sha2::Sha256;

impl Gate {
    pub(super) fn check_url(&self, uri: &Uri, now: UnixTime) -> Result<UnixTime, Denial> {
        // What follows the signature is not covered by it, so nothing may.
        let names: Vec<&str> = uri.query.iter().rev().take(3).map(|p| p.name.as_str()).collect();
        if names != [SIGNATURE, KEY_NAME, EXPIRES] {
            return Err(Denial::Forged("parameters"));
        }
        let value = |name| uri.parameter(name).unwrap_or_default();
        let expires = value(EXPIRES);
        let digits = (1..=11).contains(&expires.len()) && expires.bytes().all(|b| b.is_ascii_digit());
        let expires: i64 = expires.parse().ok().filter(|_| digits).ok_or(Denial::Forged("expires"))?;
        let key = self.keys.iter().find(|key| key.name == value(KEY_NAME)).ok_or(Denial::Forged("key"))?;
        let given = BASE64.decode(value(SIGNATURE)).map_err(|_| Denial::Forged("signature"))?;
        let text = match uri.parameter(URL_PREFIX) {
            None => uri.without(SIGNATURE).to_string(),
            Some(prefix) => {
                // What stands before the prefix is not covered by the signature, and is no part of it.
                if uri.query.iter().rev().nth(3).is_none_or(|known| known.name != URL_PREFIX) {
                    return Err(Denial::Forged("parameters"));
                }
                if !opens(prefix, uri) {
                    return Err(Denial::Forged("prefix"));
                }
                prefixed(prefix, value(EXPIRES), value(KEY_NAME))
            }
        };
        if !mac_fits(key, &text, &given) {
            return Err(Denial::Forged("signature"));
        }
        alive(expires as f64, now)
    }

    /// Signs a URL until a Unix second.
    ///
    /// # Errors
    ///
    /// No such key, or no URL that can be signed.
    pub fn sign_url(&self, key: &str, url: &str, expires: i64) -> Result<String, SignError> {
        let uri = fresh(url)?;
        let known = self.keys.iter().find(|known| known.name == key);
        let uri = uri.with(EXPIRES, &expires.to_string()).with(KEY_NAME, key);
        let mac = known.and_then(|key| mac(key, &uri.to_string()));
        let mac = mac.ok_or_else(|| SignError::Key(key.to_owned()))?;
        Ok(uri.with(SIGNATURE, &BASE64.encode(mac)).to_string())
    }

    /// The parameters that open all URLs which begin so, until a Unix second: they are put behind any of them.
    ///
    /// # Errors
    ///
    /// No such key, or no beginning of a URL that ends in a slash.
    pub fn sign_prefix(&self, key: &str, prefix: &str, expires: i64) -> Result<String, SignError> {
        let uri = table(prefix)?;
        let known = self.keys.iter().find(|known| known.name == key);
        let text = prefixed(&BASE64.encode(uri.to_string()), &expires.to_string(), key);
        let mac = known.and_then(|key| mac(key, &text)).ok_or_else(|| SignError::Key(key.to_owned()))?;
        Ok(format!("{text}&{SIGNATURE}={}", BASE64.encode(mac)))
    }
}

/// What a signature for a prefix covers.
fn prefixed(prefix: &str, expires: &str, key: &str) -> String {
    format!("{URL_PREFIX}={prefix}&{EXPIRES}={expires}&{KEY_NAME}={key}")
}

/// Whether a URI begins with a prefix in base64url, both in their normal form: a prefix names scheme, host and the
/// beginning of a path.
fn opens(prefix: &str, uri: &Uri) -> bool {
    let prefix = BASE64.decode(prefix).ok().and_then(|bytes| String::from_utf8(bytes).ok());
    let prefix = prefix.and_then(|text| Uri::whole(&text).ok()).filter(|prefix| prefix.query.is_empty());
    prefix.is_some_and(|prefix| {
        (&prefix.scheme, &prefix.host) == (&uri.scheme, &uri.host) && uri.path.starts_with(&prefix.path)
    })
}

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

/// Compares in constant time, as the HMAC crate does it.
fn mac_fits(key: &Key, text: &str, given: &[u8]) -> bool {
    let Secret(secret) = &key.verification_key;
    match key.algorithm {
        Algorithm::UrlSha1 => Hmac::<Sha1>::new_from_slice(secret)
            .is_ok_and(|mac| mac.chain_update(text).verify_slice(given).is_ok()),
        Algorithm::UrlSha256 => Hmac::<Sha256>::new_from_slice(secret)
            .is_ok_and(|mac| mac.chain_update(text).verify_slice(given).is_ok()),
        Algorithm::Hs256 | Algorithm::Es256 => false,
    }
}

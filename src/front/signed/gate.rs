//! Signed URLs and tokens: what they are checked by and issued with. Pure: the time is passed in.

use super::uri::{Malformed, Uri};
use crate::config::signed::{Algorithm, Key, Secret, Signed, BASE64};
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use base64::Engine;
use hmac::{Hmac, Mac};
use jsonwebtoken::{DecodingKey, EncodingKey, Header, Validation};
use regex::RegexBuilder;
use serde_json::{json, Map, Value};
use sha1::Sha1;
use sha2::{Digest, Sha256};

/// The parameter, or the cookie, that holds a token.
pub const PACKAGE: &str = "URISigningPackage";
const URL_PREFIX: &str = "URLPrefix";
const EXPIRES: &str = "Expires";
const KEY_NAME: &str = "KeyName";
const SIGNATURE: &str = "Signature";
/// The claims that are understood, and so may be critical.
const UNDERSTOOD: [&str; 8] = ["iss", "aud", "exp", "nbf", "iat", "cdniv", "cdniuc", "cdnicrit"];
/// Claims that restrict a token in ways that are not checked here: it is refused, not taken for more.
const UNCHECKED: [&str; 2] = ["cdniip", "jti"];
/// No Unix time in seconds lies past this.
const LATEST: f64 = 1e11;
/// The largest program that a token's regular expression may become, bytes.
const REGEX_SIZE: usize = 1 << 18;

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
    pub fn new(config: &Signed) -> Self {
        Gate { keys: config.keys.clone(), audience: config.audience.clone() }
    }

    /// Checks a request; gives the Unix microsecond from when on its right is over.
    ///
    /// # Errors
    ///
    /// It is not to be let in.
    pub fn check(&self, uri: &Uri, cookie: Option<&str>, now: i64) -> Result<i64, Denial> {
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

    fn check_url(&self, uri: &Uri, now: i64) -> Result<i64, Denial> {
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

    fn check_token(&self, token: &str, uri: &Uri, now: i64) -> Result<i64, Denial> {
        let head = token.split('.').next().unwrap_or_default();
        let head = URL_SAFE_NO_PAD.decode(head).ok().and_then(|head| serde_json::from_slice(&head).ok());
        let head: Map<String, Value> = head.ok_or(Denial::Forged("token"))?;
        if head.contains_key("crit") {
            return Err(Denial::Forged("critical header"));
        }
        let mut keys = self.keys.iter().filter(|key| jose(key.algorithm).is_some());
        let key = match head.get("kid") {
            Some(kid) => keys.find(|key| kid.as_str() == Some(&key.name)),
            None => keys.next().filter(|_| keys.next().is_none()),
        };
        let key = key.ok_or(Denial::Forged("key"))?;
        // The key says which algorithm it is for; what the token says must be the same.
        let algorithm = jose(key.algorithm).ok_or(Denial::Forged("key"))?;
        let mut only = Validation::new(algorithm);
        only.required_spec_claims.clear();
        (only.validate_exp, only.validate_nbf, only.validate_aud) = (false, false, false);
        let Secret(bytes) = &key.checks;
        let checks = match key.algorithm {
            Algorithm::Es256 => DecodingKey::from_ec_pem(bytes).map_err(|_| Denial::Forged("key"))?,
            _ => DecodingKey::from_secret(bytes),
        };
        let claims = jsonwebtoken::decode::<Map<String, Value>>(token, &checks, &only)
            .map_err(|_| Denial::Forged("signature"))?
            .claims;
        self.check_claims(&claims, key, uri, now)
    }

    fn check_claims(
        &self,
        claims: &Map<String, Value>,
        key: &Key,
        uri: &Uri,
        now: i64,
    ) -> Result<i64, Denial> {
        let text = |name: &str| match claims.get(name) {
            None => Ok(None),
            Some(Value::String(text)) => Ok(Some(text.as_str())),
            Some(_) => Err(Denial::Forged("claims")),
        };
        let critical = text("cdnicrit")?.unwrap_or_default();
        let known = |name: &str| UNDERSTOOD.contains(&name) && claims.contains_key(name);
        if critical.split(',').map(str::trim).any(|name| !name.is_empty() && !known(name)) {
            return Err(Denial::Forged("critical claim"));
        }
        let renewed = claims.get("cdnistt").is_some_and(|transport| transport.as_i64() != Some(0));
        if renewed || UNCHECKED.iter().any(|name| claims.contains_key(*name)) {
            return Err(Denial::Forged("unsupported claim"));
        }
        if claims.get("cdniv").is_some_and(|version| version.as_i64() != Some(1)) {
            return Err(Denial::Forged("version"));
        }
        let issuer = text("iss")?;
        let issued = match issuer {
            Some(issuer) => key.issuers.iter().any(|known| known == issuer),
            None => key.issuers.is_empty(),
        };
        if !issued {
            return Err(Denial::Forged("issuer"));
        }
        let ours = |name: &Value| self.audience.iter().any(|known| name.as_str() == Some(known));
        let heard = match claims.get("aud") {
            None => true,
            Some(Value::Array(names)) => names.iter().any(ours),
            Some(name) => ours(name),
        };
        if !heard {
            return Err(Denial::Forged("audience"));
        }
        let time = |name: &str| match claims.get(name) {
            None => Ok(None),
            Some(value) => value
                .as_f64()
                .filter(|time| (0.0..=LATEST).contains(time))
                .map(Some)
                .ok_or(Denial::Forged("claims")),
        };
        let container = text("cdniuc")?.ok_or(Denial::Forged("container"))?;
        if !contains(container, &uri.to_string()) {
            return Err(Denial::Forged("container"));
        }
        if time("nbf")?.is_some_and(|nbf| now < micros(nbf)) {
            return Err(Denial::Early);
        }
        alive(time("exp")?.ok_or(Denial::Forged("no end"))?, now)
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

    /// Issues a token.
    ///
    /// # Errors
    ///
    /// No such key, or nothing that a token can be bound to.
    pub fn sign_token(&self, key: &str, grant: &Grant) -> Result<String, SignError> {
        let unknown = || SignError::Key(key.to_owned());
        let known = self.keys.iter().find(|known| known.name == key).ok_or_else(unknown)?;
        let algorithm = jose(known.algorithm).ok_or_else(unknown)?;
        let Secret(bytes) = known.signs.as_ref().ok_or_else(unknown)?;
        let signs = match known.algorithm {
            Algorithm::Es256 => EncodingKey::from_ec_pem(bytes).map_err(|_| SignError::Unusable)?,
            _ => EncodingKey::from_secret(bytes),
        };
        let container = match &grant.binding {
            Binding::Object(url) => hash(&fresh(url)?.to_string()),
            Binding::Table(url) => {
                format!("regex:{}.*", regex::escape(&table(url)?.to_string()))
            }
        };
        let mut claims = json!({ "cdniv": 1, "exp": grant.exp, "cdniuc": container });
        if let Some(nbf) = grant.nbf {
            claims["nbf"] = nbf.into();
        }
        if let Some(iss) = &grant.iss {
            claims["iss"] = iss.as_str().into();
        }
        let head = Header { kid: Some(key.to_owned()), ..Header::new(algorithm) };
        jsonwebtoken::encode(&head, &claims, &signs).map_err(|_| SignError::Unusable)
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
    let uri = Uri::whole(url).map_err(|Malformed(why)| SignError::Uri(why))?;
    match [URL_PREFIX, EXPIRES, KEY_NAME, SIGNATURE, PACKAGE].iter().any(|name| uri.parameter(name).is_some())
    {
        true => Err(SignError::Uri("it holds a credential")),
        false => Ok(uri),
    }
}

fn jose(algorithm: Algorithm) -> Option<jsonwebtoken::Algorithm> {
    match algorithm {
        Algorithm::Hs256 => Some(jsonwebtoken::Algorithm::HS256),
        Algorithm::Es256 => Some(jsonwebtoken::Algorithm::ES256),
        Algorithm::UrlSha1 | Algorithm::UrlSha256 => None,
    }
}

fn mac(key: &Key, text: &str) -> Option<Vec<u8>> {
    let Secret(secret) = &key.checks;
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
    let Secret(secret) = &key.checks;
    match key.algorithm {
        Algorithm::UrlSha1 => Hmac::<Sha1>::new_from_slice(secret)
            .is_ok_and(|mac| mac.chain_update(text).verify_slice(given).is_ok()),
        Algorithm::UrlSha256 => Hmac::<Sha256>::new_from_slice(secret)
            .is_ok_and(|mac| mac.chain_update(text).verify_slice(given).is_ok()),
        Algorithm::Hs256 | Algorithm::Es256 => false,
    }
}

/// The URI hash container: the hash of the whole URI, as RFC 6920 writes it in a segment.
fn hash(uri: &str) -> String {
    format!("hash:sha-256;{}", URL_SAFE_NO_PAD.encode(Sha256::digest(uri)))
}

fn contains(container: &str, uri: &str) -> bool {
    match container.strip_prefix("regex:") {
        // The whole URI must match: a pattern for one place must not open what only contains it.
        Some(pattern) => RegexBuilder::new(&format!("^(?:{pattern})$"))
            .size_limit(REGEX_SIZE)
            .build()
            .is_ok_and(|regex| regex.is_match(uri)),
        None => container == hash(uri),
    }
}

fn micros(seconds: f64) -> i64 {
    (seconds * 1e6) as i64
}

fn alive(seconds: f64, now: i64) -> Result<i64, Denial> {
    let end = micros(seconds);
    if now >= end {
        return Err(Denial::Expired);
    }
    Ok(end)
}

#[cfg(test)]
mod tests;

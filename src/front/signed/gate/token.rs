//! Tokens: signed claims that open one URI, or all below one.

use super::{alive, fresh, table, unix_time, Binding, Denial, Gate, Grant, SignError};
use crate::config::signed::{Algorithm, Key, Secret};
use crate::front::signed::uri::Uri;
use crate::interface::UnixTime;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use base64::Engine;
use jsonwebtoken::{DecodingKey, EncodingKey, Header, Validation};
use regex::RegexBuilder;
use serde_json::{json, Map, Value};
use sha2::{Digest, Sha256};

/// The claims that are understood, and so may be critical.
const UNDERSTOOD: [&str; 8] = ["iss", "aud", "exp", "nbf", "iat", "cdniv", "cdniuc", "cdnicrit"];
/// Claims that restrict a token in ways that are not checked here: it is refused, not taken for more.
const UNCHECKED: [&str; 2] = ["cdniip", "jti"];
/// No Unix time in seconds lies past this.
const LATEST: f64 = 1e11;
/// The largest program that a token's regular expression may become, bytes.
const REGEX_SIZE: usize = 1 << 18;

/// What a token says.
struct Claims(Map<String, Value>);

impl Claims {
    fn text(&self, name: &str) -> Result<Option<&str>, Denial> {
        match self.0.get(name) {
            None => Ok(None),
            Some(Value::String(text)) => Ok(Some(text.as_str())),
            Some(_) => Err(Denial::Forged("claims")),
        }
    }

    /// A Unix time, in seconds.
    fn time(&self, name: &str) -> Result<Option<f64>, Denial> {
        let Some(value) = self.0.get(name) else { return Ok(None) };
        let time = value.as_f64().filter(|time| (0.0..=LATEST).contains(time));
        time.map(Some).ok_or(Denial::Forged("claims"))
    }

    /// Checks that nothing is said that is critical and not understood, or restricts the token in ways that are not
    /// checked here.
    fn check_understood(&self) -> Result<(), Denial> {
        let critical = self.text("cdnicrit")?.unwrap_or_default();
        let known = |name: &str| UNDERSTOOD.contains(&name) && self.0.contains_key(name);
        if critical.split(',').map(str::trim).any(|name| !name.is_empty() && !known(name)) {
            return Err(Denial::Forged("critical claim"));
        }
        let renewed = self.0.get("cdnistt").is_some_and(|transport| transport.as_i64() != Some(0));
        if renewed || UNCHECKED.iter().any(|name| self.0.contains_key(*name)) {
            return Err(Denial::Forged("unsupported claim"));
        }
        if self.0.get("cdniv").is_some_and(|version| version.as_i64() != Some(1)) {
            return Err(Denial::Forged("version"));
        }
        Ok(())
    }
}

impl Gate {
    pub(super) fn check_token(&self, token: &str, uri: &Uri, now: UnixTime) -> Result<UnixTime, Denial> {
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
        let Secret(bytes) = &key.verification_key;
        let checks = match key.algorithm {
            Algorithm::Es256 => DecodingKey::from_ec_pem(bytes).map_err(|_| Denial::Forged("key"))?,
            _ => DecodingKey::from_secret(bytes),
        };
        let claims = jsonwebtoken::decode::<Map<String, Value>>(token, &checks, &only)
            .map_err(|_| Denial::Forged("signature"))?
            .claims;
        self.check_claims(&Claims(claims), key, uri, now)
    }

    /// Checks what a genuine token says; gives the Unix time from when on it opens nothing.
    fn check_claims(&self, claims: &Claims, key: &Key, uri: &Uri, now: UnixTime) -> Result<UnixTime, Denial> {
        claims.check_understood()?;
        if !was_issued_by(key, claims.text("iss")?) {
            return Err(Denial::Forged("issuer"));
        }
        if !self.is_audience(claims) {
            return Err(Denial::Forged("audience"));
        }
        let container = claims.text("cdniuc")?.ok_or(Denial::Forged("container"))?;
        if !contains(container, &uri.to_string()) {
            return Err(Denial::Forged("container"));
        }
        if claims.time("nbf")?.is_some_and(|nbf| now < unix_time(nbf)) {
            return Err(Denial::Early);
        }
        alive(claims.time("exp")?.ok_or(Denial::Forged("no end"))?, now)
    }

    /// Whether a token is for this service, as far as it says for whom it is.
    fn is_audience(&self, claims: &Claims) -> bool {
        let ours = |name: &Value| self.audience.iter().any(|known| name.as_str() == Some(known));
        match claims.0.get("aud") {
            None => true,
            Some(Value::Array(names)) => names.iter().any(ours),
            Some(name) => ours(name),
        }
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
        let Secret(bytes) = known.signing_key.as_ref().ok_or_else(unknown)?;
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

/// Whether a key's tokens may name this issuer, or none.
fn was_issued_by(key: &Key, issuer: Option<&str>) -> bool {
    match issuer {
        Some(issuer) => key.issuers.iter().any(|known| known == issuer),
        None => key.issuers.is_empty(),
    }
}

fn jose(algorithm: Algorithm) -> Option<jsonwebtoken::Algorithm> {
    match algorithm {
        Algorithm::Hs256 => Some(jsonwebtoken::Algorithm::HS256),
        Algorithm::Es256 => Some(jsonwebtoken::Algorithm::ES256),
        Algorithm::UrlSha1 | Algorithm::UrlSha256 => None,
    }
}

/// The URI hash container: the hash of the whole URI, as RFC 6920 writes it in a segment.
pub(super) fn hash(uri: &str) -> String {
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

//! Tokens: signed JSON web tokens, valid for one URI or for all URIs that match a pattern.

use super::claims::Claims;
use super::{
    check_expiry, table_uri, unix_time, unsigned_uri, Denial, Grant, InvalidCredential, Keyring, SignError,
    TokenScope,
};
use crate::config::signed::{Algorithm, Key, Secret};
use crate::front::signed::uri::Uri;
use crate::interface::UnixTime;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use base64::Engine;
use jsonwebtoken::{DecodingKey, EncodingKey, Header, Validation};
use regex::RegexBuilder;
use serde_json::{json, Map, Value};
use sha2::{Digest, Sha256};

/// Maximum size of the compiled regular expression of a token, in bytes.
const MAX_REGEX_BYTES: usize = 1 << 18;

impl Keyring {
    /// Verifies a token for a URI. Returns when it expires.
    pub(super) fn verify_token(&self, token: &str, uri: &Uri, now: UnixTime) -> Result<UnixTime, Denial> {
        let header = read_header(token).ok_or(InvalidCredential::Token)?;
        if header.contains_key("crit") {
            return Err(InvalidCredential::CriticalHeader.into());
        }
        let key = self.token_key(&header).ok_or(InvalidCredential::Key)?;
        let claims = verify_signature(token, key)?;
        self.check_claims(&claims, key, uri, now)
    }

    /// Returns the key for tokens whose name is the token's `kid`. Without a `kid`, returns the key for
    /// tokens if there is exactly one.
    fn token_key(&self, header: &Map<String, Value>) -> Option<&Key> {
        let mut keys = self.keys.iter().filter(|key| jwt_algorithm(key.algorithm).is_some());
        match header.get("kid") {
            Some(kid) => keys.find(|key| kid.as_str() == Some(&key.name)),
            None => keys.next().filter(|_| keys.next().is_none()),
        }
    }

    /// Checks the claims of a token whose signature is valid. Returns when it expires.
    fn check_claims(&self, claims: &Claims, key: &Key, uri: &Uri, now: UnixTime) -> Result<UnixTime, Denial> {
        claims.check_supported()?;
        if !accepts_issuer(key, claims.text("iss")?) {
            return Err(InvalidCredential::Issuer.into());
        }
        if !self.is_audience_accepted(claims) {
            return Err(InvalidCredential::Audience.into());
        }
        let container = claims.text("cdniuc")?.ok_or(InvalidCredential::Container)?;
        if !container_matches(container, &uri.to_string()) {
            return Err(InvalidCredential::Container.into());
        }
        if claims.time("nbf")?.is_some_and(|nbf| now < unix_time(nbf)) {
            return Err(Denial::NotYetValid);
        }
        check_expiry(claims.time("exp")?.ok_or(InvalidCredential::NoExpiry)?, now)
    }

    /// Whether a token's audience includes this service, or it names no audience.
    fn is_audience_accepted(&self, claims: &Claims) -> bool {
        let is_this_service = |name: &Value| self.audience.iter().any(|known| name.as_str() == Some(known));
        match claims.0.get("aud") {
            None => true,
            Some(Value::Array(names)) => names.iter().any(is_this_service),
            Some(name) => is_this_service(name),
        }
    }

    /// Issues a token, signed with the key of this name.
    ///
    /// # Errors
    ///
    /// There is no such key for signing tokens, or the URI cannot be signed.
    pub fn sign_token(&self, key: &str, grant: &Grant) -> Result<String, SignError> {
        let unknown = || SignError::Key(key.to_owned());
        let known = self.keys.iter().find(|known| known.name == key).ok_or_else(unknown)?;
        let algorithm = jwt_algorithm(known.algorithm).ok_or_else(unknown)?;
        let Secret(bytes) = known.signing_key.as_ref().ok_or_else(unknown)?;
        let signing_key = match known.algorithm {
            Algorithm::Es256 => EncodingKey::from_ec_pem(bytes).map_err(|_| SignError::UnusableKey)?,
            _ => EncodingKey::from_secret(bytes),
        };
        let container = match &grant.scope {
            TokenScope::Object(url) => hash_container(&unsigned_uri(url)?.to_string()),
            TokenScope::Table(url) => {
                format!("regex:{}.*", regex::escape(&table_uri(url)?.to_string()))
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
        jsonwebtoken::encode(&head, &claims, &signing_key).map_err(|_| SignError::UnusableKey)
    }
}

/// Decodes the header of a token, whose signature is not verified yet.
fn read_header(token: &str) -> Option<Map<String, Value>> {
    let header = token.split('.').next().unwrap_or_default();
    let header = URL_SAFE_NO_PAD.decode(header).ok()?;
    serde_json::from_slice(&header).ok()
}

/// Verifies a token's signature. Returns its claims.
fn verify_signature(token: &str, key: &Key) -> Result<Claims, InvalidCredential> {
    // The key determines the algorithm; the token's header must have the same one.
    let algorithm = jwt_algorithm(key.algorithm).ok_or(InvalidCredential::Key)?;
    let mut validation = Validation::new(algorithm);
    validation.required_spec_claims.clear();
    // These claims are checked in `check_claims`.
    validation.validate_exp = false;
    validation.validate_nbf = false;
    validation.validate_aud = false;
    let Secret(bytes) = &key.verification_key;
    let decoding_key = match key.algorithm {
        Algorithm::Es256 => DecodingKey::from_ec_pem(bytes).map_err(|_| InvalidCredential::Key)?,
        _ => DecodingKey::from_secret(bytes),
    };
    let decoded = jsonwebtoken::decode::<Map<String, Value>>(token, &decoding_key, &validation);
    decoded.map(|token| Claims(token.claims)).map_err(|_| InvalidCredential::Signature)
}

/// Whether a key may be used for tokens of this issuer. Tokens without an issuer need a key without issuers.
fn accepts_issuer(key: &Key, issuer: Option<&str>) -> bool {
    match issuer {
        Some(issuer) => key.issuers.iter().any(|known| known == issuer),
        None => key.issuers.is_empty(),
    }
}

/// Returns the JWT algorithm of a key; `None` if the key is not for tokens.
fn jwt_algorithm(algorithm: Algorithm) -> Option<jsonwebtoken::Algorithm> {
    match algorithm {
        Algorithm::Hs256 => Some(jsonwebtoken::Algorithm::HS256),
        Algorithm::Es256 => Some(jsonwebtoken::Algorithm::ES256),
        Algorithm::UrlSha1 | Algorithm::UrlSha256 => None,
    }
}

/// Returns the URI container with the hash of the whole URI, written as in a path segment of RFC 6920.
pub(super) fn hash_container(uri: &str) -> String {
    format!("hash:sha-256;{}", URL_SAFE_NO_PAD.encode(Sha256::digest(uri)))
}

/// Whether a URI container, a regular expression or a hash, matches a URI.
fn container_matches(container: &str, uri: &str) -> bool {
    match container.strip_prefix("regex:") {
        // The pattern must match the whole URI: otherwise it would also permit URIs that only contain a
        // match.
        Some(pattern) => RegexBuilder::new(&format!("^(?:{pattern})$"))
            .size_limit(MAX_REGEX_BYTES)
            .build()
            .is_ok_and(|regex| regex.is_match(uri)),
        None => container == hash_container(uri),
    }
}

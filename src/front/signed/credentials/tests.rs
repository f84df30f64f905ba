//! Tests of signed URLs and tokens: which are valid, and why others are denied.

use super::token::hash_container;
use super::*;
use crate::config::signed::{Algorithm, Secret};
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use base64::Engine;
use jsonwebtoken::{Algorithm as Jose, EncodingKey, Header};
use serde_json::{json, Value};

const NOW: i64 = 1_700_000_000;

fn key(name: &str, algorithm: Algorithm, issuers: &[&str]) -> Key {
    let secret = Secret(format!("secret of the key {name}").into_bytes());
    let issuers = issuers.iter().map(|issuer| issuer.to_string()).collect();
    Key { name: name.into(), algorithm, verification_key: secret.clone(), signing_key: Some(secret), issuers }
}

fn keyring() -> Keyring {
    let keys = vec![
        key("u1", Algorithm::UrlSha1, &[]),
        key("u2", Algorithm::UrlSha256, &[]),
        key("t1", Algorithm::Hs256, &[]),
        key("t2", Algorithm::Hs256, &["tables"]),
    ];
    Keyring { keys, audience: vec!["edge".into()] }
}

fn check(keyring: &Keyring, url: &str, cookie: Option<&str>) -> String {
    let uri = Uri::parse_absolute(url).expect("a valid URI");
    match keyring.verify(&uri, cookie, UnixTime::from_secs(NOW)) {
        Ok(end) => format!("until {}", end.as_secs() - NOW),
        Err(denial) => format!("{denial:?}"),
    }
}

#[test]
fn a_signed_url_matches_a_known_example() {
    // HMAC-SHA1 (RFC 2104) over the whole URL up to the signature, in base64url with padding. The expected
    // value was computed independently of this program.
    let mut keyring = keyring();
    keyring.keys[0].verification_key = Secret((0..16).collect());
    let url = keyring.sign_url("u1", "https://replays.example.org/a", NOW + 9).expect("signed");
    let wanted = "https://replays.example.org/a?Expires=1700000009&KeyName=u1&Signature=";
    assert_eq!(url, format!("{wanted}-pJUtsK7n3yS1gFlYeKjlO5K_as="));
}

#[test]
fn verifies_signed_urls() {
    let keyring = keyring();
    let signed =
        |key: &str, seconds| keyring.sign_url(key, "https://h.example/a?x=1", NOW + seconds).expect("url");
    let valid = signed("u1", 60);
    let cut = valid.find("Signature=").expect("a signature") + "Signature=".len();
    let cases = [
        (valid.clone(), "until 60"),
        (valid.trim_end_matches('=').to_owned(), "until 60"),
        (signed("u2", 60), "until 60"),
        (valid.replace("/a?", "/%61?"), "until 60"),
        ("https://h.example/a".into(), "Missing"),
        (signed("u1", 0), "Expired"),
        (signed("u1", -5), "Expired"),
        (valid.replace("/a?", "/b?"), "Invalid(Signature)"),
        (valid.replace("h.example", "i.example"), "Invalid(Signature)"),
        (valid.replace("x=1", "x=2"), "Invalid(Signature)"),
        (valid.replace("Expires=17", "Expires=18"), "Invalid(Signature)"),
        (valid.replace("KeyName=u1", "KeyName=u2"), "Invalid(Signature)"),
        (valid.replace("KeyName=u1", "KeyName=t1"), "Invalid(Signature)"),
        (valid.replace("KeyName=u1", "KeyName=zz"), "Invalid(Key)"),
        (valid.replace("Expires=", "Expires=+"), "Invalid(Expires)"),
        (valid.replace("Expires=", "Expires=999"), "Invalid(Expires)"),
        (valid[..cut].to_owned(), "Invalid(Signature)"),
        (format!("{valid}&y=1"), "Invalid(Parameters)"),
        ("https://h.example/a?Signature=x".into(), "Invalid(Parameters)"),
        (format!("{valid}&URISigningPackage=x"), "SeveralCredentials"),
    ];
    for (url, wanted) in cases {
        assert_eq!(check(&keyring, &url, None), wanted, "{url}");
    }
    assert_eq!(check(&keyring, &valid, Some("x")), "SeveralCredentials");
}

#[test]
fn a_signed_prefix_is_valid_for_urls_that_begin_with_it() {
    let mut keyring = keyring();
    let prefix_credential = |keyring: &Keyring, key: &str, seconds| {
        keyring.sign_prefix(key, "https://h.example/replays/17/", NOW + seconds).expect("signed")
    };
    let valid = prefix_credential(&keyring, "u1", 60);
    let other = valid.replace("URLPrefix=", "URLPrefix=A");
    let cases = [
        (format!("https://h.example/replays/17/a?{valid}"), "until 60"),
        (format!("https://H.example:443/replays/x/../17/a/b?x=1&{valid}"), "until 60"),
        (format!("https://h.example/replays/17/a?{}", prefix_credential(&keyring, "u2", 60)), "until 60"),
        (format!("https://h.example/replays/17/a?{}", prefix_credential(&keyring, "u1", 0)), "Expired"),
        (format!("https://h.example/replays/18/a?{valid}"), "Invalid(Prefix)"),
        (format!("https://h.example/replays/17/../18/a?{valid}"), "Invalid(Prefix)"),
        (format!("https://h.example/replays/17?{valid}"), "Invalid(Prefix)"),
        (format!("https://i.example/replays/17/a?{valid}"), "Invalid(Prefix)"),
        (format!("https://h.example/replays/17/a?{other}"), "Invalid(Prefix)"),
        (format!("https://h.example/replays/17/a?{valid}&x=1"), "Invalid(Parameters)"),
        (
            format!("https://h.example/replays/17/a?{}", valid.replace("&Exp", "&x=1&Exp")),
            "Invalid(Parameters)",
        ),
        (
            format!("https://h.example/replays/17/a?{}", valid.replace("Expires=17", "Expires=18")),
            "Invalid(Signature)",
        ),
        (format!("https://h.example/replays/17/a?{}", valid.replace("=u1", "=u2")), "Invalid(Signature)"),
    ];
    for (url, wanted) in cases {
        assert_eq!(check(&keyring, &url, None), wanted, "{url}");
    }
    // The signature covers only the parameters. The expected value was computed independently of this
    // program.
    keyring.keys[0].verification_key = Secret((0..16).collect());
    let text = keyring.sign_prefix("u1", "https://replays.example.org/17/", NOW + 9).expect("signed");
    let prefix = "aHR0cHM6Ly9yZXBsYXlzLmV4YW1wbGUub3JnLzE3Lw==";
    let wanted =
        format!("URLPrefix={prefix}&Expires=1700000009&KeyName=u1&Signature=t-7CWWPwVOIe4MEIj4eBsZOAwLM=");
    assert_eq!(text, wanted);
    assert!(
        keyring.sign_prefix("u1", "https://h.example/replays/17", NOW).is_err(),
        "a prefix for 17 would also match 170"
    );
}

fn token(kid: Option<&str>, algorithm: Jose, secret: &str, claims: Value) -> String {
    let head = Header { kid: kid.map(str::to_owned), ..Header::new(algorithm) };
    let secret = format!("secret of the key {secret}");
    jsonwebtoken::encode(&head, &claims, &EncodingKey::from_secret(secret.as_bytes())).expect("a token")
}

#[test]
#[expect(clippy::too_many_lines, reason = "one table of cases")]
fn verifies_tokens_and_their_claims() {
    let keyring = keyring();
    let url = "https://h.example/a/1?x=1";
    let hash = hash_container(url);
    let with = |more: Value| {
        let mut claims = json!({ "exp": NOW + 60, "cdniv": 1, "cdniuc": hash });
        let more = more.as_object().expect("claims").clone();
        claims.as_object_mut().expect("claims").extend(more);
        claims.as_object_mut().expect("claims").retain(|_, value| !value.is_null());
        claims
    };
    let cases = [
        (json!({}), "until 60"),
        (json!({ "exp": NOW as f64 + 0.5 }), "until 0"),
        (json!({ "exp": NOW }), "Expired"),
        (json!({ "exp": null }), "Invalid(NoExpiry)"),
        (json!({ "exp": "soon" }), "Invalid(Claims)"),
        (json!({ "exp": 1e300 }), "Invalid(Claims)"),
        (json!({ "nbf": NOW }), "until 60"),
        (json!({ "nbf": NOW + 1 }), "NotYetValid"),
        (json!({ "cdniv": null }), "until 60"),
        (json!({ "cdniv": 2 }), "Invalid(Version)"),
        (json!({ "iss": "tables" }), "Invalid(Issuer)"),
        (json!({ "aud": "edge" }), "until 60"),
        (json!({ "aud": ["x", "edge"] }), "until 60"),
        (json!({ "aud": "x" }), "Invalid(Audience)"),
        (json!({ "cdniuc": null }), "Invalid(Container)"),
        (json!({ "cdniuc": "hash:sha-256;AAAA" }), "Invalid(Container)"),
        (json!({ "cdniuc": "regex:https://h\\.example/a/[0-9]\\?x=1" }), "until 60"),
        (json!({ "cdniuc": "regex:https://h\\.example/a/" }), "Invalid(Container)"),
        (json!({ "cdniuc": "regex:(" }), "Invalid(Container)"),
        (json!({ "cdnicrit": "exp, cdniuc" }), "until 60"),
        (json!({ "cdnicrit": "future", "future": 1 }), "Invalid(CriticalClaim)"),
        (json!({ "cdnicrit": "nbf" }), "Invalid(CriticalClaim)"),
        (json!({ "future": 1 }), "until 60"),
        (json!({ "cdniip": "x" }), "Invalid(UnsupportedClaim)"),
        (json!({ "jti": "x" }), "Invalid(UnsupportedClaim)"),
        (json!({ "cdnistt": 1 }), "Invalid(UnsupportedClaim)"),
    ];
    for (more, wanted) in cases {
        let package = token(Some("t1"), Jose::HS256, "t1", with(more.clone()));
        assert_eq!(check(&keyring, &format!("{url}&URISigningPackage={package}"), None), wanted, "{more}");
        assert_eq!(check(&keyring, url, Some(&package)), wanted, "{more} in a cookie");
    }
    let issued = with(json!({ "iss": "tables" }));
    let by_key = [
        (token(Some("t2"), Jose::HS256, "t2", issued.clone()), "until 60"),
        (token(Some("t2"), Jose::HS256, "t2", with(json!({}))), "Invalid(Issuer)"),
        (token(Some("t1"), Jose::HS256, "t2", with(json!({}))), "Invalid(Signature)"),
        (token(Some("t1"), Jose::HS384, "t1", with(json!({}))), "Invalid(Signature)"),
        (token(Some("u1"), Jose::HS256, "u1", with(json!({}))), "Invalid(Key)"),
        (token(None, Jose::HS256, "t1", with(json!({}))), "Invalid(Key)"),
        ("a.b.c".into(), "Invalid(Token)"),
        (String::new(), "Invalid(Token)"),
    ];
    for (package, wanted) in by_key {
        assert_eq!(check(&keyring, url, Some(&package)), wanted, "{package}");
    }
    let unsigned = format!("{}.e30.", URL_SAFE_NO_PAD.encode("{\"alg\":\"none\",\"kid\":\"t1\"}"));
    assert_eq!(check(&keyring, url, Some(&unsigned)), "Invalid(Signature)");
    let critical = format!("{}.e30.", URL_SAFE_NO_PAD.encode("{\"alg\":\"HS256\",\"crit\":[\"b64\"]}"));
    assert_eq!(check(&keyring, url, Some(&critical)), "Invalid(CriticalHeader)");
}

#[test]
fn an_issued_token_is_valid_for_its_uris_and_no_others() {
    let keyring = keyring();
    let grant = |scope| Grant { scope, exp: NOW + 60, nbf: Some(NOW), iss: Some("tables".into()) };
    let object = TokenScope::Object("https://H.example:443/a/./1".into());
    let package = keyring.sign_token("t2", &grant(object)).expect("a token");
    assert_eq!(check(&keyring, "https://h.example/a/1", Some(&package)), "until 60");
    assert_eq!(check(&keyring, "https://h.example/a/2", Some(&package)), "Invalid(Container)");
    let table = keyring
        .sign_token("t2", &grant(TokenScope::Table("https://h.example/t/1/".into())))
        .expect("a token");
    for (url, wanted) in [
        ("https://h.example/t/1/x", "until 60"),
        ("https://h.example/t/1/../2/x", "Invalid(Container)"),
        ("https://h.example/t/17/x", "Invalid(Container)"),
    ] {
        assert_eq!(check(&keyring, url, Some(&table)), wanted, "{url}");
    }
    let refused = |scope| keyring.sign_token("t2", &grant(scope)).is_err();
    assert!(refused(TokenScope::Table("https://h.example/t/1".into())));
    assert!(refused(TokenScope::Object("https://h.example/a?Expires=1".into())));
    assert!(keyring.sign_token("u1", &grant(TokenScope::Object("https://h.example/a".into()))).is_err());
    assert!(keyring.sign_url("t1", "https://h.example/a", NOW).is_err());
}

#[test]
fn debug_output_of_keys_hides_secrets() {
    assert!(!format!("{:?}", keyring().keys).contains("secret of"));
}

#[test]
fn es256_verifies_with_public_key_and_signs_with_private() {
    use p256::pkcs8::{EncodePrivateKey, EncodePublicKey, LineEnding};
    let private = p256::SecretKey::from_slice(&[7; 32]).expect("a key");
    let public = private.public_key().to_public_key_pem(LineEnding::LF).expect("PEM").into_bytes();
    let private = private.to_pkcs8_pem(LineEnding::LF).expect("PEM").as_bytes().to_vec();
    let key = |signs: Option<Vec<u8>>| Key {
        name: "e1".into(),
        algorithm: Algorithm::Es256,
        verification_key: Secret(public.clone()),
        signing_key: signs.map(Secret),
        issuers: vec![],
    };
    let signing_keyring = Keyring { keys: vec![key(Some(private))], audience: vec![] };
    let verifying_keyring = Keyring { keys: vec![key(None)], audience: vec![] };
    let url = "https://h.example/a";
    let grant = Grant { scope: TokenScope::Object(url.into()), exp: NOW + 60, nbf: None, iss: None };
    let package = signing_keyring.sign_token("e1", &grant).expect("a token");
    assert_eq!(check(&verifying_keyring, url, Some(&package)), "until 60");
    assert!(verifying_keyring.sign_token("e1", &grant).is_err());
    // The public key is not secret: a token with an HMAC keyed by it must be denied.
    let claims = json!({ "exp": NOW + 60, "cdniuc": hash_container(url) });
    let head = Header { kid: Some("e1".into()), ..Header::new(Jose::HS256) };
    let forged = jsonwebtoken::encode(&head, &claims, &EncodingKey::from_secret(&public)).expect("a token");
    assert_eq!(check(&verifying_keyring, url, Some(&forged)), "Invalid(Signature)");
}

/// The log has these codes, so they must not change.
#[test]
fn denial_codes_are_fixed() {
    let cases: [(Denial, &str); 19] = [
        (Denial::SeveralCredentials, "several credentials"),
        (Denial::Missing, "missing"),
        (Denial::Expired, "expired"),
        (Denial::NotYetValid, "early"),
        (InvalidCredential::Parameters.into(), "parameters"),
        (InvalidCredential::Expires.into(), "expires"),
        (InvalidCredential::Key.into(), "key"),
        (InvalidCredential::Signature.into(), "signature"),
        (InvalidCredential::Prefix.into(), "prefix"),
        (InvalidCredential::Token.into(), "token"),
        (InvalidCredential::CriticalHeader.into(), "critical header"),
        (InvalidCredential::Claims.into(), "claims"),
        (InvalidCredential::CriticalClaim.into(), "critical claim"),
        (InvalidCredential::UnsupportedClaim.into(), "unsupported claim"),
        (InvalidCredential::Version.into(), "version"),
        (InvalidCredential::Issuer.into(), "issuer"),
        (InvalidCredential::Audience.into(), "audience"),
        (InvalidCredential::Container.into(), "container"),
        (InvalidCredential::NoExpiry.into(), "no end"),
    ];
    for (denial, code) in cases {
        assert_eq!(denial.to_string(), code);
    }
}

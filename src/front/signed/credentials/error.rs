//! Errors of verifying and of issuing credentials.

use crate::front::signed::uri::UriError;

/// Why a request is denied. The texts are the codes after `denied:` in the log, and must not change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Denial {
    /// The request has more than one credential. It is answered with 400.
    #[error("several credentials")]
    SeveralCredentials,
    /// The request has neither a signature nor a token.
    #[error("missing")]
    Missing,
    /// The credential is malformed, not genuine, or not valid for this request.
    #[error(transparent)]
    Invalid(#[from] InvalidCredential),
    /// The credential has expired.
    #[error("expired")]
    Expired,
    /// The credential is not valid yet.
    #[error("early")]
    NotYetValid,
}

/// What is wrong with a credential. The texts are codes too, as those of [`Denial`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum InvalidCredential {
    /// The credential's parameters are not the last ones of the URL, or are in the wrong order.
    #[error("parameters")]
    Parameters,
    /// The expiry of a signed URL is not a Unix time.
    #[error("expires")]
    Expires,
    /// The key is unknown, or cannot be used for this kind of credential.
    #[error("key")]
    Key,
    /// The signature is wrong.
    #[error("signature")]
    Signature,
    /// The URI does not begin with the signed prefix.
    #[error("prefix")]
    Prefix,
    /// The token is not a JWT.
    #[error("token")]
    Token,
    /// The token has a critical header parameter.
    #[error("critical header")]
    CriticalHeader,
    /// The value of a claim has the wrong type, or is out of range.
    #[error("claims")]
    Claims,
    /// A claim that is declared critical is not supported, or missing.
    #[error("critical claim")]
    CriticalClaim,
    /// A claim restricts or renews the token in a way that is not supported.
    #[error("unsupported claim")]
    UnsupportedClaim,
    /// The version of the claims is not supported.
    #[error("version")]
    Version,
    /// The key may not be used for tokens of this issuer.
    #[error("issuer")]
    Issuer,
    /// The token's audience does not include this service.
    #[error("audience")]
    Audience,
    /// The token is not valid for this URI.
    #[error("container")]
    Container,
    /// The token has no expiry.
    #[error("no end")]
    NoExpiry,
}

/// Why a credential cannot be issued.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SignError {
    /// There is no key of this name that can sign this kind of credential.
    #[error("key {0:?} does not exist or cannot sign this kind of credential")]
    Key(String),
    /// The text to be signed is not a valid URI.
    #[error("the URI cannot be signed: {0}")]
    Uri(#[from] UriError),
    /// The URI of a table does not end in a slash. Without it, a credential for table 1 would also be valid
    /// for table 17.
    #[error("the URI cannot be signed: the URI of a table must end in a slash")]
    NoTrailingSlash,
    /// The URI already has a credential.
    #[error("the URI cannot be signed: it already has a credential")]
    HoldsCredential,
    /// The key cannot be decoded, or signing with it fails.
    #[error("the key cannot be used to sign")]
    UnusableKey,
}

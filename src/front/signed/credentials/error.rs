//! Why a credential is denied, and why one cannot be issued.

use crate::front::signed::uri::UriError;

/// Why a request is denied. The texts are the codes of the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Denial {
    /// It has more than one credential: 400.
    #[error("several credentials")]
    SeveralCredentials,
    /// It has neither a signature nor a token.
    #[error("missing")]
    Missing,
    /// Its credential is not genuine, or not for this URI.
    #[error(transparent)]
    Invalid(#[from] InvalidCredential),
    /// Its credential has expired.
    #[error("expired")]
    Expired,
    /// Its credential is not valid yet.
    #[error("early")]
    NotYetValid,
}

/// What is wrong with a credential.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum InvalidCredential {
    /// The parameters of a signed URL are not the last ones, or not in their order.
    #[error("parameters")]
    Parameters,
    /// The expiry is not a Unix time.
    #[error("expires")]
    Expires,
    /// The key is unknown, or is not for this kind of credential.
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
    /// A claim has a value of another type.
    #[error("claims")]
    Claims,
    /// A critical claim is not understood.
    #[error("critical claim")]
    CriticalClaim,
    /// A claim restricts the token in a way that is not supported.
    #[error("unsupported claim")]
    UnsupportedClaim,
    /// The version of the claims is not supported.
    #[error("version")]
    Version,
    /// The key is not for tokens of this issuer.
    #[error("issuer")]
    Issuer,
    /// The token is for another service.
    #[error("audience")]
    Audience,
    /// The token is for another URI.
    #[error("container")]
    Container,
    /// The token does not expire.
    #[error("no end")]
    NoExpiry,
}

/// Why a credential cannot be issued.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SignError {
    /// There is no key of this name that signs this kind of credential.
    #[error("no key {0:?} signs this")]
    Key(String),
    /// The text to be signed is not a URI.
    #[error("not a URI that can be signed: {0}")]
    Uri(#[from] UriError),
    /// The URI of a table does not end in a slash: a credential for table 1 would be valid for table 17.
    #[error("not a URI that can be signed: a table's URI ends in a slash")]
    NoTrailingSlash,
    /// The URI has a credential already.
    #[error("not a URI that can be signed: it holds a credential")]
    HoldsCredential,
    /// The key cannot be read.
    #[error("the key is of no use")]
    Unusable,
}

//! Errors of operator's files for the signed front that cannot be used.

/// What is wrong with the file for the signed front, or with a file that it names.
#[derive(Debug, thiserror::Error)]
pub(super) enum SignedConfigError {
    #[error("the file is not UTF-8")]
    NotUtf8,
    #[error(transparent)]
    Toml(#[from] toml::de::Error),
    #[error("scheme {0:?} is neither http nor https")]
    Scheme(String),
    #[error("hosts must list at least one host, all in lower case")]
    Hosts,
    #[error("key {0:?} is defined twice")]
    DuplicateKey(String),
    #[error("key {key:?} has no {setting}")]
    MissingKeyFile { key: String, setting: &'static str },
    #[error("the secret is not base64url")]
    SecretEncoding,
    #[error("the secret has fewer than {min_bytes} bytes")]
    ShortSecret { min_bytes: usize },
    #[error("path {0:?} of a route must begin with \"/\" and have one segment {{object}} and no value segment twice")]
    Route(String),
}

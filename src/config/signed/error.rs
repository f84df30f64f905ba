//! Why the operator's file of the second front cannot be used.

/// What is wrong with the file of the second front, or with a file that it names.
#[derive(Debug, thiserror::Error)]
pub(super) enum SignedConfigError {
    #[error("not UTF-8")]
    NotUtf8,
    #[error(transparent)]
    Toml(#[from] toml::de::Error),
    #[error("scheme {0:?} is neither http nor https")]
    Scheme(String),
    #[error("hosts must be named in lower case")]
    Hosts,
    #[error("key {0:?} is there twice")]
    DuplicateKey(String),
    #[error("key {key:?} names no {setting}")]
    MissingKeyFile { key: String, setting: &'static str },
    #[error("the secret is no base64url")]
    SecretEncoding,
    #[error("the secret has under {min_bytes} bytes")]
    ShortSecret { min_bytes: usize },
    #[error("route {0:?} names no object, or something twice")]
    Route(String),
}

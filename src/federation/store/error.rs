//! The errors of a store.

use crate::federation::log::LogError;
use crate::federation::MemberId;

/// Why a store cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// The store does not exist.
    #[error("the store does not exist; `dahliatrack federation init` creates the store of a new member")]
    NotFound,
    /// A file exists at the path of the store to create.
    #[error("the store exists already and is never overwritten")]
    AlreadyExists,
    /// Another process has the store open.
    #[error("another process has the store open")]
    Locked,
    /// The store belongs to another member or another federation.
    #[error("the store belongs to member {0} of federation {1:?}")]
    OtherOwner(MemberId, String),
    /// The store has a format version that this program does not know.
    #[error("the store has format version {found}, this program supports {known}")]
    Format {
        /// The store's format version.
        found: u32,
        /// The version that this program reads and writes.
        known: u32,
    },
    /// The store is torn or altered.
    #[error("the store is damaged: {0}")]
    Damaged(#[from] Damage),
    /// An earlier write to this open store failed; its contents are unknown until it is opened again.
    #[error("an earlier write failed; the store must be opened again")]
    Poisoned,
    /// A record cannot be encoded.
    #[error("a record cannot be encoded: {0}")]
    Encoding(#[from] postcard::Error),
    /// A file operation failed.
    #[error("{0}")]
    File(#[from] std::io::Error),
    /// The database library failed for another reason than damage, such as a full or failing disk.
    #[error("{0}")]
    Database(redb::Error),
}

/// What is wrong with a damaged store.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Damage {
    /// The file is not a database.
    #[error("the file is not a database")]
    NotADatabase,
    /// The database library found pages with a wrong checksum, or pages or tables that cannot belong to a
    /// store.
    #[error("{0}")]
    Pages(String),
    /// The database library panicked while it opened the file.
    #[error("the database cannot be opened")]
    Unopenable,
    /// A record that every store has is missing.
    #[error("{0} is missing")]
    Missing(&'static str),
    /// A record is shorter than its digest.
    #[error("{0} is truncated")]
    CutShort(String),
    /// A record does not match its digest.
    #[error("{0} does not match its digest")]
    Altered(String),
    /// A record matches its digest but cannot be decoded.
    #[error("{0} cannot be decoded")]
    Undecodable(String),
    /// The records can be decoded but do not form a valid log.
    #[error("{0}")]
    Log(#[from] LogError),
}

impl From<redb::Error> for StoreError {
    fn from(error: redb::Error) -> Self {
        match error {
            redb::Error::DatabaseAlreadyOpen => StoreError::Locked,
            redb::Error::Io(error) if error.kind() == std::io::ErrorKind::InvalidData => {
                Damage::NotADatabase.into()
            }
            redb::Error::Corrupted(text) => Damage::Pages(text).into(),
            error @ (redb::Error::TableDoesNotExist(_)
            | redb::Error::TableIsMultimap(_)
            | redb::Error::TableTypeMismatch { .. }
            | redb::Error::TypeDefinitionChanged { .. }
            | redb::Error::UpgradeRequired(_)) => Damage::Pages(error.to_string()).into(),
            error => StoreError::Database(error),
        }
    }
}

macro_rules! from_library_errors {
    ($($kind:ident),*) => {
        $(impl From<redb::$kind> for StoreError {
            fn from(error: redb::$kind) -> Self {
                redb::Error::from(error).into()
            }
        })*
    };
}
from_library_errors!(
    CommitError,
    DatabaseError,
    SetDurabilityError,
    StorageError,
    TableError,
    TransactionError
);

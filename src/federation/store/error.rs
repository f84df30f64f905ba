//! Why a store cannot be used.

use crate::federation::log::LogError;
use crate::federation::MemberId;

/// Why a store cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// There is no store at this path.
    #[error("there is no store; a new member's is made by `dahliatrack federation init`")]
    NotFound,
    /// There is a store at this path already.
    #[error("there is a store already; it is never written over")]
    AlreadyExists,
    /// Another process has the store open.
    #[error("another process has it open")]
    Locked,
    /// The store belongs to another member or another federation.
    #[error("it is member {0}'s of federation {1:?}")]
    OtherOwner(MemberId, String),
    /// The store has a format version that this program does not know.
    #[error("its form is {found}, this program knows {known}")]
    Format {
        /// The store's format version.
        found: u32,
        /// The version that this program reads and writes.
        known: u32,
    },
    /// The store is torn or altered.
    #[error("it is damaged: {0}")]
    Damaged(#[from] Damage),
    /// A write to this open store failed: what it holds is not known until it is opened again.
    #[error("a write failed before; it has to be opened again")]
    Poisoned,
    /// A record cannot be encoded.
    #[error("a record can't be encoded: {0}")]
    Encoding(#[from] postcard::Error),
    /// The operating system refuses a file operation.
    #[error("{0}")]
    File(#[from] std::io::Error),
    /// The database library reports a failure that is not damage: a full or failing disk.
    #[error("{0}")]
    Database(redb::Error),
}

/// What is wrong with a damaged store.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Damage {
    /// The file is not a database.
    #[error("no store's file")]
    NotADatabase,
    /// The database library found pages that do not have their checksum, or cannot belong to a database.
    #[error("{0}")]
    Pages(String),
    /// The database library gave up by a panic while it opened the file.
    #[error("it can't be opened")]
    Unopenable,
    /// A record that every store has is not there.
    #[error("{0} is missing")]
    Missing(&'static str),
    /// A record is shorter than its digest.
    #[error("{0} is cut short")]
    CutShort(String),
    /// A record does not have its digest.
    #[error("{0} is not what was kept")]
    Altered(String),
    /// A record has its digest and cannot be decoded.
    #[error("{0} can't be read")]
    Undecodable(String),
    /// The records are readable and do not make a log.
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

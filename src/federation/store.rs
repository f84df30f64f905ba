//! The durable log, in `redb` (an embedded store whose transactions are fsynced and all or nothing). Each value carries a
//! digest: a store that was torn or altered is a clear error, and never a member that begins from nothing.

use super::log::{Save, Saved};
use super::node::{founding, Keep};
use super::records::{EntryRecord, Hard, SnapshotRecord};
use super::settings::FederationSettings;
use super::MemberId;
use redb::{Database, Durability, ReadableDatabase, ReadableTable, TableDefinition};
use serde::{de::DeserializeOwned, Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::path::Path;

const META: TableDefinition<&str, &[u8]> = TableDefinition::new("meta");
const LOG: TableDefinition<u64, &[u8]> = TableDefinition::new("log");
/// The form of what is kept.
const FORM: u32 = 1;
/// Bytes of a value's digest.
const DIGEST: usize = 16;

/// Why a store cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// There is none.
    #[error("there is no store; a new member's is made by `dahliatrack federation init`")]
    Absent,
    /// There is one already.
    #[error("there is a store already; it is never written over")]
    Present,
    /// Another process has it open.
    #[error("another process has it open")]
    Locked,
    /// It is another member's, or another federation's.
    #[error("it is member {0}'s of federation {1:?}")]
    Other(MemberId, String),
    /// It is in a form that this program does not know.
    #[error("its form is {0}, this program knows {FORM}")]
    Form(u32),
    /// It is torn or altered.
    #[error("it is damaged: {0}")]
    Damaged(String),
    /// The system or the disk refuses.
    #[error("{0}")]
    Io(String),
}

macro_rules! io_errors {
    ($($kind:ty),*) => {
        $(impl From<$kind> for StoreError {
            fn from(error: $kind) -> Self {
                StoreError::Io(error.to_string())
            }
        })*
    };
}
io_errors!(redb::TransactionError, redb::TableError, redb::CommitError, redb::SetDurabilityError);

impl From<redb::StorageError> for StoreError {
    fn from(error: redb::StorageError) -> Self {
        match error {
            redb::StorageError::Corrupted(text) => StoreError::Damaged(text),
            other => StoreError::Io(other.to_string()),
        }
    }
}

impl From<redb::DatabaseError> for StoreError {
    fn from(error: redb::DatabaseError) -> Self {
        match error {
            redb::DatabaseError::DatabaseAlreadyOpen => StoreError::Locked,
            redb::DatabaseError::Storage(redb::StorageError::Io(error)) => match error.kind() {
                std::io::ErrorKind::InvalidData => StoreError::Damaged("no store's file".to_owned()),
                _ => StoreError::Io(error.to_string()),
            },
            redb::DatabaseError::Storage(error) => error.into(),
            redb::DatabaseError::RepairAborted => StoreError::Damaged("its repair was broken off".to_owned()),
            other => StoreError::Damaged(other.to_string()),
        }
    }
}

/// Whose store it is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Owner {
    /// The form of what is kept.
    pub form: u32,
    /// The federation's name.
    pub cluster: String,
    /// The member.
    pub id: MemberId,
    /// Drawn when the store was made: another store of this member has another one.
    pub incarnation: u64,
}

/// A member's store.
pub struct Store {
    /// None only while it is dropped.
    db: Option<Database>,
    owner: Owner,
}

impl Drop for Store {
    /// The library writes once more at the end, and gives up by a panic where the file's own bookkeeping is damaged.
    fn drop(&mut self) {
        let db = self.db.take();
        let _ = catch_unwind(AssertUnwindSafe(|| drop(db)));
    }
}

fn seal(value: &impl Serialize) -> Result<Vec<u8>, StoreError> {
    let mut bytes = postcard::to_stdvec(value).map_err(|error| StoreError::Io(error.to_string()))?;
    let digest = Sha256::digest(&bytes);
    bytes.extend_from_slice(&digest[..DIGEST]);
    Ok(bytes)
}

fn open<T: DeserializeOwned>(what: &str, bytes: &[u8]) -> Result<T, StoreError> {
    let damaged = |text: &str| StoreError::Damaged(format!("{what} {text}"));
    let split = bytes.len().checked_sub(DIGEST).ok_or_else(|| damaged("is cut short"))?;
    let (value, digest) = bytes.split_at(split);
    if Sha256::digest(value)[..DIGEST] != *digest {
        return Err(damaged("is not what was kept"));
    }
    postcard::from_bytes(value).map_err(|_| damaged("can't be read"))
}

impl Store {
    /// Makes a new member's store, and keeps what it begins with.
    ///
    /// # Errors
    ///
    /// There is one already, or the disk refuses.
    pub fn create(path: &Path, owner: &Owner, saved: &Saved) -> Result<(), StoreError> {
        if path.exists() {
            return Err(StoreError::Present);
        }
        // Made beside its place and moved there whole: half a store is none.
        let draft = path.with_extension("draft");
        let _ = std::fs::remove_file(&draft); // one that was broken off
        let db = Database::create(&draft)?;
        let write = db.begin_write()?;
        {
            let mut meta = write.open_table(META)?;
            meta.insert("owner", &seal(owner)?[..])?;
            meta.insert("hard", &seal(&saved.hard)?[..])?;
            meta.insert("snapshot", &seal(&saved.snapshot)?[..])?;
            write.open_table(LOG)?;
        }
        write.commit()?;
        drop(db);
        let io = |error: std::io::Error| StoreError::Io(error.to_string());
        std::fs::rename(&draft, path).map_err(io)?;
        let folder = path.parent().filter(|folder| !folder.as_os_str().is_empty()).unwrap_or(Path::new("."));
        std::fs::File::open(folder).and_then(|folder| folder.sync_all()).map_err(io)
    }

    /// Opens a member's store and reads it whole.
    ///
    /// # Errors
    ///
    /// There is none, it is another's, damaged, or open elsewhere.
    pub fn open(path: &Path, cluster: &str, id: MemberId) -> Result<(Self, Saved), StoreError> {
        if !path.exists() {
            return Err(StoreError::Absent);
        }
        // What a damaged file makes the library give up on is an error of the store, and no end of the program.
        let opened = catch_unwind(|| Self::read(path));
        let (store, saved) = opened.map_err(|_| StoreError::Damaged("it can't be opened".to_owned()))??;
        if (store.owner.id, &store.owner.cluster[..]) != (id, cluster) {
            return Err(StoreError::Other(store.owner.id, store.owner.cluster.clone()));
        }
        Ok((store, saved))
    }

    fn read(path: &Path) -> Result<(Self, Saved), StoreError> {
        let db = Database::open(path)?;
        let (owner, saved) = {
            let read = db.begin_read()?;
            let meta = read.open_table(META)?;
            let value = |key: &str| -> Result<Vec<u8>, StoreError> {
                let found = meta.get(key)?.ok_or_else(|| StoreError::Damaged(format!("{key} is missing")))?;
                Ok(found.value().to_vec())
            };
            let owner: Owner = open("the owner", &value("owner")?)?;
            if owner.form != FORM {
                return Err(StoreError::Form(owner.form));
            }
            let hard: Hard = open("the vote", &value("hard")?)?;
            let snapshot: SnapshotRecord = open("the snapshot", &value("snapshot")?)?;
            let mut entries = Vec::new();
            for found in read.open_table(LOG)?.iter()? {
                let (index, bytes) = found?;
                let entry: EntryRecord = open(&format!("entry {}", index.value()), bytes.value())?;
                entries.push(entry);
            }
            (owner, Saved { hard, snapshot, entries })
        };
        saved.check().map_err(StoreError::Damaged)?;
        Ok((Store { db: Some(db), owner }, saved))
    }

    /// Whose it is.
    pub fn owner(&self) -> &Owner {
        &self.owner
    }
}

/// Makes the store of a file's own member: one that founds the federation with all of the file's members, or one that
/// joins a federation and learns all from it.
///
/// # Errors
///
/// There is one already, or the disk refuses.
pub fn found(settings: &FederationSettings, joins: bool, incarnation: u64) -> Result<(), StoreError> {
    let saved = if joins { Saved::default() } else { founding(&settings.founded()) };
    let owner = Owner::new(&settings.cluster, settings.id, incarnation);
    Store::create(&settings.store, &owner, &saved)
}

impl Owner {
    /// The owner of a new store.
    pub fn new(cluster: &str, id: MemberId, incarnation: u64) -> Self {
        Owner { form: FORM, cluster: cluster.to_owned(), id, incarnation }
    }
}

impl Keep for Store {
    type Error = StoreError;

    fn save(&mut self, save: &Save) -> Result<(), StoreError> {
        let db = self.db.as_ref().ok_or_else(|| StoreError::Io("it is closed".to_owned()))?;
        let mut write = db.begin_write()?;
        write.set_durability(Durability::Immediate)?;
        {
            let mut meta = write.open_table(META)?;
            let mut log = write.open_table(LOG)?;
            if let Some(snapshot) = &save.snapshot {
                meta.insert("snapshot", &seal(snapshot)?[..])?;
                let last = if save.replaces { u64::MAX } else { snapshot.index };
                log.retain_in(..=last, |_, _| false)?;
            }
            match (save.hard, &save.snapshot) {
                (Some(hard), _) => drop(meta.insert("hard", &seal(&hard)?[..])?),
                // The log is committed at least as far as the snapshot.
                (None, Some(snapshot)) => {
                    let known = meta.get("hard")?.map(|found| found.value().to_vec()).unwrap_or_default();
                    let mut hard: Hard = open("the vote", &known)?;
                    hard.commit = hard.commit.max(snapshot.index);
                    meta.insert("hard", &seal(&hard)?[..])?;
                }
                (None, None) => {}
            }
            if let Some(first) = save.entries.first() {
                log.retain_in(first.index.., |_, _| false)?;
                for entry in &save.entries {
                    log.insert(entry.index, &seal(entry)?[..])?;
                }
            }
        }
        write.commit()?;
        Ok(())
    }
}

//! The durable log of one member, in `redb` (an embedded database whose transactions are atomic and fsynced).
//!
//! What a member has acknowledged must survive any crash, and what could not be stored must not be
//! acknowledged:
//!
//! - [`DurableStorage::save`] returns only after the transaction is on the disk. After a failed write the
//!   store accepts no more writes ([`StoreError::Poisoned`]), since only opening it again shows whether the
//!   write was stored.
//! - Transactions commit in two phases, the second after the first one is on the disk. With one phase the
//!   library takes a damaged newest transaction for one that a crash interrupted, and falls back to the one
//!   before it, which would lose an acknowledged vote; with two phases this is an error. Also, after a failed
//!   fsync the operating system may return data that is only in its page cache and will never be written
//!   back; data that the first phase has not made durable is not read.
//! - Each record carries a digest, and the library verifies its pages when a store is opened, so that a torn
//!   or altered store is an error and never appears empty.

mod error;
mod record;

#[cfg(test)]
pub(super) mod faulty_disk;
#[cfg(test)]
mod tests;

pub use error::{Damage, StoreError};

use super::log::{LogUpdate, StoredLog};
use super::node::{founding_log, DurableStorage};
use super::records::{EntryRecord, HardState, SnapshotRecord};
use super::settings::FederationSettings;
use super::MemberId;
use redb::{
    Builder, Database, DatabaseError, Durability, ReadableDatabase, ReadableTable, Table, TableDefinition,
    WriteTransaction,
};
use serde::{Deserialize, Serialize};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::path::Path;

const META: TableDefinition<&str, &[u8]> = TableDefinition::new("meta");
const LOG: TableDefinition<u64, &[u8]> = TableDefinition::new("log");
// Keys of the table `META`.
const OWNER_KEY: &str = "owner";
const HARD_STATE_KEY: &str = "hard";
const SNAPSHOT_KEY: &str = "snapshot";
/// Name of the hard state in error messages.
const HARD_STATE_NAME: &str = "the hard state";
/// Format version of the stored records.
const FORMAT_VERSION: u32 = 1;

/// The first record of a store: which member it belongs to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Owner {
    /// Format version of the records.
    pub format: u32,
    /// Name of the federation.
    pub cluster: String,
    /// The member that the store belongs to.
    pub id: MemberId,
    /// Random number drawn when the store is created; distinguishes two stores of one member.
    pub incarnation: u64,
}

impl Owner {
    /// Creates the owner record of a new store, with the current format version.
    pub fn new(cluster: &str, id: MemberId, incarnation: u64) -> Self {
        Owner { format: FORMAT_VERSION, cluster: cluster.to_owned(), id, incarnation }
    }
}

/// The open store of a member. Only one process can have it open at a time.
pub struct Store {
    /// `None` only while the store is being dropped.
    database: Option<Database>,
    owner: Owner,
    /// Whether a write failed; the store must then be opened again before another write.
    poisoned: bool,
}

impl Drop for Store {
    /// Catches a panic of the library, which writes once more when it closes a database and panics if its
    /// pages are damaged.
    fn drop(&mut self) {
        let database = self.database.take();
        let _ = catch_unwind(AssertUnwindSafe(|| drop(database)));
    }
}

impl Store {
    /// Creates the store of a new member with its initial records.
    ///
    /// # Errors
    ///
    /// The store exists already, or the disk fails.
    pub fn create(path: &Path, owner: &Owner, saved: &StoredLog) -> Result<(), StoreError> {
        if path.exists() {
            return Err(StoreError::AlreadyExists);
        }
        // The store is written under another name and renamed once it is complete, so that an interrupted
        // attempt never leaves an incomplete store under the real name.
        let draft = path.with_extension("draft");
        let _ = std::fs::remove_file(&draft); // left by an interrupted attempt
        Self::initialize(Database::create(&draft)?, owner, saved)?;
        std::fs::rename(&draft, path)?;
        let folder = path.parent().filter(|folder| !folder.as_os_str().is_empty()).unwrap_or(Path::new("."));
        Ok(std::fs::File::open(folder)?.sync_all()?)
    }

    fn initialize(database: Database, owner: &Owner, saved: &StoredLog) -> Result<(), StoreError> {
        let transaction = begin_write(&database)?;
        write_all(&transaction, owner, saved)?;
        transaction.commit()?;
        Ok(database.close()?)
    }

    /// Opens the store of a member, verifies it and reads all records.
    ///
    /// # Errors
    ///
    /// The store does not exist, belongs to another member, is damaged, or is open in another process.
    pub fn open(path: &Path, cluster: &str, id: MemberId) -> Result<(Self, StoredLog), StoreError> {
        if !path.exists() {
            return Err(StoreError::NotFound);
        }
        Self::open_database(cluster, id, |builder| builder.open(path))
    }

    fn open_database(
        cluster: &str,
        id: MemberId,
        open: impl FnOnce(&mut Builder) -> Result<Database, DatabaseError>,
    ) -> Result<(Self, StoredLog), StoreError> {
        let mut builder = Builder::new();
        builder.set_check_integrity_on_open(true);
        // The library may panic on a damaged file; this must be an error of the store and not end the
        // program.
        let opened = catch_unwind(AssertUnwindSafe(|| Self::read(open(&mut builder)?)));
        let (store, saved) = opened.map_err(|_| Damage::Unopenable)??;
        if (store.owner.id, &store.owner.cluster[..]) != (id, cluster) {
            return Err(StoreError::OtherOwner(store.owner.id, store.owner.cluster.clone()));
        }
        Ok((store, saved))
    }

    fn read(database: Database) -> Result<(Self, StoredLog), StoreError> {
        let (owner, saved) = read_all(&database)?;
        saved.check().map_err(Damage::Log)?;
        Ok((Store { database: Some(database), owner, poisoned: false }, saved))
    }

    /// Runs `change` in a transaction, which is durable when this returns `Ok`.
    fn write(
        &mut self,
        change: impl FnOnce(&WriteTransaction) -> Result<(), StoreError>,
    ) -> Result<(), StoreError> {
        let database = self.database.as_ref().filter(|_| !self.poisoned).ok_or(StoreError::Poisoned)?;
        self.poisoned = true; // reset after the commit; stays set if any step fails or panics
        let transaction = begin_write(database)?;
        change(&transaction)?;
        transaction.commit()?;
        self.poisoned = false;
        Ok(())
    }

    /// Returns the owner record, read when the store was opened.
    pub fn owner(&self) -> &Owner {
        &self.owner
    }
}

/// Creates the store of the member that the settings belong to. A founder begins with all members of the
/// settings file; a member that joins a federation begins with an empty log and receives the state from the
/// others.
///
/// # Errors
///
/// The store exists already, or the disk fails.
pub fn create_member_store(
    settings: &FederationSettings,
    joins: bool,
    incarnation: u64,
) -> Result<(), StoreError> {
    let saved = if joins { StoredLog::default() } else { founding_log(&settings.founding_state()) };
    let owner = Owner::new(&settings.cluster, settings.id, incarnation);
    Store::create(&settings.store, &owner, &saved)
}

impl DurableStorage for Store {
    type Error = StoreError;

    fn save(&mut self, save: &LogUpdate) -> Result<(), StoreError> {
        self.write(|transaction| {
            let mut meta = transaction.open_table(META)?;
            let mut log = transaction.open_table(LOG)?;
            if let Some(snapshot) = &save.snapshot {
                meta.insert(SNAPSHOT_KEY, &record::encode(snapshot)?[..])?;
                let last = if save.replaces_log { u64::MAX } else { snapshot.index.0 };
                log.retain_in(..=last, |_, _| false)?;
            }
            if let Some(hard) = hard_state_after(&meta, save)? {
                meta.insert(HARD_STATE_KEY, &record::encode(&hard)?[..])?;
            }
            if let Some(first) = save.entries.first() {
                log.retain_in(first.index.0.., |_, _| false)?;
            }
            insert_entries(&mut log, &save.entries)
        })
    }
}

/// Begins a write transaction whose commit returns only once it is durable, and otherwise fails.
fn begin_write(database: &Database) -> Result<WriteTransaction, StoreError> {
    let mut transaction = database.begin_write()?;
    transaction.set_durability(Durability::Immediate)?;
    transaction.set_two_phase_commit(true);
    Ok(transaction)
}

/// Returns the hard state to write with an update, if any: the update's own, or the stored one with the
/// commit index raised to at least that of the update's snapshot.
fn hard_state_after(
    meta: &Table<'_, &str, &[u8]>,
    save: &LogUpdate,
) -> Result<Option<HardState>, StoreError> {
    match (save.hard_state, &save.snapshot) {
        (Some(hard), _) => Ok(Some(hard)),
        (None, None) => Ok(None),
        (None, Some(snapshot)) => {
            let stored = meta.get(HARD_STATE_KEY)?.ok_or(Damage::Missing(HARD_STATE_NAME))?;
            let mut hard: HardState = record::decode(HARD_STATE_NAME, stored.value())?;
            hard.commit = hard.commit.max(snapshot.index);
            Ok(Some(hard))
        }
    }
}

fn insert_entries(
    log: &mut Table<'_, u64, &'static [u8]>,
    entries: &[EntryRecord],
) -> Result<(), StoreError> {
    for entry in entries {
        log.insert(entry.index.0, &record::encode(entry)?[..])?;
    }
    Ok(())
}

/// Writes all records of a new store.
fn write_all(transaction: &WriteTransaction, owner: &Owner, saved: &StoredLog) -> Result<(), StoreError> {
    let mut meta = transaction.open_table(META)?;
    let mut log = transaction.open_table(LOG)?;
    meta.insert(OWNER_KEY, &record::encode(owner)?[..])?;
    meta.insert(HARD_STATE_KEY, &record::encode(&saved.hard_state)?[..])?;
    meta.insert(SNAPSHOT_KEY, &record::encode(&saved.snapshot)?[..])?;
    insert_entries(&mut log, &saved.entries)
}

/// Reads all records.
fn read_all(database: &Database) -> Result<(Owner, StoredLog), StoreError> {
    let transaction = database.begin_read()?;
    let meta = transaction.open_table(META)?;
    let stored = |key: &str, name: &'static str| -> Result<Vec<u8>, StoreError> {
        let found = meta.get(key)?.ok_or(Damage::Missing(name))?;
        Ok(found.value().to_vec())
    };
    let owner: Owner = record::decode("the owner", &stored(OWNER_KEY, "the owner")?)?;
    if owner.format != FORMAT_VERSION {
        return Err(StoreError::Format { found: owner.format, known: FORMAT_VERSION });
    }
    let hard = record::decode(HARD_STATE_NAME, &stored(HARD_STATE_KEY, HARD_STATE_NAME)?)?;
    let snapshot: SnapshotRecord = record::decode("the snapshot", &stored(SNAPSHOT_KEY, "the snapshot")?)?;
    let mut entries = Vec::new();
    for found in transaction.open_table(LOG)?.iter()? {
        let (index, bytes) = found?;
        entries.push(record::decode(&format!("entry {}", index.value()), bytes.value())?);
    }
    Ok((owner, StoredLog { hard_state: hard, snapshot, entries }))
}

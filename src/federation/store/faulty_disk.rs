//! An in-memory disk with a page cache, for tests. It can fail calls, lose power, and kill its process in the
//! middle of a write.

use super::{Owner, Store, StoreError};
use crate::federation::log::StoredLog;
use crate::federation::MemberId;
use rand::Rng;
use redb::{Builder, StorageBackend};
use std::io;
use std::ops::Range;
use std::sync::{Arc, Mutex, MutexGuard};

/// Unit in which a write that was not synced survives a power loss or not, in bytes.
const SECTOR_BYTES: usize = 512;
/// Linux error numbers.
pub(crate) const EIO: i32 = 5;
pub(crate) const ENOSPC: i32 = 28;

/// The kind of a call that changes the disk.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum DiskCall {
    Write,
    Sync,
    SetLen,
}

/// A fault: a range of calls that fail.
#[derive(Clone, Debug)]
pub(crate) struct Fault {
    /// Numbers of the calls that fail. All calls that change the disk are counted, from 1 on.
    pub calls: Range<u64>,
    /// The kind of call that fails, `None` for all kinds.
    pub only: Option<DiskCall>,
    pub error: i32,
}

/// A change of the disk's contents.
#[derive(Clone, Debug)]
enum DiskWrite {
    Write(usize, Vec<u8>),
    SetLen(usize),
}

impl DiskWrite {
    fn apply(&self, bytes: &mut Vec<u8>) {
        match self {
            DiskWrite::Write(offset, data) => {
                let end = offset + data.len();
                if bytes.len() < end {
                    bytes.resize(end, 0);
                }
                bytes[*offset..end].copy_from_slice(data);
            }
            DiskWrite::SetLen(length) => bytes.resize(*length, 0),
        }
    }
}

#[derive(Debug, Default)]
struct DiskState {
    /// The page cache, which reads return.
    cached: Vec<u8>,
    /// What is stored durably.
    durable: Vec<u8>,
    /// The changes that are only in the page cache and will be written back.
    dirty: Vec<DiskWrite>,
    /// The kinds of all calls so far that change the disk.
    calls: Vec<DiskCall>,
    faults: Vec<Fault>,
    /// Number of the call in which the process is killed. If it is a write, half of it is done; all later
    /// calls fail.
    killed_at: Option<u64>,
    /// Number of calls that failed.
    failures: u64,
}

/// A simulated disk; clones share its state.
#[derive(Clone, Debug, Default)]
pub(crate) struct FaultyDisk(Arc<Mutex<DiskState>>);

impl FaultyDisk {
    /// Creates a disk with these bytes, all of them durable.
    pub fn with_contents(bytes: Vec<u8>) -> Self {
        let contents = DiskState { cached: bytes.clone(), durable: bytes, ..DiskState::default() };
        FaultyDisk(Arc::new(Mutex::new(contents)))
    }

    fn contents(&self) -> MutexGuard<'_, DiskState> {
        self.0.lock().expect("the lock is not poisoned")
    }

    /// Adds a fault.
    pub fn fail(&self, fault: Fault) {
        self.contents().faults.push(fault);
    }

    /// Fails all calls from now on, until [`FaultyDisk::repair`].
    pub fn fail_all(&self, error: i32) {
        let from = self.calls() + 1;
        self.fail(Fault { calls: from..u64::MAX, only: None, error });
    }

    /// Removes all faults.
    pub fn repair(&self) {
        self.contents().faults.clear();
    }

    /// Kills the process that uses the disk in the call of this number.
    pub fn kill_at(&self, call: u64) {
        self.contents().killed_at = Some(call);
    }

    /// Whether the process was killed by [`FaultyDisk::kill_at`].
    pub fn killed(&self) -> bool {
        let contents = self.contents();
        contents.killed_at.is_some_and(|call| contents.count() >= call)
    }

    /// Returns the number of calls so far that change the disk.
    pub fn calls(&self) -> u64 {
        self.contents().count()
    }

    /// Returns the numbers of the calls so far of one kind, or of all kinds.
    pub fn calls_of(&self, only: Option<DiskCall>) -> Vec<u64> {
        let contents = self.contents();
        let numbered = (1..).zip(&contents.calls);
        numbered
            .filter(|(_, call)| only.is_none_or(|only| only == **call))
            .map(|(number, _)| number)
            .collect()
    }

    /// Returns the number of calls that failed so far.
    pub fn failures(&self) -> u64 {
        self.contents().failures
    }

    /// Returns the disk as the next process finds it; the page cache survives the end of a process.
    pub fn after_kill(&self) -> Self {
        Self::with_contents(self.contents().cached.clone())
    }

    /// Returns the disk after a power loss: each sector that was not synced is kept or lost at random. Of the
    /// changes of the length the file system keeps the first ones, in their order; nothing beyond the length
    /// is kept.
    pub fn after_power_loss(&self, random: &mut impl Rng) -> Self {
        let contents = self.contents();
        let mut bytes = contents.durable.clone();
        let resizes = contents.dirty.iter().filter(|change| matches!(change, DiskWrite::SetLen(_))).count();
        let mut resizes_left = random.random_range(0..=resizes);
        for change in &contents.dirty {
            match change {
                DiskWrite::SetLen(_) if resizes_left > 0 => {
                    resizes_left -= 1;
                    change.apply(&mut bytes);
                }
                DiskWrite::SetLen(_) => {}
                DiskWrite::Write(offset, data) => {
                    for (number, sector) in data.chunks(SECTOR_BYTES).enumerate() {
                        let start = offset + number * SECTOR_BYTES;
                        if start + sector.len() <= bytes.len() && random.random() {
                            DiskWrite::Write(start, sector.to_vec()).apply(&mut bytes);
                        }
                    }
                }
            }
        }
        Self::with_contents(bytes)
    }

    /// Returns the bytes of the page cache.
    pub fn bytes(&self) -> Vec<u8> {
        self.contents().cached.clone()
    }
}

/// Creates and opens stores on the disk.
impl FaultyDisk {
    /// Creates a store in place of the disk's contents.
    pub fn create_store(&self, owner: &Owner, saved: &StoredLog) {
        let database = Builder::new().create_with_backend(self.clone()).expect("the disk has no faults");
        Store::initialize(database, owner, saved).expect("the disk has no faults");
    }

    /// Like [`Store::open`], on this disk.
    pub fn open_store(&self, cluster: &str, id: MemberId) -> Result<(Store, StoredLog), StoreError> {
        Store::open_database(cluster, id, |builder| builder.create_with_backend(self.clone()))
    }
}

impl DiskState {
    fn count(&self) -> u64 {
        self.calls.len() as u64
    }

    /// Counts a call. Returns an error if a fault covers the call, or the process was killed.
    fn begin(&mut self, call: DiskCall) -> io::Result<()> {
        self.calls.push(call);
        let number = self.count();
        let fails =
            |fault: &&Fault| fault.calls.contains(&number) && fault.only.is_none_or(|only| only == call);
        let error = match self.killed_at {
            Some(killed) if number >= killed => Some(EIO),
            _ => self.faults.iter().find(fails).map(|fault| fault.error),
        };
        match error {
            None => Ok(()),
            Some(error) => {
                self.failures += 1;
                Err(io::Error::from_raw_os_error(error))
            }
        }
    }

    fn change(&mut self, change: DiskWrite) {
        change.apply(&mut self.cached);
        self.dirty.push(change);
    }

    fn write(&mut self, offset: usize, data: &[u8]) -> io::Result<()> {
        let done = self.begin(DiskCall::Write);
        let after_kill = self.killed_at.is_some_and(|call| self.count() > call);
        if done.is_ok() {
            self.change(DiskWrite::Write(offset, data.to_vec()));
        } else if !after_kill {
            // A write that fails, or in which the process is killed, is done by half.
            self.change(DiskWrite::Write(offset, data[..data.len() / 2].to_vec()));
        }
        done
    }

    fn sync(&mut self) -> io::Result<()> {
        let done = self.begin(DiskCall::Sync);
        let killed = self.killed_at.is_some_and(|call| self.count() >= call);
        let changes = std::mem::take(&mut self.dirty);
        if done.is_ok() {
            changes.iter().for_each(|change| change.apply(&mut self.durable));
        } else if killed {
            self.dirty = changes;
        }
        // A failed sync marks the pages as clean: reads still return them, but they are never written back.
        done
    }
}

impl StorageBackend for FaultyDisk {
    fn len(&self) -> io::Result<u64> {
        Ok(self.contents().cached.len() as u64)
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> io::Result<()> {
        let contents = self.contents();
        let start = offset as usize;
        let found = contents.cached.get(start..start + out.len());
        out.copy_from_slice(found.ok_or_else(|| io::Error::from(io::ErrorKind::UnexpectedEof))?);
        Ok(())
    }

    fn set_len(&self, len: u64) -> io::Result<()> {
        let mut contents = self.contents();
        contents.begin(DiskCall::SetLen)?;
        contents.change(DiskWrite::SetLen(len as usize));
        Ok(())
    }

    fn sync_data(&self) -> io::Result<()> {
        self.contents().sync()
    }

    fn write(&self, offset: u64, data: &[u8]) -> io::Result<()> {
        self.contents().write(offset as usize, data)
    }
}

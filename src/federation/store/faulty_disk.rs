//! A disk in memory for tests, with a page cache: it fails calls, loses its power, and its process can be killed in the
//! middle of a write.

use super::{Owner, Store, StoreError};
use crate::federation::log::StoredLog;
use crate::federation::MemberId;
use rand::Rng;
use redb::{Builder, StorageBackend};
use std::io;
use std::ops::Range;
use std::sync::{Arc, Mutex, MutexGuard};

/// What survives of a write that was not synced when the power was lost is a multiple of this, bytes.
const SECTOR_BYTES: usize = 512;
/// Error numbers as Linux has them.
pub(crate) const EIO: i32 = 5;
pub(crate) const ENOSPC: i32 = 28;

/// A call that changes the disk.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum DiskCall {
    Write,
    Sync,
    SetLen,
}

/// Calls that fail.
#[derive(Clone, Debug)]
pub(crate) struct Fault {
    /// The first and the end of the calls that fail, counted over all that change the disk.
    pub calls: Range<u64>,
    /// Which kind of call fails; `None`: all.
    pub only: Option<DiskCall>,
    pub error: i32,
}

/// A change that was not synced yet.
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
    /// What reads see: the page cache.
    cached: Vec<u8>,
    /// What is on the platter.
    durable: Vec<u8>,
    /// What is only in the page cache and will be written back.
    dirty: Vec<DiskWrite>,
    /// The calls so far that change the disk.
    calls: Vec<DiskCall>,
    faults: Vec<Fault>,
    /// The call in which the process is killed: half of a write is done, and nothing after it.
    killed_at: Option<u64>,
    /// Calls that failed.
    failures: u64,
}

/// The disk; clones are the same one.
#[derive(Clone, Debug, Default)]
pub(crate) struct FaultyDisk(Arc<Mutex<DiskState>>);

impl FaultyDisk {
    /// A disk that holds these bytes.
    pub fn with_contents(bytes: Vec<u8>) -> Self {
        let contents = DiskState { cached: bytes.clone(), durable: bytes, ..DiskState::default() };
        FaultyDisk(Arc::new(Mutex::new(contents)))
    }

    fn contents(&self) -> MutexGuard<'_, DiskState> {
        self.0.lock().expect("no test panics while it holds the disk")
    }

    /// Calls fail from now on.
    pub fn fail(&self, fault: Fault) {
        self.contents().faults.push(fault);
    }

    /// All calls fail from now on, until [`FaultyDisk::repair`].
    pub fn fail_all(&self, error: i32) {
        let from = self.calls() + 1;
        self.fail(Fault { calls: from..u64::MAX, only: None, error });
    }

    /// No call fails any more.
    pub fn repair(&self) {
        self.contents().faults.clear();
    }

    /// The process that uses the disk is killed in this call.
    pub fn kill_at(&self, call: u64) {
        self.contents().killed_at = Some(call);
    }

    /// Whether the process was killed.
    pub fn killed(&self) -> bool {
        let contents = self.contents();
        contents.killed_at.is_some_and(|call| contents.count() >= call)
    }

    /// Calls so far that change the disk.
    pub fn calls(&self) -> u64 {
        self.contents().count()
    }

    /// The numbers of the calls so far of a kind, or of all.
    pub fn calls_of(&self, only: Option<DiskCall>) -> Vec<u64> {
        let contents = self.contents();
        let numbered = (1..).zip(&contents.calls);
        numbered
            .filter(|(_, call)| only.is_none_or(|only| only == **call))
            .map(|(number, _)| number)
            .collect()
    }

    /// Calls so far that failed.
    pub fn failures(&self) -> u64 {
        self.contents().failures
    }

    /// The disk as the next process finds it: the page cache outlives a process.
    pub fn after_kill(&self) -> Self {
        Self::with_contents(self.contents().cached.clone())
    }

    /// The disk as it is after a loss of power: of what was not synced each sector is there or not. Changes of the
    /// length are kept in their order by the file system, and nothing is kept beyond the length.
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

    /// The bytes that reads see.
    pub fn bytes(&self) -> Vec<u8> {
        self.contents().cached.clone()
    }
}

/// Stores on such a disk.
impl FaultyDisk {
    /// Creates a store in place of what the disk holds.
    pub fn create_store(&self, owner: &Owner, saved: &StoredLog) {
        let database = Builder::new().create_with_backend(self.clone()).expect("a sound disk");
        Store::initialize(database, owner, saved).expect("a sound disk");
    }

    /// [`Store::open`] on this disk.
    pub fn open_store(&self, cluster: &str, id: MemberId) -> Result<(Store, StoredLog), StoreError> {
        Store::open_database(cluster, id, |builder| builder.create_with_backend(self.clone()))
    }
}

impl DiskState {
    fn count(&self) -> u64 {
        self.calls.len() as u64
    }

    /// Counts a call, and fails it where it is to fail.
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
        let after_death = self.killed_at.is_some_and(|call| self.count() > call);
        if done.is_ok() {
            self.change(DiskWrite::Write(offset, data.to_vec()));
        } else if !after_death {
            // A write that fails, or in which the process is killed, is done in part.
            self.change(DiskWrite::Write(offset, data[..data.len() / 2].to_vec()));
        }
        done
    }

    fn sync(&mut self) -> io::Result<()> {
        let done = self.begin(DiskCall::Sync);
        let dead = self.killed_at.is_some_and(|call| self.count() >= call);
        let changes = std::mem::take(&mut self.dirty);
        if done.is_ok() {
            changes.iter().for_each(|change| change.apply(&mut self.durable));
        } else if dead {
            self.dirty = changes;
        }
        // A sync that fails marks its pages clean: reads see them, and nobody ever writes them back.
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

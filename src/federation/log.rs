//! The in-memory copy of the durable log, which the `raft` crate reads, and the updates that change both.

use super::records::{EntryRecord, HardState, SnapshotRecord};
use super::{LogIndex, MemberId, Term};
use raft::eraftpb::{Entry, Snapshot};
use raft::{GetEntriesContext, RaftState, Result, Storage, StorageError};
use std::cell::Cell;

/// An update of the stored log, applied atomically.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LogUpdate {
    /// The new term, vote and commit index; `None` if they are unchanged.
    pub hard_state: Option<HardState>,
    /// A new snapshot. Entries up to its index are removed, and all later ones too if it `replaces_log`.
    pub snapshot: Option<SnapshotRecord>,
    /// Whether the snapshot came from the leader and replaces the whole log.
    pub replaces_log: bool,
    /// Entries to append. Stored entries from the first one's index on are removed before that.
    pub entries: Vec<EntryRecord>,
}

impl LogUpdate {
    /// Whether there is nothing to store.
    pub fn is_empty(&self) -> bool {
        self.hard_state.is_none() && self.snapshot.is_none() && self.entries.is_empty()
    }
}

/// The complete durable log of a member.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct StoredLog {
    /// The current term, vote and commit index.
    pub hard_state: HardState,
    /// The newest snapshot; its index is 0 on a member that has received nothing yet.
    pub snapshot: SnapshotRecord,
    /// The entries after the snapshot, without a gap.
    pub entries: Vec<EntryRecord>,
}

impl StoredLog {
    /// Applies an update, in the same way as the store.
    pub fn apply(&mut self, update: &LogUpdate) {
        if let Some(hard) = update.hard_state {
            self.hard_state = hard;
        }
        if let Some(snapshot) = &update.snapshot {
            let index = snapshot.index;
            self.entries.retain(|entry| !update.replaces_log && entry.index > index);
            self.snapshot = snapshot.clone();
            self.hard_state.commit = self.hard_state.commit.max(index);
        }
        if let Some(first) = update.entries.first() {
            self.entries.retain(|entry| entry.index < first.index);
            self.entries.extend(update.entries.iter().cloned());
        }
    }

    /// Returns the index of the last entry, or the snapshot's index if there is none.
    pub fn last_index(&self) -> LogIndex {
        LogIndex(self.snapshot.index.0 + self.entries.len() as u64)
    }

    /// Checks that the entries follow the snapshot without a gap and are consistent with the hard state.
    ///
    /// # Errors
    ///
    /// Returns the first inconsistency found.
    pub fn check(&self) -> std::result::Result<(), LogError> {
        let mut expected = self.snapshot.index;
        for entry in &self.entries {
            expected = expected.next();
            if entry.index != expected {
                return Err(LogError::UnexpectedIndex { found: entry.index, expected });
            }
        }
        let (commit, last) = (self.hard_state.commit, self.last_index());
        if commit < self.snapshot.index || commit > last {
            return Err(LogError::CommitOutOfRange { commit, last });
        }
        let log_term = self.entries.last().map_or(self.snapshot.term, |entry| entry.term);
        if self.hard_state.term < log_term {
            return Err(LogError::TermTooOld { term: self.hard_state.term, log_term });
        }
        Ok(())
    }
}

/// Why a stored log is inconsistent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum LogError {
    /// An entry does not directly follow the one before it, or the snapshot.
    #[error("found entry {found} where entry {expected} was expected")]
    UnexpectedIndex {
        /// The index that was found.
        found: LogIndex,
        /// The index after the previous entry.
        expected: LogIndex,
    },
    /// The commit index is before the snapshot or past the last entry.
    #[error("the commit index {commit} is outside the log, which ends at {last}")]
    CommitOutOfRange {
        /// The stored commit index.
        commit: LogIndex,
        /// The index of the last entry.
        last: LogIndex,
    },
    /// The current term is older than the last entry's.
    #[error("the current term {term} is older than the last entry's term {log_term}")]
    TermTooOld {
        /// The stored current term.
        term: Term,
        /// The term of the last entry, or of the snapshot if there is none.
        log_term: Term,
    },
}

/// The in-memory copy of the durable log.
#[derive(Debug, Default)]
pub struct CachedLog {
    stored: StoredLog,
    /// Whether a member needs a newer snapshot than the stored one.
    snapshot_requested: Cell<bool>,
}

impl CachedLog {
    /// Wraps the log that was read from the store.
    pub fn new(stored: StoredLog) -> Self {
        CachedLog { stored, snapshot_requested: Cell::new(false) }
    }

    /// Applies an update that has been stored.
    pub fn apply(&mut self, update: &LogUpdate) {
        self.stored.apply(update);
    }

    /// Sets the commit index in memory; the next stored hard state includes it.
    pub fn commit(&mut self, index: LogIndex) {
        self.stored.hard_state.commit = index;
    }

    /// Returns the newest stored snapshot.
    pub fn newest_snapshot(&self) -> &SnapshotRecord {
        &self.stored.snapshot
    }

    /// Returns whether a member needs a newer snapshot than the stored one, and clears the request.
    pub fn take_snapshot_request(&self) -> bool {
        self.snapshot_requested.take()
    }
}

impl Storage for CachedLog {
    fn initial_state(&self) -> Result<RaftState> {
        let conf_state = self.stored.snapshot.conf_state();
        Ok(RaftState { hard_state: self.stored.hard_state.into(), conf_state })
    }

    fn entries(
        &self,
        low: u64,
        high: u64,
        max_size: impl Into<Option<u64>>,
        _context: GetEntriesContext,
    ) -> Result<Vec<Entry>> {
        let first = self.stored.snapshot.index.next().0;
        if low < first {
            return Err(StorageError::Compacted.into());
        }
        let range = (low - first) as usize..(high - first) as usize;
        let found = self.stored.entries.get(range).ok_or(StorageError::Unavailable)?;
        let mut entries: Vec<Entry> = found.iter().map(Entry::from).collect();
        raft::util::limit_size(&mut entries, max_size.into());
        Ok(entries)
    }

    fn term(&self, index: u64) -> Result<u64> {
        let base = &self.stored.snapshot;
        match index.checked_sub(base.index.0) {
            None => Err(StorageError::Compacted.into()),
            Some(0) => Ok(base.term.0),
            Some(n) => {
                let entry = self.stored.entries.get(n as usize - 1).ok_or(StorageError::Unavailable)?;
                Ok(entry.term.0)
            }
        }
    }

    fn first_index(&self) -> Result<u64> {
        Ok(self.stored.snapshot.index.next().0)
    }

    fn last_index(&self) -> Result<u64> {
        Ok(self.stored.last_index().0)
    }

    fn snapshot(&self, request_index: u64, to: u64) -> Result<Snapshot> {
        let base = &self.stored.snapshot;
        // A member ignores a snapshot of a state in which it is not a member yet.
        let to = MemberId(to);
        let knows = base.voters.contains(&to) || base.learners.contains(&to);
        if base.index.0 < request_index || !knows {
            self.snapshot_requested.set(true);
            return Err(StorageError::SnapshotTemporarilyUnavailable.into());
        }
        Ok(base.into())
    }
}

//! Log entries.

use crate::federation::{LogIndex, Term};
use raft::eraftpb;
use serde::{Deserialize, Serialize};

/// The kind of a log entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EntryKind {
    /// A command, or empty: the first entry of a new leader.
    Normal,
    /// A membership change, encoded in [`EntryRecord::context`]. The `data` belongs to the `raft` crate and
    /// is not read here.
    Change,
}

/// A log entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryRecord {
    /// Whether `data` or `context` holds the entry's content.
    pub kind: EntryKind,
    /// The term of the leader that proposed it.
    pub term: Term,
    /// The entry's index, from 1.
    pub index: LogIndex,
    /// The encoded command; empty for the first entry of a new leader.
    pub data: Vec<u8>,
    /// The encoded membership change; empty for a normal entry.
    pub context: Vec<u8>,
}

impl From<&eraftpb::Entry> for EntryRecord {
    fn from(entry: &eraftpb::Entry) -> Self {
        let change = entry.get_entry_type() != eraftpb::EntryType::EntryNormal;
        EntryRecord {
            kind: if change { EntryKind::Change } else { EntryKind::Normal },
            term: Term(entry.term),
            index: LogIndex(entry.index),
            data: entry.data.to_vec(),
            context: entry.context.to_vec(),
        }
    }
}

impl From<&EntryRecord> for eraftpb::Entry {
    fn from(entry: &EntryRecord) -> Self {
        let mut raft_entry = eraftpb::Entry {
            term: entry.term.0,
            index: entry.index.0,
            data: entry.data.clone().into(),
            context: entry.context.clone().into(),
            ..Default::default()
        };
        if entry.kind == EntryKind::Change {
            raft_entry.set_entry_type(eraftpb::EntryType::EntryConfChange);
        }
        raft_entry
    }
}

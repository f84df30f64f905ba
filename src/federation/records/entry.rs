//! Log entries.

use crate::federation::{LogIndex, Term};
use raft::eraftpb;
use serde::{Deserialize, Serialize};

/// The kind of a log entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EntryKind {
    /// A command, or nothing (the first entry of a new leader).
    Normal,
    /// A membership change, encoded in [`EntryRecord::context`]; the bytes in `data` are the library's and not read
    /// here.
    Change,
}

/// A log entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryRecord {
    /// Its kind.
    pub kind: EntryKind,
    /// The term of the leader that proposed it.
    pub term: Term,
    /// Its index, from 1.
    pub index: LogIndex,
    /// The encoded command.
    pub data: Vec<u8>,
    /// The encoded membership change.
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

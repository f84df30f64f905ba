//! Snapshots of the replicated state.

use crate::federation::{LogIndex, MemberId, Term};
use raft::eraftpb;
use serde::{Deserialize, Serialize};

/// The replicated state at a log index; it replaces all entries up to that index.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotRecord {
    /// The index of the last entry that the snapshot includes; 0 for no snapshot.
    pub index: LogIndex,
    /// The term of the last entry that the snapshot includes.
    pub term: Term,
    /// The voters at that index.
    pub voters: Vec<MemberId>,
    /// The learners at that index.
    pub learners: Vec<MemberId>,
    /// The encoded state.
    pub data: Vec<u8>,
}

impl From<&eraftpb::Snapshot> for SnapshotRecord {
    fn from(snapshot: &eraftpb::Snapshot) -> Self {
        let meta = snapshot.get_metadata();
        SnapshotRecord {
            index: LogIndex(meta.index),
            term: Term(meta.term),
            data: snapshot.data.to_vec(),
            ..SnapshotRecord::with_members(meta.get_conf_state())
        }
    }
}

impl From<&SnapshotRecord> for eraftpb::Snapshot {
    fn from(record: &SnapshotRecord) -> Self {
        let mut snapshot = eraftpb::Snapshot { data: record.data.clone().into(), ..Default::default() };
        let meta = snapshot.mut_metadata();
        (meta.index, meta.term) = (record.index.0, record.term.0);
        *meta.mut_conf_state() = record.conf_state();
        snapshot
    }
}

fn typed_ids(ids: &[u64]) -> Vec<MemberId> {
    ids.iter().copied().map(MemberId).collect()
}

fn bare_ids(ids: &[MemberId]) -> Vec<u64> {
    ids.iter().map(|id| id.0).collect()
}

impl SnapshotRecord {
    /// Returns an empty snapshot with the voters and learners of the `raft` crate's configuration.
    pub fn with_members(conf: &eraftpb::ConfState) -> Self {
        let (voters, learners) = (typed_ids(&conf.voters), typed_ids(&conf.learners));
        SnapshotRecord { voters, learners, ..SnapshotRecord::default() }
    }

    /// Returns the voters and learners as the `raft` crate's configuration.
    pub fn conf_state(&self) -> eraftpb::ConfState {
        (bare_ids(&self.voters), bare_ids(&self.learners)).into()
    }
}

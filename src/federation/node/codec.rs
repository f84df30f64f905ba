//! The encoding of commands, changes and states in the log, and the `raft` crate's form of a change.

use super::NodeError;
use crate::federation::records::SnapshotRecord;
use crate::federation::state::{Change, State};
use crate::federation::LogIndex;
use raft::eraftpb::{ConfChange, ConfChangeType};
use serde::Serialize;

pub(super) fn encode(value: &impl Serialize) -> Vec<u8> {
    // Encoding cannot fail here: it fails only for such things as sequences of unknown length, which these
    // types do not contain.
    postcard::to_stdvec(value).unwrap_or_default()
}

/// Decodes the state of a snapshot. Index 0 means a member that has received nothing yet, and gives an empty
/// state.
pub(super) fn decode_state(snapshot: &SnapshotRecord) -> Result<State, NodeError> {
    if snapshot.index == LogIndex(0) {
        return Ok(State::default());
    }
    postcard::from_bytes(&snapshot.data).map_err(NodeError::Snapshot)
}

/// Converts a change to the `raft` crate's form.
pub(super) fn conf_change(change: &Change) -> ConfChange {
    let (kind, id) = match change {
        Change::Add { id, .. } | Change::Demote(id) => (ConfChangeType::AddLearnerNode, *id),
        Change::Promote(id) => (ConfChangeType::AddNode, *id),
        Change::Remove(id) => (ConfChangeType::RemoveNode, *id),
    };
    let mut raft_change = ConfChange::default();
    raft_change.set_change_type(kind);
    raft_change.node_id = id.0;
    raft_change
}

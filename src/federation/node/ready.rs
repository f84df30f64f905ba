//! The ready loop: stores, applies and sends what the `raft` crate has ready, in the order that it requires.

use super::codec::{decode_state, encode};
use super::{DurableStorage, Node, NodeError, NodeEvent};
use crate::federation::log::LogUpdate;
use crate::federation::records::{EntryRecord, HardState, MessageRecord, SnapshotRecord};
use crate::federation::{LogIndex, Term};
use raft::{LightReady, Ready};

impl Node {
    /// Processes everything that the `raft` crate has ready: stores it, applies committed entries, and
    /// returns the messages to send. The state that they depend on is durable by then.
    ///
    /// # Errors
    ///
    /// Returns an error if an update cannot be stored or a snapshot cannot be decoded. No message may then be
    /// sent, and this member must be restarted.
    pub fn process_ready(
        &mut self,
        storage: &mut impl DurableStorage,
    ) -> Result<Vec<MessageRecord>, NodeError> {
        let mut messages = Vec::new();
        while !self.removed && self.raw_node.has_ready() {
            let ready = self.raw_node.ready();
            self.handle_ready(ready, storage, &mut messages)?;
        }
        if !self.removed {
            self.after_step();
            self.compact(storage)?;
        }
        Ok(messages)
    }

    /// Handles one `Ready` in the order that the `raft` crate requires: store, apply, send, advance.
    fn handle_ready(
        &mut self,
        mut ready: Ready,
        storage: &mut impl DurableStorage,
        messages: &mut Vec<MessageRecord>,
    ) -> Result<(), NodeError> {
        messages.extend(ready.take_messages().iter().filter_map(MessageRecord::from_raft));
        self.store_ready(&ready, storage)?;
        self.apply(ready.take_committed_entries());
        if self.removed {
            return Ok(());
        }
        messages.extend(ready.take_persisted_messages().iter().filter_map(MessageRecord::from_raft));
        let light = self.raw_node.advance(ready);
        self.handle_light_ready(light, messages);
        Ok(())
    }

    fn store_ready(&mut self, ready: &Ready, storage: &mut impl DurableStorage) -> Result<(), NodeError> {
        let snapshot = Some(ready.snapshot()).filter(|s| !s.is_empty()).map(SnapshotRecord::from);
        let update = LogUpdate {
            hard_state: ready.hs().map(HardState::from),
            replaces_log: snapshot.is_some(),
            snapshot,
            entries: ready.entries().iter().map(EntryRecord::from).collect(),
        };
        if !update.is_empty() {
            self.store(&update, storage)?;
        }
        update.snapshot.iter().try_for_each(|snapshot| self.install(snapshot))
    }

    fn store(&mut self, update: &LogUpdate, storage: &mut impl DurableStorage) -> Result<(), NodeError> {
        storage.save(update).map_err(NodeError::storage)?;
        self.raw_node.mut_store().apply(update);
        Ok(())
    }

    /// Replaces the state by the leader's snapshot.
    fn install(&mut self, snapshot: &SnapshotRecord) -> Result<(), NodeError> {
        self.state = decode_state(snapshot)?;
        self.applied = snapshot.index;
        self.conf_state = snapshot.conf_state();
        self.events.push(NodeEvent::SnapshotInstalled(snapshot.index));
        Ok(())
    }

    fn handle_light_ready(&mut self, mut light: LightReady, messages: &mut Vec<MessageRecord>) {
        if let Some(commit) = light.commit_index() {
            self.raw_node.mut_store().commit(LogIndex(commit));
        }
        messages.extend(light.take_messages().iter().filter_map(MessageRecord::from_raft));
        self.apply(light.take_committed_entries());
        if !self.removed {
            self.raw_node.advance_apply();
        }
    }

    /// Replaces applied entries by a snapshot if there are enough of them, or a member needs a newer
    /// snapshot.
    fn compact(&mut self, storage: &mut impl DurableStorage) -> Result<(), NodeError> {
        let base = self.raw_node.store().newest_snapshot().index;
        let wanted = self.raw_node.store().take_snapshot_request() && self.applied > base;
        if !wanted && self.applied.0 - base.0 < self.tuning.compact_after {
            return Ok(());
        }
        let update = LogUpdate { snapshot: Some(self.snapshot()?), ..LogUpdate::default() };
        self.store(&update, storage)
    }

    fn snapshot(&self) -> Result<SnapshotRecord, NodeError> {
        Ok(SnapshotRecord {
            index: self.applied,
            term: Term(self.raw_node.raft.raft_log.term(self.applied.0)?),
            data: encode(&self.state),
            ..SnapshotRecord::with_members(&self.conf_state)
        })
    }
}

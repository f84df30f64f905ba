//! Applies committed entries to the replicated state and the membership.

use super::codec::conf_change;
use super::{AppliedCommand, Node, NodeEvent};
use crate::federation::records::{EntryKind, EntryRecord};
use crate::federation::state::Change;
use crate::federation::LogIndex;
use raft::eraftpb::Entry;

impl Node {
    pub(super) fn apply(&mut self, entries: Vec<Entry>) {
        for entry in &entries {
            self.applied = LogIndex(entry.index);
            let record = EntryRecord::from(entry);
            match record.kind {
                EntryKind::Normal if record.data.is_empty() => {} // a new leader's first entry
                EntryKind::Normal => self.apply_command(&record),
                EntryKind::Change => self.apply_change(&record),
            }
        }
    }

    fn apply_command(&mut self, record: &EntryRecord) {
        match postcard::from_bytes(&record.data) {
            Ok(command) => {
                self.state.apply(&command);
                self.applied_commands.push(AppliedCommand { index: record.index, command });
            }
            Err(_) => self.events.push(NodeEvent::UnknownEntry(record.index)),
        }
    }

    fn apply_change(&mut self, record: &EntryRecord) {
        let change = postcard::from_bytes::<Change>(&record.context).ok();
        let Some(change) = change.filter(|change| self.state.allows(change)) else {
            return self.events.push(NodeEvent::UnknownEntry(record.index));
        };
        if let Ok(conf_state) = self.raw_node.apply_conf_change(&conf_change(&change)) {
            self.conf_state = conf_state;
        }
        self.state.apply_change(&change);
        self.removed |= change == Change::Remove(self.id);
        self.events.push(NodeEvent::MembersChanged(change));
    }
}

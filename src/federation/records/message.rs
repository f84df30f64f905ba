//! Messages between members, and the check that a message follows the protocol.

use super::{EntryRecord, MessageError, MessageKind, SnapshotRecord};
use crate::federation::{LogIndex, MemberId, Term};
use raft::eraftpb;
use serde::{Deserialize, Serialize};

/// A message between members; the fields are those of the `raft` crate.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[allow(missing_docs)]
pub struct MessageRecord {
    pub kind: MessageKind,
    pub to: MemberId,
    pub from: MemberId,
    pub term: Term,
    pub log_term: Term,
    pub index: LogIndex,
    pub entries: Vec<EntryRecord>,
    pub commit: LogIndex,
    pub commit_term: Term,
    pub snapshot: Option<SnapshotRecord>,
    pub request_snapshot: LogIndex,
    pub reject: bool,
    pub reject_hint: LogIndex,
    pub context: Vec<u8>,
    pub priority: i64,
}

impl MessageRecord {
    /// Converts a message of the `raft` crate; returns `None` for kinds that are never sent to a peer.
    pub fn from_raft(message: &eraftpb::Message) -> Option<Self> {
        let snapshot = message.get_snapshot();
        Some(MessageRecord {
            kind: MessageKind::from_raft(message.get_msg_type())?,
            to: MemberId(message.to),
            from: MemberId(message.from),
            term: Term(message.term),
            log_term: Term(message.log_term),
            index: LogIndex(message.index),
            entries: message.entries.iter().map(EntryRecord::from).collect(),
            commit: LogIndex(message.commit),
            commit_term: Term(message.commit_term),
            snapshot: (!snapshot.is_empty()).then(|| snapshot.into()),
            request_snapshot: LogIndex(message.request_snapshot),
            reject: message.reject,
            reject_hint: LogIndex(message.reject_hint),
            context: message.context.to_vec(),
            priority: message.priority,
        })
    }

    /// Checks that the message follows the protocol; the `raft` crate assumes some of this without checking.
    ///
    /// # Errors
    ///
    /// Returns the first rule that the message violates.
    pub fn check(&self) -> Result<(), MessageError> {
        if self.term == Term(0) {
            return Err(MessageError::NoTerm);
        }
        if !self.entries.is_empty() && self.kind != MessageKind::Append {
            return Err(MessageError::UnexpectedEntries);
        }
        self.check_entries()?;
        self.check_snapshot()
    }

    /// Checks that the entries follow the message's index without a gap, and that their terms never decrease
    /// or exceed the message's.
    fn check_entries(&self) -> Result<(), MessageError> {
        let first = self.index.0.checked_add(1).ok_or(MessageError::IndexOutOfRange)?;
        let mut term = self.log_term;
        for (entry, index) in self.entries.iter().zip(first..) {
            if entry.index != LogIndex(index) || entry.term < term || entry.term > self.term {
                return Err(MessageError::EntriesOutOfOrder);
            }
            term = entry.term;
        }
        Ok(())
    }

    /// Checks that a snapshot message has a usable snapshot, and any other message has none.
    fn check_snapshot(&self) -> Result<(), MessageError> {
        let snapshot = self.snapshot.as_ref();
        if self.kind == MessageKind::Snapshot
            && snapshot.is_none_or(|s| s.voters.is_empty() || s.term > self.term)
        {
            return Err(MessageError::IncompleteSnapshot);
        }
        if snapshot.is_some() && self.kind != MessageKind::Snapshot {
            return Err(MessageError::UnexpectedSnapshot);
        }
        Ok(())
    }

    /// Converts the record to a message of the `raft` crate.
    pub fn to_raft(&self) -> eraftpb::Message {
        let mut message = eraftpb::Message {
            to: self.to.0,
            from: self.from.0,
            term: self.term.0,
            log_term: self.log_term.0,
            index: self.index.0,
            commit: self.commit.0,
            commit_term: self.commit_term.0,
            request_snapshot: self.request_snapshot.0,
            reject: self.reject,
            reject_hint: self.reject_hint.0,
            context: self.context.clone().into(),
            priority: self.priority,
            ..Default::default()
        };
        message.set_msg_type(self.kind.to_raft());
        message.set_entries(self.entries.iter().map(eraftpb::Entry::from).collect::<Vec<_>>().into());
        if let Some(snapshot) = &self.snapshot {
            message.set_snapshot(snapshot.into());
        }
        message
    }
}

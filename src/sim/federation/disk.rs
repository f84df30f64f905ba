//! The disk of a member: it stores steps as a store does, fails for a while, and shows planted bugs.

use super::PlantedBug;
use crate::federation::log::{LogUpdate, StoredLog};
use crate::federation::node::DurableStorage;
use crate::federation::{MemberId, Term};

/// How a disk fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum DiskFault {
    /// Nothing is stored.
    Full,
    /// A step is stored, and reported as failed: a sync that failed after the write.
    InDoubt,
}

/// Why a step was not acknowledged.
#[derive(Clone, Copy, Debug, thiserror::Error)]
#[error("the disk fails: {0:?}")]
pub(super) struct DiskError(DiskFault);

/// The disk of a member.
pub(super) struct Disk {
    /// What is stored.
    pub stored: StoredLog,
    /// What a crash takes with it, where that bug is planted.
    pub unsynced: Option<LogUpdate>,
    /// The fault that lasts.
    pub fault: Option<DiskFault>,
    /// The fault lasts until the member is started anew; else until an event heals the disk.
    pub heals_at_restart: bool,
    planted_bug: Option<PlantedBug>,
}

impl Disk {
    pub fn new(stored: StoredLog, planted_bug: Option<PlantedBug>) -> Self {
        Disk { stored, unsynced: None, fault: None, heals_at_restart: true, planted_bug }
    }

    /// Writes a step.
    fn write(&mut self, mut save: LogUpdate) {
        if self.planted_bug == Some(PlantedBug::ForgottenVote) {
            if let Some(hard) = &mut save.hard_state {
                (hard.term, hard.vote) = (Term(0), MemberId::NONE);
            }
        }
        if let Some(before) = self.unsynced.take() {
            self.stored.apply(&before);
        }
        if self.planted_bug == Some(PlantedBug::UnsyncedLog) {
            self.unsynced = Some(save);
        } else {
            self.stored.apply(&save);
        }
    }
}

impl DurableStorage for Disk {
    type Error = DiskError;

    fn save(&mut self, save: &LogUpdate) -> Result<(), DiskError> {
        if self.fault != Some(DiskFault::Full) {
            self.write(save.clone());
        }
        match self.fault {
            Some(fault) if self.planted_bug != Some(PlantedBug::UnstoredAck) => Err(DiskError(fault)),
            _ => Ok(()),
        }
    }
}

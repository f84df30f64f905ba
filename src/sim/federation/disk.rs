//! Disk of a simulated member: stores the steps of its node, fails for a while, and implements some planted
//! bugs.

use super::PlantedBug;
use crate::federation::log::{LogUpdate, StoredLog};
use crate::federation::node::DurableStorage;
use crate::federation::{MemberId, Term};

/// How a disk fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum DiskFault {
    /// A step fails and is not stored.
    Full,
    /// A step is stored but reported as failed, like a sync that fails after the write.
    InDoubt,
}

/// The injected disk fault for which a step was not acknowledged.
#[derive(Clone, Copy, Debug, thiserror::Error)]
#[error("step not acknowledged, disk fault {0:?}")]
pub(super) struct DiskError(DiskFault);

/// Disk of a simulated member.
pub(super) struct Disk {
    /// The log that is stored.
    pub stored: StoredLog,
    /// Last step, which is lost in a crash; only with `PlantedBug::UnsyncedLog`.
    pub unsynced: Option<LogUpdate>,
    /// The disk's present fault.
    pub fault: Option<DiskFault>,
    /// Whether the fault ends when the member restarts; otherwise it ends with a `DiskHeals` event.
    pub heals_at_restart: bool,
    planted_bug: Option<PlantedBug>,
}

impl Disk {
    pub fn new(stored: StoredLog, planted_bug: Option<PlantedBug>) -> Self {
        Disk { stored, unsynced: None, fault: None, heals_at_restart: true, planted_bug }
    }

    /// Stores a step, altered by the planted bug if there is one.
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

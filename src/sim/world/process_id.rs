//! The numbers of processes.

/// The number of a process, from 1 in the order of their starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct ProcessId(pub(super) u32);

impl ProcessId {
    /// Whether it names a process; connections that no process has accepted have 0.
    pub(super) fn is_assigned(&self) -> bool {
        self.0 != 0
    }
}

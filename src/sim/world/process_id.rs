//! Numbers of the edge proxy's processes.

/// Number of a process, counted from 1 in the order of the starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct ProcessId(pub(super) u32);

impl ProcessId {
    /// Whether the number belongs to a process. Connections that no process has accepted have 0.
    pub(super) fn is_assigned(&self) -> bool {
        self.0 != 0
    }
}

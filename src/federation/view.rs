//! The federation's status, which the admin endpoint serves as JSON.

use super::{LogIndex, MemberId, Term};
use serde::Serialize;

/// A member as seen by this member.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct MemberView {
    /// The member's id, from 1.
    pub id: MemberId,
    /// The site that the member belongs to.
    pub site: String,
    /// Whether the member is a voter; the others are learners.
    pub voter: bool,
    /// Whether the member's store is enrolled; any other store under its id is then rejected.
    pub enrolled: bool,
    /// Whether this member's connection to that member is established.
    pub connected: bool,
    /// Number of entries by which the member lags behind the leader's log; only the leader knows it.
    pub lag: Option<u64>,
    /// Whether the member answered within the last election timeout; only the leader knows it.
    pub active: Option<bool>,
}

/// The lease of a duty.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct DutyView {
    /// The duty's name.
    pub duty: String,
    /// The member that the lease was granted to.
    pub holder: MemberId,
    /// The fencing token of the lease.
    pub token: u64,
    /// Whether this member holds the lease and may act under it now, according to its own clock.
    pub held: bool,
}

/// The federation as seen by this member.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct View {
    /// The federation's name, from the settings.
    pub cluster: String,
    /// This member's id.
    pub id: MemberId,
    /// The address at which this member listens for the others; `None` before it first listens.
    pub listen: Option<String>,
    /// Why this member does not take part; `None` while it does. The edge proxy serves requests in either
    /// case.
    pub halted: Option<String>,
    /// This member's current term.
    pub term: Term,
    /// The leader that this member knows; 0 for none.
    pub leader: MemberId,
    /// This member's role, such as `leader`; see `Node::role`.
    pub role: String,
    /// The index of the last entry of the log.
    pub last: LogIndex,
    /// The index up to which the log is committed.
    pub committed: LogIndex,
    /// The index of the last applied entry.
    pub applied: LogIndex,
    /// The revision of the newest federation file whose membership change is complete.
    pub revision: u64,
    /// The revision of this member's own federation file.
    pub file_revision: u64,
    /// The members of the replicated state.
    pub members: Vec<MemberView>,
    /// The leases of the replicated state.
    pub duties: Vec<DutyView>,
    /// Number of messages that were dropped because the peer's queue was full or it was not connected.
    pub dropped: u64,
    /// Number of connections that were rejected.
    pub refused: u64,
    /// Number of leaders that this member has seen.
    pub elections: u64,
    /// The longest time that the store took for one update, in us; only the member's own thread waits for it.
    pub slowest_save_us: u64,
}

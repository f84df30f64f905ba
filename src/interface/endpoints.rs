//! The endpoint list: the servers that a router may use.

use super::{Instant, ServerId, ZoneId};

/// How a message of the endpoint list is to be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListUpdate {
    /// The whole list as it was last known; it may be old.
    Cached,
    /// The whole list.
    Full,
    /// Changed entries only.
    Delta,
    /// A poll of the list failed; the old one stays.
    Failed,
}

/// One server of the endpoint list.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Endpoint {
    /// The server.
    pub server: ServerId,
    /// Its last start; `None`: long ago.
    pub started_at: Option<Instant>,
    /// Its size; for caches and parents the link's capacity in transfers at top speed.
    pub weight: f64,
    /// Kind of machine.
    pub kind: u16,
    /// The cell that it belongs to.
    pub cell: u16,
    /// The zone that it stands in.
    pub zone: ZoneId,
    /// What it may be used for.
    pub state: ServerState,
}

/// What a listed server may be used for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ServerState {
    /// Takes requests.
    #[default]
    Ready,
    /// Finishes what it has and gets nothing new.
    Draining,
    /// No longer in the list.
    Removed,
}

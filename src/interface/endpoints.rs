//! The endpoint list: the servers that a router may use.

use super::{Instant, ServerId, ZoneId};

/// What an update of the endpoint list contains.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListUpdate {
    /// The whole list as it was last known; it may be outdated.
    Cached,
    /// The whole current list.
    Full,
    /// Only the entries that changed.
    Delta,
    /// Nothing: a poll of the list failed, and the old list stays in use.
    Failed,
}

/// One server of the endpoint list.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Endpoint {
    /// The server that the entry describes.
    pub server: ServerId,
    /// When the server last started; `None` if that was too long ago for slow start.
    pub started_at: Option<Instant>,
    /// The server's size. For caches and parents it is the capacity of the server's link, in concurrent transfers at
    /// top speed, if [`Topology::weights_state_links`](super::Topology::weights_state_links) is set.
    pub weight: f64,
    /// Number of the kind of machine; distinguishes parents and the origin from caches.
    pub kind: u16,
    /// Number of the cell that the server belongs to.
    pub cell: u16,
    /// The zone that the server is in.
    pub zone: ZoneId,
    /// What the server may be used for.
    pub state: ServerState,
}

/// What a listed server may be used for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ServerState {
    /// The server takes requests.
    #[default]
    Ready,
    /// The server finishes its requests and gets no new ones.
    Draining,
    /// The server is no longer in the list.
    Removed,
}

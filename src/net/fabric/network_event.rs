//! The scheduled events of the network.

use crate::interface::Instant;

/// A scheduled event. A connection is identified by its number.
pub(super) enum NetworkEvent {
    /// A connection that a process started is established or refused.
    ConnectCompletes(u64),
    /// A client's connection arrives at a process that listens on its port.
    ClientArrives(u64),
    /// Bytes arrive at the process.
    BytesAtProcess(u64, Vec<u8>),
    /// Bytes that were sent at the given time arrive at the actor.
    BytesAtActor(u64, Vec<u8>, Instant),
    /// The end of the actor's bytes arrives at the process.
    EndAtProcess(u64),
    /// The end of the process's bytes arrives at the actor.
    EndAtActor(u64),
    /// The connection breaks at the process.
    BreakAtProcess(u64),
    /// The connection breaks at the actor.
    BreakAtActor(u64),
    /// An event source of a process becomes ready.
    SourceReady { process: u32, source: usize },
}

impl NetworkEvent {
    /// Returns the connection whose host delays the event while it is silent; `None` if the event is never
    /// delayed.
    pub(super) fn delayable_link(&self) -> Option<u64> {
        match self {
            NetworkEvent::ConnectCompletes(link)
            | NetworkEvent::ClientArrives(link)
            | NetworkEvent::BytesAtProcess(link, _)
            | NetworkEvent::BytesAtActor(link, ..)
            | NetworkEvent::EndAtProcess(link)
            | NetworkEvent::EndAtActor(link) => Some(*link),
            NetworkEvent::BreakAtProcess(_)
            | NetworkEvent::BreakAtActor(_)
            | NetworkEvent::SourceReady { .. } => None,
        }
    }
}

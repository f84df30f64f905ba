//! What happens on the network by itself.

use crate::interface::Instant;

/// A planned event. Connections are named by their id.
pub(super) enum NetworkEvent {
    /// A process's connection comes up, or is refused.
    ConnectCompletes(u64),
    /// A client's connection reaches the process.
    ClientArrives(u64),
    /// Bytes reach the process.
    BytesAtProcess(u64, Vec<u8>),
    /// Bytes that were sent at a time reach the actor.
    BytesAtActor(u64, Vec<u8>, Instant),
    /// The end of what the actor writes reaches the process.
    EndAtProcess(u64),
    /// The end of what the process writes reaches the actor.
    EndAtActor(u64),
    /// The connection breaks at the process.
    BreakAtProcess(u64),
    /// The connection breaks at the actor.
    BreakAtActor(u64),
    /// A process's source becomes ready.
    SourceReady { process: u32, source: usize },
}

impl NetworkEvent {
    /// The connection whose host holds the event back while it is silent.
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

//! The kinds of message that members exchange.

use raft::eraftpb;
use serde::{Deserialize, Serialize};

/// Declares the message kinds that members exchange; no other kind is accepted from a peer.
macro_rules! message_kinds {
    ($($name:ident = $raft:ident),*) => {
        /// The kind of a message; the names follow the `raft` crate's.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
        #[allow(missing_docs)]
        pub enum MessageKind { $($name),* }

        impl MessageKind {
            pub(super) fn to_raft(self) -> eraftpb::MessageType {
                match self { $(MessageKind::$name => eraftpb::MessageType::$raft),* }
            }

            pub(super) fn from_raft(raft_type: eraftpb::MessageType) -> Option<Self> {
                match raft_type { $(eraftpb::MessageType::$raft => Some(MessageKind::$name),)* _ => None }
            }
        }
    };
}
message_kinds!(
    Append = MsgAppend,
    AppendResponse = MsgAppendResponse,
    Vote = MsgRequestVote,
    VoteResponse = MsgRequestVoteResponse,
    PreVote = MsgRequestPreVote,
    PreVoteResponse = MsgRequestPreVoteResponse,
    Snapshot = MsgSnapshot,
    Heartbeat = MsgHeartbeat,
    HeartbeatResponse = MsgHeartbeatResponse,
    TimeoutNow = MsgTimeoutNow
);

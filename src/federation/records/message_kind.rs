//! The kinds of message that members exchange.

use raft::eraftpb;
use serde::{Deserialize, Serialize};

/// Declares the kinds of message that members send each other; no other kind is accepted from a peer.
macro_rules! message_kinds {
    ($($name:ident = $library:ident),*) => {
        /// The kind of a message.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
        #[allow(missing_docs)]
        pub enum MessageKind { $($name),* }

        impl MessageKind {
            pub(super) fn to_library(self) -> eraftpb::MessageType {
                match self { $(MessageKind::$name => eraftpb::MessageType::$library),* }
            }

            pub(super) fn from_library(library_type: eraftpb::MessageType) -> Option<Self> {
                match library_type { $(eraftpb::MessageType::$library => Some(MessageKind::$name),)* _ => None }
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

//! The inputs of a router.

use super::{AttemptOutcome, AttemptResult, Endpoint, ListUpdate, Purge, Request, RequestId, ServerId, Span};

/// A notification from the program to the router.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A watch event of the endpoint list, or the answer to a poll, has arrived.
    EndpointList {
        /// Whether the entries are the whole list or changes to it.
        update: ListUpdate,
        /// The servers of the update.
        endpoints: Vec<Endpoint>,
    },
    /// A client's request has arrived. The router must give it exactly one final answer.
    Request(Request),
    /// A streamed answer has started; from now on its attempt cannot be replaced by another.
    FirstByte {
        /// The request that is being answered.
        request: RequestId,
        /// The attempt's number, from 0 in the order of sending.
        attempt: u8,
        /// The server that answers.
        server: ServerId,
        /// Time since the attempt was sent.
        elapsed: Span,
    },
    /// An attempt has ended.
    AttemptEnded(AttemptOutcome),
    /// The client has disconnected or cancelled its request; it needs no answer any more.
    RequestCancelled(RequestId),
    /// A timer of [`Action::Timer`](super::Action::Timer) has expired; carries the timer's token.
    Timer(u32),
    /// A health check has ended.
    HealthChecked {
        /// The server that was checked.
        server: ServerId,
        /// How the health check ended.
        result: AttemptResult,
        /// Time since the health check was sent.
        elapsed: Span,
        /// The values of the server's load report; empty if none came.
        load_report: Vec<f32>,
    },
    /// A message of another router has arrived.
    PeerMessage {
        /// Number of the router that sent it.
        from: u16,
        /// The message as it was sent.
        bytes: Vec<u8>,
    },
    /// A purge was made.
    Purged {
        /// The object or group that was purged.
        purge: Purge,
        /// Time since the purge was made.
        age: Span,
    },
}

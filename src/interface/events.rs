//! What a router is notified of.

use super::{AttemptOutcome, AttemptResult, Endpoint, ListUpdate, Purge, Request, RequestId, ServerId, Span};

/// Something that a router is notified of.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A watch event of the endpoint list, or a poll's answer.
    EndpointList {
        /// How the entries are to be read.
        update: ListUpdate,
        /// The entries.
        endpoints: Vec<Endpoint>,
    },
    /// A client's request; the router owes it one final answer.
    Request(Request),
    /// A streamed answer has started; its attempt can no longer be replaced.
    FirstByte {
        /// The request.
        request: RequestId,
        /// The attempt's number.
        attempt: u8,
        /// The server.
        server: ServerId,
        /// Time since the send.
        elapsed: Span,
    },
    /// An attempt has ended.
    AttemptEnded(AttemptOutcome),
    /// The client has left or cancelled its request; no answer is owed any more.
    RequestCancelled(RequestId),
    /// A timer has expired.
    Timer(u32),
    /// The result of a health check.
    HealthChecked {
        /// The server.
        server: ServerId,
        /// The result.
        result: AttemptResult,
        /// Time since the health check was sent.
        elapsed: Span,
        /// The load report, if one came.
        load_report: Vec<f32>,
    },
    /// A message of another router.
    PeerMessage {
        /// The sender's number.
        from: u16,
        /// The message.
        bytes: Vec<u8>,
    },
    /// A purge was made.
    Purged {
        /// What was purged.
        purge: Purge,
        /// How long ago.
        age: Span,
    },
}

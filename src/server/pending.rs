//! The requests that have no answer yet.

use crate::core::RequestKey;
use crate::front::thrift::SequenceId;
use crate::interface::ClassId;
use crate::net::ConnectionKey;
use crate::upstream::line_protocol::IdempotencyKey;
use bytes::Bytes;
use std::collections::{BTreeMap, BTreeSet};

/// The receiver of a request's answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Client {
    /// A client of the Thrift front.
    Thrift {
        /// The client's connection.
        conn: ConnectionKey,
        /// Sequence number of the call on that connection.
        seqid: SequenceId,
    },
    /// A client of the signed front.
    Signed {
        /// The client's connection.
        conn: ConnectionKey,
    },
}

/// A request whose answer has not begun, with the fields that the core does not need.
pub(super) struct PendingRequest {
    /// The receiver of the answer.
    pub client: Client,
    /// Entity tags of the copies that the client has.
    pub etags: Vec<String>,
    pub class: ClassId,
    /// The id by which servers identify the request.
    pub trace_id: String,
    /// The object's name on the wire.
    pub object_name: String,
    /// The key by which servers recognize a repeated request.
    pub idempotency_key: Option<IdempotencyKey>,
    pub body: Bytes,
}

/// All requests whose answer has not begun.
#[derive(Default)]
pub(super) struct PendingRequests {
    requests: BTreeMap<RequestKey, PendingRequest>,
    /// Trace ids of these requests. They must differ, since servers could not tell two requests with the same
    /// id apart.
    trace_ids: BTreeSet<String>,
    body_bytes: usize,
}

impl PendingRequests {
    pub fn insert(&mut self, key: RequestKey, request: PendingRequest) {
        self.body_bytes += request.body.len();
        self.trace_ids.insert(request.trace_id.clone());
        self.requests.insert(key, request);
    }

    /// Removes a request whose answer has begun or that was cancelled.
    pub fn remove(&mut self, key: RequestKey) {
        if let Some(request) = self.requests.remove(&key) {
            self.body_bytes -= request.body.len();
            self.trace_ids.remove(&request.trace_id);
        }
    }

    pub fn get(&self, key: RequestKey) -> Option<&PendingRequest> {
        self.requests.get(&key)
    }

    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Whether a pending request has this trace id.
    pub fn has_trace_id(&self, trace_id: &str) -> bool {
        self.trace_ids.contains(trace_id)
    }

    /// Returns the total length of all bodies.
    pub fn body_bytes(&self) -> usize {
        self.body_bytes
    }
}

#[cfg(test)]
mod tests;

//! The requests that are owed an answer.

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
        /// Its connection.
        conn: ConnectionKey,
        /// The sequence number of its call there.
        seqid: SequenceId,
    },
    /// A client of the signed front.
    Signed {
        /// Its connection.
        conn: ConnectionKey,
    },
}

/// A request that is owed an answer, with the fields that the core does not need.
pub(super) struct PendingRequest {
    /// The receiver of the answer.
    pub client: Client,
    /// The entity tags of the client's copies.
    pub etags: Vec<String>,
    /// The class.
    pub class: ClassId,
    /// The id under which servers know the request.
    pub trace_id: String,
    /// The object's name on the wire.
    pub object_name: String,
    /// The key by which servers recognize a repeat.
    pub idempotency_key: Option<IdempotencyKey>,
    /// The body.
    pub body: Bytes,
}

/// All requests that are owed an answer.
#[derive(Default)]
pub(super) struct PendingRequests {
    requests: BTreeMap<RequestKey, PendingRequest>,
    /// The trace ids of these requests, since servers could not tell two requests of one id apart.
    trace_ids: BTreeSet<String>,
    body_bytes: usize,
}

impl PendingRequests {
    /// Adds a request.
    pub fn insert(&mut self, key: RequestKey, request: PendingRequest) {
        self.body_bytes += request.body.len();
        self.trace_ids.insert(request.trace_id.clone());
        self.requests.insert(key, request);
    }

    /// Removes a request whose answer has begun or that was given up.
    pub fn remove(&mut self, key: RequestKey) {
        if let Some(request) = self.requests.remove(&key) {
            self.body_bytes -= request.body.len();
            self.trace_ids.remove(&request.trace_id);
        }
    }

    /// A request.
    pub fn get(&self, key: RequestKey) -> Option<&PendingRequest> {
        self.requests.get(&key)
    }

    /// The number of requests.
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Whether a request has this trace id.
    pub fn has_trace_id(&self, trace_id: &str) -> bool {
        self.trace_ids.contains(trace_id)
    }

    /// Bytes of all bodies.
    pub fn body_bytes(&self) -> usize {
        self.body_bytes
    }
}

#[cfg(test)]
mod tests;

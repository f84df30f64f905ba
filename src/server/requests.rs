//! Functions for requests of both fronts: the limit on open requests, rejections, and the end of a request.

use super::translate;
use super::Server;
use crate::core::{FinalAnswer, RequestKey};
use crate::front::thrift::codec::ThriftReply;
use crate::front::RequestHandle;
use crate::interface::{ClassId, RejectionReason, Span};
use crate::net::ConnectionKey;
use crate::slots::Key;

impl Server {
    /// Ends a request whose answer has begun to be written.
    pub(super) fn on_answer_begun(&mut self, request: RequestKey) {
        self.pending.remove(request);
        self.core.answer_begun(self.now, request, &mut self.deadlines);
    }

    /// Ends a request that its client has cancelled.
    pub(super) fn on_request_cancelled(&mut self, handle: RequestHandle) {
        let request = Key::from_number(handle.number());
        self.pending.remove(request);
        self.core.cancel(self.now, request, &mut self.deadlines);
    }

    /// Returns the bytes that the core and pending requests hold, besides connections' buffers.
    pub(super) fn held_bytes_besides_connections(&self) -> usize {
        self.core.held_bytes() + self.pending.body_bytes()
    }

    /// Whether there is no capacity for another request of this connection. A request that is rejected now
    /// has had no effect.
    pub(super) fn is_full(&self, conn: ConnectionKey) -> bool {
        let held = self.net.held_bytes() + self.held_bytes_besides_connections();
        self.budget.is_full(held, self.net.unwritten_bytes(conn))
            || self.pending.len() >= self.config.settings.program.max_open_requests
    }

    /// Rejects a request that was not submitted to the core.
    pub(super) fn reject_unsubmitted(&mut self, class: Option<ClassId>) -> ThriftReply {
        let retry_after = self.core.retry_after(class.unwrap_or(ClassId(0)));
        self.reject(class, retry_after)
    }

    /// Returns the rejection of a request, and counts it for the class.
    pub(super) fn reject(&mut self, class: Option<ClassId>, retry_after: Span) -> ThriftReply {
        let rejected = proxy_full_rejection(retry_after);
        if let Some(class) = class {
            self.core.count_answer(class, &rejected);
        }
        translate::thrift_reply(rejected)
    }
}

/// Returns the answer to a request for which the edge proxy has no capacity.
pub(super) fn proxy_full_rejection(retry_after: Span) -> FinalAnswer {
    FinalAnswer::Rejected { retry_after, timed_out: false, reason: RejectionReason::ProxyFull }
}

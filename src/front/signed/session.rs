//! What is kept of one client's connection.

use super::http::HttpAnswer;
use crate::deadlines::{DeadlineHandle, Schedule};
use crate::front::{sessions, RequestHandle};
use crate::interface::Instant;
use std::collections::VecDeque;

/// A request's place among all requests of its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestIndex(pub(super) u64);

/// Who answers a request.
pub(super) enum RequestState {
    /// The front itself, with this answer.
    Answered(HttpAnswer),
    /// The front's caller, with this handle once it is bound.
    Open(Option<RequestHandle>),
}

/// A request that is not answered yet.
pub(super) struct PipelinedRequest {
    pub index: RequestIndex,
    pub state: RequestState,
    /// Only the answer's head is sent.
    pub head_only: bool,
    /// The connection stays open after the answer.
    pub keep_alive: bool,
}

/// One client's connection.
pub(super) struct Session {
    /// The requests that are not answered yet, in their order.
    pub requests: VecDeque<PipelinedRequest>,
    /// How many requests were received.
    pub received_requests: u64,
    /// When the client must have sent a complete head, or must have closed.
    pub client_timeout: Option<DeadlineHandle>,
    pub check_deadline: DeadlineHandle,
    /// Bytes written so far, as of the last check.
    pub written_bytes: u64,
    /// When something last came or was answered.
    pub last_active: Instant,
    /// Nothing more is read, and the connection ends once all requests are answered.
    pub ends_after_answers: bool,
    /// The write side is shut down, and only the client's close is awaited.
    pub is_lingering: bool,
    /// Input was left unread, since too many requests were open.
    pub has_unread: bool,
}

impl sessions::Session for Session {
    fn deadlines(&self) -> impl Iterator<Item = DeadlineHandle> {
        std::iter::once(self.check_deadline).chain(self.client_timeout)
    }

    fn has_open_requests(&self) -> bool {
        !self.requests.is_empty()
    }

    fn is_lingering(&self) -> bool {
        self.is_lingering
    }

    fn has_sent_message(&self) -> bool {
        self.received_requests > 0
    }

    fn last_active(&self) -> Instant {
        self.last_active
    }
}

impl Session {
    /// A connection that has just been accepted.
    pub(super) fn new(now: Instant, check_deadline: DeadlineHandle, client_timeout: DeadlineHandle) -> Self {
        Session {
            requests: VecDeque::new(),
            received_requests: 0,
            client_timeout: Some(client_timeout),
            check_deadline,
            written_bytes: 0,
            last_active: now,
            ends_after_answers: false,
            is_lingering: false,
            has_unread: false,
        }
    }

    /// The place of the next request.
    pub(super) fn next_index(&self) -> RequestIndex {
        RequestIndex(self.received_requests)
    }

    /// A request that is not answered yet.
    pub(super) fn request(&self, index: RequestIndex) -> Option<&PipelinedRequest> {
        self.requests.iter().find(|request| request.index == index)
    }

    /// A request that is not answered yet, to be changed.
    pub(super) fn request_mut(&mut self, index: RequestIndex) -> Option<&mut PipelinedRequest> {
        self.requests.iter_mut().find(|request| request.index == index)
    }

    /// Adds the next request.
    pub(super) fn push(&mut self, request: PipelinedRequest) {
        self.received_requests += 1;
        self.ends_after_answers = !request.keep_alive;
        self.requests.push_back(request);
    }

    /// Removes the deadline of the client's head or close.
    pub(super) fn clear_client_timeout<D>(&mut self, deadlines: &mut dyn Schedule<D>) {
        if let Some(handle) = self.client_timeout.take() {
            deadlines.remove(handle);
        }
    }

    /// The handles of the requests that the caller was to answer.
    pub(super) fn into_handles(self) -> impl Iterator<Item = RequestHandle> {
        self.requests.into_iter().filter_map(|request| match request.state {
            RequestState::Open(handle) => handle,
            RequestState::Answered(_) => None,
        })
    }
}

//! The state of one client's connection.

use super::http::HttpAnswer;
use crate::deadlines::{DeadlineHandle, Schedule};
use crate::front::delivery::Delivery;
use crate::front::{sessions, RequestHandle};
use crate::interface::Instant;
use std::collections::VecDeque;

/// A request's position among all requests of its connection, counted from 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestIndex(pub(super) u64);

/// Who answers a request.
pub(super) enum RequestState {
    /// The front, with this answer.
    Answered(HttpAnswer),
    /// The front's caller, which knows the request by this handle once it is set.
    Open(Option<RequestHandle>),
}

/// A request that is not answered yet.
pub(super) struct PipelinedRequest {
    pub index: RequestIndex,
    pub state: RequestState,
    /// Whether only the head of the answer is sent, as for HEAD.
    pub head_only: bool,
    /// Whether the connection stays open after the answer.
    pub keep_alive: bool,
}

pub(super) struct Session {
    /// The requests that are not answered yet, in the order received.
    pub requests: VecDeque<PipelinedRequest>,
    /// Number of requests received so far, including malformed ones and those that timed out.
    pub received_requests: u64,
    /// The deadline by which the client must have sent a complete head, or have closed; `None` between
    /// requests.
    pub client_timeout: Option<DeadlineHandle>,
    pub check_deadline: DeadlineHandle,
    /// Number of bytes written up to the last check.
    pub written_bytes: u64,
    /// The delivery of the answers.
    pub delivery: Delivery,
    /// When bytes last arrived, a request was last answered, or the client was last seen reading its answers.
    pub last_active: Instant,
    /// Whether no more requests are read and the connection closes once all requests are answered.
    pub ends_after_answers: bool,
    /// Whether the write side is shut down, so that the connection only waits for the client to close it.
    pub is_lingering: bool,
    /// Whether input was left unread because too many requests were open.
    pub has_unread: bool,
}

impl sessions::Session for Session {
    fn delivery_mut(&mut self) -> Option<&mut Delivery> {
        Some(&mut self.delivery)
    }

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
    /// Creates the state of a connection that has just been accepted.
    pub(super) fn new(now: Instant, check_deadline: DeadlineHandle, client_timeout: DeadlineHandle) -> Self {
        Session {
            requests: VecDeque::new(),
            received_requests: 0,
            client_timeout: Some(client_timeout),
            check_deadline,
            written_bytes: 0,
            delivery: Delivery::new(now),
            last_active: now,
            ends_after_answers: false,
            is_lingering: false,
            has_unread: false,
        }
    }

    /// Returns the position that the next request gets.
    pub(super) fn next_index(&self) -> RequestIndex {
        RequestIndex(self.received_requests)
    }

    /// Returns a request that is not answered yet; `None` if it is answered.
    pub(super) fn request(&self, index: RequestIndex) -> Option<&PipelinedRequest> {
        self.requests.iter().find(|request| request.index == index)
    }

    pub(super) fn request_mut(&mut self, index: RequestIndex) -> Option<&mut PipelinedRequest> {
        self.requests.iter_mut().find(|request| request.index == index)
    }

    /// Adds the next request. If it closes the connection, no more requests are read.
    pub(super) fn push(&mut self, request: PipelinedRequest) {
        self.received_requests += 1;
        self.ends_after_answers = !request.keep_alive;
        self.requests.push_back(request);
    }

    /// Removes the deadline for the client's next head or its close.
    pub(super) fn clear_client_timeout<D>(&mut self, deadlines: &mut dyn Schedule<D>) {
        if let Some(handle) = self.client_timeout.take() {
            deadlines.remove(handle);
        }
    }

    /// Returns the handles of the requests that the caller has not answered.
    pub(super) fn into_handles(self) -> impl Iterator<Item = RequestHandle> {
        self.requests.into_iter().filter_map(|request| match request.state {
            RequestState::Open(handle) => handle,
            RequestState::Answered(_) => None,
        })
    }
}

//! Requests: their submission, their one final answer, and their removal when the answer begins or the client leaves.

use super::{AnswerState, ClientRequest, Command, Core, CoreDeadline, FinalAnswer, OpenRequest, RequestKey};
use crate::deadlines::Schedule;
use crate::interface::{AttemptResult, Event, Instant, Request, RequestId, Span};
use crate::slots::Key;
use tracing::debug;

impl Core {
    /// Submits a request. [`Command::AnswerRequest`] follows for it, unless it is cancelled before.
    pub fn submit(
        &mut self,
        now: Instant,
        client_request: ClientRequest,
        deadlines: &mut dyn Schedule<CoreDeadline>,
    ) -> RequestKey {
        let key = self.requests.insert(OpenRequest {
            client_request: client_request.clone(),
            arrived: now,
            state: AnswerState::Pending,
            attempts_sent: 0,
            max_attempts: self.settings.limits.max_attempts,
            first_possible_run: None,
            timeout_deadline: None,
            authorization_deadline: None,
        });
        if let Some(request) = self.requests.get_mut(key) {
            request.timeout_deadline =
                Some(deadlines.add(request.deadline(), CoreDeadline::ClientTimeout(key)));
            let expiry = client_request.authorized_until;
            request.authorization_deadline =
                expiry.map(|at| deadlines.add(at, CoreDeadline::AuthorizationExpiry(key)));
        }
        let event = self.request_event(RequestId(key.number()), &client_request);
        self.events.push_back(event);
        self.run_router(now, deadlines);
        key
    }

    /// Returns the router's event for a client's request.
    fn request_event(&self, id: RequestId, client_request: &ClientRequest) -> Event {
        let class = self.settings.classes.get(usize::from(client_request.class.0));
        Event::Request(Request {
            id,
            class: client_request.class,
            tenant: 0,
            object: client_request.object,
            part: client_request.part,
            group: client_request.group,
            client_timeout: client_request.timeout,
            size_kb: 0.0,
            is_retry: false,
            is_write: class.is_some_and(|class| class.uncached),
        })
    }

    /// Removes a request whose client has disconnected or cancelled it, and cancels its attempts. It gets no answer.
    pub fn cancel(&mut self, now: Instant, key: RequestKey, deadlines: &mut dyn Schedule<CoreDeadline>) {
        let Some(request) = self.requests.get(key) else { return };
        if request.is_open() {
            self.abandon_request(now, key, deadlines);
        }
        self.remove_request(key, deadlines);
    }

    /// Returns a request's final answer as of now; `None` while it is not known. An expired credential turns any answer
    /// into a denial, even before the credential's deadline has been processed.
    pub fn current_answer(&self, now: Instant, key: RequestKey) -> Option<FinalAnswer> {
        let request = self.requests.get(key)?;
        let AnswerState::Chosen(answer) = &request.state else { return None };
        let has_expired = request.client_request.authorized_until.is_some_and(|expiry| expiry <= now);
        Some(if has_expired { FinalAnswer::Denied } else { answer.clone() })
    }

    /// Ends a request: the answer that [`Core::current_answer`] returned for the same `now` has begun, and is counted.
    pub fn answer_begun(
        &mut self,
        now: Instant,
        key: RequestKey,
        deadlines: &mut dyn Schedule<CoreDeadline>,
    ) {
        let Some(answer) = self.current_answer(now, key) else { return };
        if let Some(request) = self.remove_request(key, deadlines) {
            self.count_answer(request.client_request.class, &answer);
        }
    }

    /// Returns whether a request's answer is known.
    pub fn is_answered(&self, key: RequestKey) -> bool {
        self.requests.get(key).is_some_and(|request| !request.is_open())
    }

    /// Times out all requests: each open request gets its final answer now.
    pub fn time_out_all(&mut self, now: Instant, deadlines: &mut dyn Schedule<CoreDeadline>) {
        let keys: Vec<RequestKey> = self.requests.iter().map(|(key, _)| key).collect();
        for key in keys {
            self.on_client_timeout(now, key, deadlines);
        }
    }

    /// Times out a request whose client stops waiting. The request's attempts time out, and if the router does not
    /// answer even then, the request fails, so that no request stays without an answer.
    pub(super) fn on_client_timeout(
        &mut self,
        now: Instant,
        key: RequestKey,
        deadlines: &mut dyn Schedule<CoreDeadline>,
    ) {
        self.run_router(now, deadlines);
        if !self.is_open(key) {
            return;
        }
        for attempt in self.attempts_of(key) {
            self.time_out_attempt(now, attempt, deadlines);
        }
        self.run_router(now, deadlines);
        if self.is_open(key) {
            self.choose_answer(key, FinalAnswer::Failed { timed_out: true });
            self.abandon_request(now, key, deadlines);
        }
    }

    /// Denies a request whose credential has expired before its answer began; a chosen answer is discarded.
    pub(super) fn on_authorization_expiry(
        &mut self,
        now: Instant,
        key: RequestKey,
        deadlines: &mut dyn Schedule<CoreDeadline>,
    ) {
        let Some(request) = self.requests.get_mut(key) else { return };
        let was_open = request.is_open();
        let replaced = std::mem::replace(&mut request.state, AnswerState::Chosen(FinalAnswer::Denied));
        self.held_bytes -= replaced.held_bytes();
        self.commands.push_back(Command::AnswerRequest(key));
        if was_open {
            self.abandon_request(now, key, deadlines);
        }
    }

    /// Notifies the router that the request needs no answer any more, and cancels the attempts in flight.
    fn abandon_request(&mut self, now: Instant, key: RequestKey, deadlines: &mut dyn Schedule<CoreDeadline>) {
        self.events.push_back(Event::RequestCancelled(RequestId(key.number())));
        self.run_router(now, deadlines);
        for attempt in self.attempts_of(key) {
            self.abandon_attempt(now, attempt, AttemptResult::Cancelled, deadlines);
        }
        self.run_router(now, deadlines);
    }

    fn remove_request(
        &mut self,
        key: RequestKey,
        deadlines: &mut dyn Schedule<CoreDeadline>,
    ) -> Option<OpenRequest> {
        let request = self.requests.remove(key)?;
        let handles = request.timeout_deadline.into_iter().chain(request.authorization_deadline);
        handles.for_each(|handle| deadlines.remove(handle));
        self.held_bytes -= request.state.held_bytes();
        Some(request)
    }

    /// Sets a request's final answer, if it has none yet.
    pub(super) fn choose_answer(&mut self, key: RequestKey, answer: FinalAnswer) {
        let Some(request) = self.requests.get_mut(key).filter(|request| request.is_open()) else { return };
        let (class, name) = (request.client_request.class.0, answer.name());
        match &answer {
            FinalAnswer::Rejected { reason, .. } => debug!("{key} class {class} answer {name} {reason:?}"),
            _ => debug!("{key} class {class} answer {name}"),
        }
        request.state = AnswerState::Chosen(answer);
        self.held_bytes += request.state.held_bytes();
        self.commands.push_back(Command::AnswerRequest(key));
    }

    fn is_open(&self, key: RequestKey) -> bool {
        self.requests.get(key).is_some_and(OpenRequest::is_open)
    }

    /// Returns whether a request's deadline has passed.
    pub(super) fn is_timed_out(&self, now: Instant, request: RequestId) -> bool {
        let request = self.requests.get(Key::from_number(request.0));
        request.is_some_and(|request| request.arrived + request.client_request.timeout <= now)
    }
}

impl OpenRequest {
    /// Returns whether the request has no final answer yet.
    pub(super) fn is_open(&self) -> bool {
        matches!(self.state, AnswerState::Pending)
    }

    /// Returns when the client stops waiting.
    pub(super) fn deadline(&self) -> Instant {
        self.arrived + self.client_request.timeout.max(Span::ZERO)
    }
}

impl AnswerState {
    /// Returns the size of the copy in the answer, in bytes; 0 if there is none.
    fn held_bytes(&self) -> usize {
        match self {
            AnswerState::Chosen(FinalAnswer::Served(copy)) => copy.body.len(),
            _ => 0,
        }
    }
}

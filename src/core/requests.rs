//! Requests: taken in, answered once each, and forgotten as their answer begins or their client leaves.

use super::{
    AnswerCounts, AnswerState, ClientRequest, Command, Core, CoreDeadline, FinalAnswer, OpenRequest,
    RejectionCount, RequestKey,
};
use crate::deadlines::Schedule;
use crate::interface::{AttemptResult, ClassId, Event, Instant, RejectionReason, RequestId, Span};
use crate::slots::Key;
use tracing::debug;

impl Core {
    /// Takes a request in; it is owed one [`Command::AnswerRequest`], unless it is given up.
    pub fn submit(
        &mut self,
        now: Instant,
        ask: ClientRequest,
        due: &mut dyn Schedule<CoreDeadline>,
    ) -> RequestKey {
        let (deadline, expires) = (now + ask.timeout.max(Span::ZERO), ask.authorized_until);
        let key = self.requests.insert(OpenRequest {
            client_request: ask.clone(),
            arrived: now,
            state: AnswerState::Pending,
            attempts_sent: 0,
            max_attempts: self.settings.limits.max_attempts,
            first_possible_run: None,
            timeout_deadline: None,
            authorization_deadline: None,
        });
        let patience = due.add(deadline, CoreDeadline::ClientTimeout(key));
        let expiry = expires.map(|at| due.add(at, CoreDeadline::AuthorizationExpiry(key)));
        if let Some(request) = self.requests.get_mut(key) {
            (request.timeout_deadline, request.authorization_deadline) = (Some(patience), expiry);
        }
        let event = self.request_event(RequestId(key.number()), &ask);
        self.events.push_back(event);
        self.run_router(now, due);
        key
    }

    /// A request as the decision module is told of it.
    fn request_event(&self, id: RequestId, ask: &ClientRequest) -> Event {
        let class = self.settings.classes.get(usize::from(ask.class.0));
        Event::Request(crate::Request {
            id,
            class: ask.class,
            tenant: 0,
            object: ask.object,
            part: ask.part,
            group: ask.group,
            client_timeout: ask.timeout,
            size_kb: 0.0,
            is_retry: false,
            is_write: class.is_some_and(|class| class.uncached),
        })
    }

    /// The client has left or cancelled the request: no answer is owed, and what is out for it is called off.
    pub fn cancel(&mut self, now: Instant, key: RequestKey, due: &mut dyn Schedule<CoreDeadline>) {
        let Some(request) = self.requests.get(key) else { return };
        if request.is_open() {
            self.abandon_request(now, key, due);
        }
        self.remove_request(key, due);
    }

    /// A request's final answer as it would be given out now, if it is known. A right to it that has ended
    /// by now turns any answer into a denial, also one whose deadline has not been looked at yet.
    pub fn answer_now(&self, now: Instant, key: RequestKey) -> Option<FinalAnswer> {
        let request = self.requests.get(key)?;
        match &request.state {
            AnswerState::Pending => None,
            AnswerState::Chosen(_) if request.client_request.authorized_until.is_some_and(|at| at <= now) => {
                Some(FinalAnswer::Denied)
            }
            AnswerState::Chosen(answer) => Some(answer.clone()),
        }
    }

    /// The answer has begun, as [`Core::answer_now`] told it at this time: the request is over, and nothing changes its
    /// answer any more.
    pub fn answer_begun(&mut self, now: Instant, key: RequestKey, due: &mut dyn Schedule<CoreDeadline>) {
        let Some(answer) = self.answer_now(now, key) else { return };
        if let Some(request) = self.remove_request(key, due) {
            self.count_answer(request.client_request.class, &answer);
        }
    }

    /// Counts a final answer to a request of this class, also one that was given without the core.
    pub fn count_answer(&mut self, class: ClassId, answer: &FinalAnswer) {
        let class = usize::from(class.0);
        if self.answer_counts.len() <= class {
            self.answer_counts.resize(class + 1, AnswerCounts::default());
        }
        self.answer_counts[class].count(answer);
        if let FinalAnswer::Rejected { reason, .. } = answer {
            self.rejection_counts[*reason as usize] += 1;
        }
    }

    /// The rejections by reason.
    pub fn rejections(&self) -> impl Iterator<Item = RejectionCount> + '_ {
        let count = |reason: RejectionReason| RejectionCount {
            reason: reason.metric_name(),
            count: self.rejection_counts[reason as usize],
        };
        RejectionReason::ALL.into_iter().map(count)
    }

    /// The final answers to requests of this class.
    pub fn answer_counts(&self, class: ClassId) -> AnswerCounts {
        self.answer_counts.get(usize::from(class.0)).copied().unwrap_or_default()
    }

    /// Whether a request's answer may be taken.
    pub fn is_answered(&self, key: RequestKey) -> bool {
        self.requests.get(key).is_some_and(|request| !request.is_open())
    }

    /// Ends the time of all requests: each that is open gets its final answer now.
    pub fn time_out_all(&mut self, now: Instant, due: &mut dyn Schedule<CoreDeadline>) {
        for key in self.requests.iter().map(|(key, _)| key).collect::<Vec<_>>() {
            self.on_client_timeout(now, key, due);
        }
    }

    /// The client's time is over: what is out for the request has timed out, and if the module then still
    /// says nothing, the request has failed. Nothing stays without an answer.
    pub(super) fn on_client_timeout(
        &mut self,
        now: Instant,
        key: RequestKey,
        due: &mut dyn Schedule<CoreDeadline>,
    ) {
        self.run_router(now, due);
        if !self.is_open(key) {
            return;
        }
        for attempt in self.attempts_of(key) {
            self.time_out_attempt(now, attempt, due);
        }
        self.run_router(now, due);
        if self.is_open(key) {
            self.choose_answer(key, FinalAnswer::Failed { late: true });
            self.abandon_request(now, key, due);
        }
    }

    /// The client's right to an answer has ended before the answer began: whatever was chosen is denied.
    pub(super) fn on_authorization_expiry(
        &mut self,
        now: Instant,
        key: RequestKey,
        due: &mut dyn Schedule<CoreDeadline>,
    ) {
        let Some(request) = self.requests.get_mut(key) else { return };
        let was_open = request.is_open();
        let old = std::mem::replace(&mut request.state, AnswerState::Chosen(FinalAnswer::Denied));
        self.held_bytes -= old.bytes();
        self.commands.push_back(Command::AnswerRequest(key));
        if was_open {
            self.abandon_request(now, key, due);
        }
    }

    /// Tells the module that nothing more is owed, and calls off what is out.
    fn abandon_request(&mut self, now: Instant, key: RequestKey, due: &mut dyn Schedule<CoreDeadline>) {
        self.events.push_back(Event::RequestCancelled(RequestId(key.number())));
        self.run_router(now, due);
        for attempt in self.attempts_of(key) {
            self.abandon_attempt(now, attempt, AttemptResult::Cancelled, due);
        }
        self.run_router(now, due);
    }

    fn remove_request(
        &mut self,
        key: RequestKey,
        due: &mut dyn Schedule<CoreDeadline>,
    ) -> Option<OpenRequest> {
        let request = self.requests.remove(key)?;
        request
            .timeout_deadline
            .into_iter()
            .chain(request.authorization_deadline)
            .for_each(|handle| due.remove(handle));
        self.held_bytes -= request.state.bytes();
        Some(request)
    }

    /// Settles a request's answer, if it has none yet.
    pub(super) fn choose_answer(&mut self, key: RequestKey, answer: FinalAnswer) {
        let Some(request) = self.requests.get_mut(key).filter(|request| request.is_open()) else { return };
        let (class, name) = (request.client_request.class.0, answer.name());
        match &answer {
            FinalAnswer::Rejected { reason: why, .. } => debug!("{key} class {class} answer {name} {why:?}"),
            _ => debug!("{key} class {class} answer {name}"),
        }
        request.state = AnswerState::Chosen(answer);
        self.held_bytes += request.state.bytes();
        self.commands.push_back(Command::AnswerRequest(key));
    }

    fn is_open(&self, key: RequestKey) -> bool {
        self.requests.get(key).is_some_and(OpenRequest::is_open)
    }

    pub(super) fn is_timed_out(&self, now: Instant, request: RequestId) -> bool {
        let request = self.requests.get(Key::from_number(request.0));
        request.is_some_and(|request| request.arrived + request.client_request.timeout <= now)
    }
}

impl OpenRequest {
    /// Whether it has no answer yet.
    pub(super) fn is_open(&self) -> bool {
        matches!(self.state, AnswerState::Pending)
    }

    /// When the client stops waiting.
    pub(super) fn deadline(&self) -> Instant {
        self.arrived + self.client_request.timeout.max(Span::ZERO)
    }
}

impl AnswerState {
    /// The bytes that it holds.
    fn bytes(&self) -> usize {
        match self {
            AnswerState::Chosen(FinalAnswer::Served(copy)) => copy.body.len(),
            _ => 0,
        }
    }
}

//! Requests: taken in, answered once each, and forgotten as their answer begins or their client leaves.

use super::{Answered, Ask, Command, Core, Due, Final, RejectionCount, Request, RequestKey, State};
use crate::deadlines::Schedule;
use crate::interface::{AttemptResult, ClassId, Event, Micros, RequestId, RejectionReason};
use crate::slots::Key;
use tracing::debug;

impl Core {
    /// Takes a request in; it is owed one [`Command::Answer`], unless it is given up.
    pub fn submit(&mut self, now: Micros, ask: Ask, due: &mut dyn Schedule<Due>) -> RequestKey {
        let (deadline, expires) = (now + ask.patience.max(0), ask.expires);
        let key = self.requests.insert(Request {
            ask: ask.clone(),
            arrived: now,
            state: State::Open,
            sent: 0,
            most: self.settings.limits.max_attempts,
            may_have_run: None,
            patience: None,
            expiry: None,
        });
        let patience = due.add(deadline, Due::Patience(key));
        let expiry = expires.map(|at| due.add(at, Due::Expiry(key)));
        if let Some(request) = self.requests.get_mut(key) {
            (request.patience, request.expiry) = (Some(patience), expiry);
        }
        let event = self.request_event(RequestId(key.number()), &ask);
        self.events.push_back(event);
        self.run(now, due);
        key
    }

    /// A request as the decision module is told of it.
    fn request_event(&self, id: RequestId, ask: &Ask) -> Event {
        let class = self.settings.classes.get(usize::from(ask.class.0));
        Event::Request(crate::Request {
            id,
            class: ask.class,
            tenant: 0,
            object: ask.object,
            part: ask.part,
            group: ask.group,
            client_timeout: ask.patience,
            size_kb: 0.0,
            is_retry: false,
            is_write: class.is_some_and(|class| class.never_kept),
        })
    }

    /// The client has left or cancelled the request: no answer is owed, and what is out for it is called off.
    pub fn cancel(&mut self, now: Micros, key: RequestKey, due: &mut dyn Schedule<Due>) {
        let Some(request) = self.requests.get(key) else { return };
        if request.is_open() {
            self.close(now, key, due);
        }
        self.forget(key, due);
    }

    /// A request's final answer as it would be given out now, if it is known. A right to it that has ended
    /// by now turns any answer into a denial, also one whose deadline has not been looked at yet.
    pub fn answer_now(&self, now: Micros, key: RequestKey) -> Option<Final> {
        let request = self.requests.get(key)?;
        match &request.state {
            State::Open => None,
            State::Chosen(_) if request.ask.expires.is_some_and(|at| at <= now) => Some(Final::Denied),
            State::Chosen(answer) => Some(answer.clone()),
        }
    }

    /// The answer has begun, as [`Core::answer_now`] told it at this time: the request is over, and nothing changes its
    /// answer any more.
    pub fn answer_begun(&mut self, now: Micros, key: RequestKey, due: &mut dyn Schedule<Due>) {
        let Some(answer) = self.answer_now(now, key) else { return };
        if let Some(request) = self.forget(key, due) {
            self.count(request.ask.class, &answer);
        }
    }

    /// Counts a final answer to a request of this class, also one that was given without the core.
    pub fn count(&mut self, class: ClassId, answer: &Final) {
        let class = usize::from(class.0);
        if self.answered.len() <= class {
            self.answered.resize(class + 1, Answered::default());
        }
        self.answered[class].count(answer);
        if let Final::Refused { why, .. } = answer {
            self.refused[*why as usize] += 1;
        }
    }

    /// The rejections by reason.
    pub fn rejections(&self) -> impl Iterator<Item = RejectionCount> + '_ {
        RejectionReason::ALL.iter().map(|(why, reason)| RejectionCount { reason, count: self.refused[*why as usize] })
    }

    /// The final answers to requests of this class.
    pub fn answered(&self, class: ClassId) -> Answered {
        self.answered.get(usize::from(class.0)).copied().unwrap_or_default()
    }

    /// Whether a request's answer may be taken.
    pub fn is_answered(&self, key: RequestKey) -> bool {
        self.requests.get(key).is_some_and(|request| !request.is_open())
    }

    /// Ends the time of all requests: each that is open gets its final answer now.
    pub fn expire(&mut self, now: Micros, due: &mut dyn Schedule<Due>) {
        for key in self.requests.iter().map(|(key, _)| key).collect::<Vec<_>>() {
            self.on_patience(now, key, due);
        }
    }

    /// The client's time is over: what is out for the request has timed out, and if the module then still
    /// says nothing, the request has failed. Nothing stays without an answer.
    pub(super) fn on_patience(&mut self, now: Micros, key: RequestKey, due: &mut dyn Schedule<Due>) {
        self.run(now, due);
        if !self.is_open(key) {
            return;
        }
        for attempt in self.attempts_of(key) {
            self.time_out(now, attempt, due);
        }
        self.run(now, due);
        if self.is_open(key) {
            self.answer(key, Final::Failed { late: true });
            self.close(now, key, due);
        }
    }

    /// The client's right to an answer has ended before the answer began: whatever was chosen is denied.
    pub(super) fn on_expiry(&mut self, now: Micros, key: RequestKey, due: &mut dyn Schedule<Due>) {
        let Some(request) = self.requests.get_mut(key) else { return };
        let was_open = request.is_open();
        let old = std::mem::replace(&mut request.state, State::Chosen(Final::Denied));
        self.held -= old.bytes();
        self.commands.push_back(Command::Answer(key));
        if was_open {
            self.close(now, key, due);
        }
    }

    /// Tells the module that nothing more is owed, and calls off what is out.
    fn close(&mut self, now: Micros, key: RequestKey, due: &mut dyn Schedule<Due>) {
        self.events.push_back(Event::RequestCancelled(RequestId(key.number())));
        self.run(now, due);
        for attempt in self.attempts_of(key) {
            self.call_off(now, attempt, AttemptResult::Cancelled, due);
        }
        self.run(now, due);
    }

    fn forget(&mut self, key: RequestKey, due: &mut dyn Schedule<Due>) -> Option<Request> {
        let request = self.requests.remove(key)?;
        request.patience.into_iter().chain(request.expiry).for_each(|handle| due.remove(handle));
        self.held -= request.state.bytes();
        Some(request)
    }

    /// Settles a request's answer, if it has none yet.
    pub(super) fn answer(&mut self, key: RequestKey, answer: Final) {
        let Some(request) = self.requests.get_mut(key).filter(|request| request.is_open()) else { return };
        let (class, name) = (request.ask.class.0, answer.name());
        match &answer {
            Final::Refused { why, .. } => debug!("{key} class {class} answer {name} {why:?}"),
            _ => debug!("{key} class {class} answer {name}"),
        }
        request.state = State::Chosen(answer);
        self.held += request.state.bytes();
        self.commands.push_back(Command::Answer(key));
    }

    fn is_open(&self, key: RequestKey) -> bool {
        self.requests.get(key).is_some_and(Request::is_open)
    }

    pub(super) fn is_late(&self, now: Micros, request: RequestId) -> bool {
        let request = self.requests.get(Key::from_number(request.0));
        request.is_some_and(|request| request.arrived + request.ask.patience <= now)
    }
}

impl Request {
    /// Whether it has no answer yet.
    pub(super) fn is_open(&self) -> bool {
        matches!(self.state, State::Open)
    }

    /// When the client stops waiting.
    pub(super) fn deadline(&self) -> Micros {
        self.arrived + self.ask.patience.max(0)
    }
}

impl State {
    /// The bytes that it holds.
    fn bytes(&self) -> usize {
        match self {
            State::Chosen(Final::Served(copy)) => copy.bytes.len(),
            _ => 0,
        }
    }
}

//! Attempts: begun by the router's actions, checked again when they are written, and ended exactly once.

use super::{
    Attempt, AttemptEnd, AttemptKey, ClientRequest, Command, Core, CoreDeadline, FinalAnswer, OpenRequest,
    OutgoingAttempt, RequestKey,
};
use crate::deadlines::Schedule;
use crate::interface::{
    AttemptOutcome, AttemptResult, Event, FillAttempt, Idempotency, Instant, Purge, RequestId, ServerId,
    ServerState, Span,
};
use crate::slots::Key;
use tracing::debug;

/// An attempt that an action of the router begins.
pub(super) struct NewAttempt {
    pub request: RequestId,
    pub server: ServerId,
    /// The attempt timeout; zero means until the client stops waiting.
    pub timeout: Span,
    /// How the server may fetch the object on a miss; `None` if it answers only from its cache.
    pub fill: Option<FillAttempt>,
}

impl Core {
    /// Begins an attempt. It is queued for its server, or ends at once as not sent if the request is answered, has used
    /// all its attempts, or has no time left.
    pub(super) fn begin_attempt(
        &mut self,
        now: Instant,
        new: NewAttempt,
        deadlines: &mut dyn Schedule<CoreDeadline>,
    ) {
        let request_key = Key::from_number(new.request.0);
        let Some(request) = self.requests.get_mut(request_key) else { return };
        let number = request.attempts_sent;
        request.attempts_sent = number.saturating_add(1);
        let deadline = request.deadline();
        let deadline = if new.timeout == Span::ZERO { deadline } else { (now + new.timeout).min(deadline) };
        let has_attempts_left = u32::from(number) < request.max_attempts;
        let cannot_be_sent = !request.is_open() || !has_attempts_left || deadline <= now;
        let NewAttempt { request: id, server, fill, .. } = new;
        let ClientRequest { object, group, .. } = request.client_request;
        let key = self.attempts.insert(Attempt {
            request: id,
            number,
            server,
            fill,
            purge_scopes: [Purge::Object(object), Purge::Group(group)],
            started_at: now,
            deadline,
            timeout_deadline: None,
            written_at: None,
        });
        let handle = deadlines.add(deadline, CoreDeadline::AttemptTimeout(key));
        if let Some(attempt) = self.attempts.get_mut(key) {
            attempt.timeout_deadline = Some(handle);
        }
        if cannot_be_sent {
            self.end_attempt(now, key, AttemptEnd::without_details(AttemptResult::NotSent), deadlines);
        } else {
            self.commands.push_back(Command::SendAttempt { attempt: key, request: request_key, server });
        }
    }

    /// Checks again whether an attempt may be written, marks it as written, and returns what to write. `None` means
    /// that it must not be written; if it had not ended before, it has now ended as not sent.
    pub fn write_attempt(
        &mut self,
        now: Instant,
        key: AttemptKey,
        deadlines: &mut dyn Schedule<CoreDeadline>,
    ) -> Option<OutgoingAttempt> {
        let attempt = self.attempts.get(key)?;
        if !self.may_write(now, key, attempt) {
            self.end_attempt(now, key, AttemptEnd::without_details(AttemptResult::NotSent), deadlines);
            self.run_router(now, deadlines);
            return None;
        }
        let max_age = self.max_age(now, attempt);
        let attempt = self.attempts.get_mut(key)?;
        attempt.written_at = Some(now);
        let request = Key::from_number(attempt.request.0);
        let part = self.requests.get(request)?.client_request.part;
        let fill = attempt.fill.as_ref();
        Some(OutgoingAttempt {
            request,
            part,
            fill_source: attempt.fill_source(),
            cache_rank: fill.map_or(0, |fill| fill.cache_rank),
            max_age,
            join_fill: fill.is_some_and(|fill| fill.join_fill),
            only_if_cached: fill.is_some_and(|fill| fill.only_if_cached),
            bypass_parent_cache: fill.is_some_and(|fill| fill.bypass_parent_cache),
            stale_while_revalidate: fill.is_some_and(|fill| fill.stale_while_revalidate),
            timeout: attempt.deadline - now,
        })
    }

    /// Returns whether an attempt may be written now. The request, the servers and the time may have changed since the
    /// router decided on the attempt.
    fn may_write(&self, now: Instant, key: AttemptKey, attempt: &Attempt) -> bool {
        let request = self.requests.get(Key::from_number(attempt.request.0));
        request.is_some_and(OpenRequest::is_open)
            && self.servers_are_ready(attempt)
            && self.may_repeat(now, key, attempt)
            && now < attempt.deadline
    }

    /// Reverts [`Core::write_attempt`] for an attempt of which less than a complete line was sent: it counts as not
    /// written, and has not run.
    pub fn attempt_not_written(&mut self, key: AttemptKey) {
        if let Some(attempt) = self.attempts.get_mut(key) {
            attempt.written_at = None;
        }
    }

    /// Returns whether the servers of an attempt may still be sent requests. One of them may have been drained or
    /// removed while the attempt was queued.
    fn servers_are_ready(&self, attempt: &Attempt) -> bool {
        let is_ready = |server: ServerId| self.server_states.get(&server) == Some(&ServerState::Ready);
        is_ready(attempt.server) && attempt.fill_source().is_none_or(is_ready)
    }

    /// Returns the greatest age of an acceptable copy, including purges since the router decided on the attempt; zero
    /// means any age.
    fn max_age(&self, now: Instant, attempt: &Attempt) -> Span {
        let purged_at = attempt.purge_scopes.iter().filter_map(|purge| self.purge_times.get(purge)).max();
        let max_age = attempt.fill.as_ref().map_or(Span::ZERO, |fill| fill.max_age);
        let Some(&purged_at) = purged_at else { return max_age };
        let since_purge = (now - purged_at).max(Span::from_micros(1)); // zero would mean any age
        if max_age == Span::ZERO {
            since_purge
        } else {
            max_age.min(since_purge)
        }
    }

    /// Returns whether the class's idempotency permits the attempt, given the attempts that were written for the same
    /// request before. A repeat with an idempotency key may have waited for a connection until after the window in
    /// which servers drop repeats.
    fn may_repeat(&self, now: Instant, key: AttemptKey, attempt: &Attempt) -> bool {
        let Some(request) = self.requests.get(Key::from_number(attempt.request.0)) else { return false };
        let siblings = self.attempts.iter().filter(|(other, _)| *other != key);
        let siblings = siblings.filter(|(_, other)| other.request == attempt.request);
        let written = siblings.filter_map(|(_, other)| other.written_at);
        let first = written.chain(request.first_possible_run).min();
        let class = self.settings.classes.get(usize::from(request.client_request.class.0));
        let (Some(first), Some(class)) = (first, class) else { return true };
        match class.idempotency {
            Idempotency::Always => true,
            Idempotency::Never => false,
            Idempotency::WithKey => now < first + class.dedup_window,
        }
    }

    /// Ends an attempt; the end of an attempt that was abandoned is ignored.
    pub fn attempt_ended(
        &mut self,
        now: Instant,
        key: AttemptKey,
        end: AttemptEnd,
        deadlines: &mut dyn Schedule<CoreDeadline>,
    ) {
        if self.attempts.get(key).is_some() {
            self.end_attempt(now, key, end, deadlines);
            self.run_router(now, deadlines);
        }
    }

    /// Times out an attempt. If it was not written, no connection was established in time, and it never ran.
    pub(super) fn time_out_attempt(
        &mut self,
        now: Instant,
        key: AttemptKey,
        deadlines: &mut dyn Schedule<CoreDeadline>,
    ) {
        let result = if self.is_written(key) { AttemptResult::Timeout } else { AttemptResult::ConnectFailed };
        self.abandon_attempt(now, key, result, deadlines);
    }

    /// Cancels an attempt for the router. An attempt that still waits for a connection has not run, so its request may
    /// be sent elsewhere.
    pub(super) fn cancel_attempt(
        &mut self,
        now: Instant,
        request: RequestId,
        number: u8,
        deadlines: &mut dyn Schedule<CoreDeadline>,
    ) {
        let is_named = |attempt: &Attempt| attempt.request == request && attempt.number == number;
        let found = self.attempts.iter().find(|(_, attempt)| is_named(attempt));
        let Some(key) = found.map(|(key, _)| key) else { return };
        let result = if self.is_written(key) { AttemptResult::Cancelled } else { AttemptResult::NotSent };
        self.abandon_attempt(now, key, result, deadlines);
    }

    /// Abandons an attempt, which ends with the given result.
    pub(super) fn abandon_attempt(
        &mut self,
        now: Instant,
        key: AttemptKey,
        result: AttemptResult,
        deadlines: &mut dyn Schedule<CoreDeadline>,
    ) {
        self.commands.push_back(Command::AbandonAttempt(key));
        self.end_attempt(now, key, AttemptEnd::without_details(result), deadlines);
    }

    /// Returns when an attempt was written; `None` if it was not written or has ended.
    pub fn written_at(&self, key: AttemptKey) -> Option<Instant> {
        self.attempts.get(key)?.written_at
    }

    fn is_written(&self, key: AttemptKey) -> bool {
        self.attempts.get(key).is_some_and(|attempt| attempt.written_at.is_some())
    }

    /// Returns the attempts of a request that have not ended.
    pub(super) fn attempts_of(&self, key: RequestKey) -> Vec<AttemptKey> {
        let id = RequestId(key.number());
        self.attempts.iter().filter(|(_, attempt)| attempt.request == id).map(|(key, _)| key).collect()
    }

    /// Ends an attempt and notifies the router. The first attempt that receives a copy answers the request.
    fn end_attempt(
        &mut self,
        now: Instant,
        key: AttemptKey,
        mut end: AttemptEnd,
        deadlines: &mut dyn Schedule<CoreDeadline>,
    ) {
        let Some(attempt) = self.attempts.remove(key) else { return };
        attempt.timeout_deadline.into_iter().for_each(|handle| deadlines.remove(handle));
        let request_key = Key::from_number(attempt.request.0);
        if let Some(request) = self.requests.get_mut(request_key).filter(|_| !end.result.never_ran()) {
            request.first_possible_run =
                request.first_possible_run.into_iter().chain(attempt.written_at).min();
        }
        if end.result == AttemptResult::Ok {
            self.choose_answer(request_key, FinalAnswer::Served(std::mem::take(&mut end.copy)));
        }
        let finished = !self.requests.get(request_key).is_some_and(|request| request.is_open());
        let outcome = attempt.outcome(now, end, finished);
        log_outcome(request_key, &attempt, &outcome);
        self.events.push_back(Event::AttemptEnded(outcome));
    }
}

impl Attempt {
    /// Returns the fill source; `None` if the server itself is named as the source, or may not fetch.
    fn fill_source(&self) -> Option<ServerId> {
        self.fill.as_ref().map(|fill| fill.source).filter(|source| *source != self.server)
    }

    /// Returns the end of the attempt as the router's event.
    fn outcome(&self, now: Instant, end: AttemptEnd, finished: bool) -> AttemptOutcome {
        AttemptOutcome {
            request: self.request,
            attempt: self.number,
            server: self.server,
            result: end.result,
            cache_status: end.cache_status,
            elapsed: now - self.started_at,
            fill_wait: end.fill_wait,
            transfer_time: end.transfer_time,
            finished,
            load_report: end.load_report,
        }
    }
}

fn log_outcome(request: RequestKey, attempt: &Attempt, outcome: &AttemptOutcome) {
    let (server, number) = (attempt.server.0, attempt.number);
    let source = attempt.fill.as_ref().map(|fill| fill.source.0);
    let AttemptOutcome { result, cache_status, .. } = outcome;
    let elapsed = outcome.elapsed.as_micros();
    let fill_wait = outcome.fill_wait.as_micros();
    let transfer = outcome.transfer_time.as_micros();
    debug!(
        "{request} attempt {number} at {server} from {source:?}: {result:?} {cache_status:?} \
         elapsed_us={elapsed} fill_wait_us={fill_wait} transfer_us={transfer}"
    );
}

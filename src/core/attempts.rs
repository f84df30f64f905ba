//! Attempts: begun as the decision module says, written if that still holds at their writing, and ended once each.

use super::{
    Attempt, AttemptEnd, AttemptKey, Command, Core, CoreDeadline, FinalAnswer, OutgoingAttempt, RequestKey,
};
use crate::deadlines::Schedule;
use crate::interface::{
    AttemptOutcome, AttemptResult, Event, FillAttempt, Idempotency, Instant, Purge, RequestId, ServerId,
    ServerState, Span,
};
use crate::slots::Key;
use tracing::debug;

/// An attempt as the decision module asks for it.
pub(super) struct NewAttempt {
    pub request: RequestId,
    pub server: ServerId,
    /// Its time-out; 0: until the client stops waiting.
    pub timeout: Span,
    /// How it may be filled; `None`: not at all.
    pub fill: Option<FillAttempt>,
}

impl Core {
    /// Begins an attempt: it is queued for its server, or ends at once if it comes too late.
    pub(super) fn begin_attempt(
        &mut self,
        now: Instant,
        new: NewAttempt,
        due: &mut dyn Schedule<CoreDeadline>,
    ) {
        let request_key = Key::from_number(new.request.0);
        let Some(request) = self.requests.get_mut(request_key) else { return };
        let number = request.attempts_sent;
        request.attempts_sent = number.saturating_add(1);
        let deadline = request.deadline();
        let until = if new.timeout == Span::ZERO { deadline } else { (now + new.timeout).min(deadline) };
        let is_moot = !request.is_open() || u32::from(number) >= request.max_attempts || until <= now;
        let NewAttempt { request: id, server, fill: get, .. } = new;
        let purge =
            [Purge::Object(request.client_request.object), Purge::Group(request.client_request.group)];
        let attempt = Attempt {
            request: id,
            number,
            server,
            fill: get,
            purge_scopes: purge,
            started_at: now,
            deadline: until,
            timeout_deadline: None,
            written_at: None,
        };
        let key = self.attempts.insert(attempt);
        let handle = due.add(until, CoreDeadline::AttemptTimeout(key));
        if let Some(attempt) = self.attempts.get_mut(key) {
            attempt.timeout_deadline = Some(handle);
        }
        if is_moot {
            self.end_attempt(now, key, AttemptEnd::without_details(AttemptResult::NotSent), due);
        } else {
            self.commands.push_back(Command::SendAttempt { attempt: key, request: request_key, server });
        }
    }

    /// An attempt's bytes are about to be written: the last word on whether, and on what. `None`: it is not
    /// to be written; if it had not ended before, it ends as never sent.
    pub fn write_attempt(
        &mut self,
        now: Instant,
        key: AttemptKey,
        due: &mut dyn Schedule<CoreDeadline>,
    ) -> Option<OutgoingAttempt> {
        let attempt = self.attempts.get(key)?;
        let is_wanted = self.requests.get(Key::from_number(attempt.request.0)).is_some_and(|r| r.is_open());
        let may_go = is_wanted && self.servers_are_ready(attempt) && self.may_repeat(now, key, attempt);
        if attempt.deadline <= now || !may_go {
            self.end_attempt(now, key, AttemptEnd::without_details(AttemptResult::NotSent), due);
            self.run_router(now, due);
            return None;
        }
        let max_age = self.max_age(now, attempt);
        let source = attempt.source();
        let attempt = self.attempts.get_mut(key)?;
        attempt.written_at = Some(now);
        let request = Key::from_number(attempt.request.0);
        let get = attempt.fill.as_ref();
        Some(OutgoingAttempt {
            request,
            part: self.requests.get(request)?.client_request.part,
            fill_source: source,
            cache_rank: get.map_or(0, |get| get.cache_rank),
            max_age,
            join_fill: get.is_some_and(|get| get.join_fill),
            only_if_cached: get.is_some_and(|get| get.only_if_cached),
            bypass_parent_cache: get.is_some_and(|get| get.bypass_parent_cache),
            stale_while_revalidate: get.is_some_and(|get| get.stale_while_revalidate),
            timeout: attempt.deadline - now,
        })
    }

    /// The attempt that was launched last has not left after all: not a whole line of it is out, so it has not run.
    pub fn attempt_not_written(&mut self, key: AttemptKey) {
        if let Some(attempt) = self.attempts.get_mut(key) {
            attempt.written_at = None;
        }
    }

    /// Whether the servers of an attempt may still be asked: what was queued while a drain or a removal came in must
    /// not go out as it was decided.
    fn servers_are_ready(&self, attempt: &Attempt) -> bool {
        let is_ready = |server: ServerId| self.server_states.get(&server) == Some(&ServerState::Ready);
        is_ready(attempt.server) && attempt.source().is_none_or(is_ready)
    }

    /// The oldest copy that will do for an attempt, after the purges that came in since it was decided on; 0: any.
    fn max_age(&self, now: Instant, attempt: &Attempt) -> Span {
        let purged = attempt.purge_scopes.iter().filter_map(|what| self.purge_times.get(what)).max();
        let asked = attempt.fill.as_ref().map_or(Span::ZERO, |get| get.max_age);
        let Some(&purged) = purged else { return asked };
        let since_purge = (now - purged).max(Span::from_micros(1));
        if asked == Span::ZERO {
            since_purge
        } else {
            asked.min(since_purge)
        }
    }

    /// Whether an attempt may be written by its class's effect, beside what was written for its request before: it may
    /// have waited for a connection since it was decided on, and repeats of a keyed request have a window.
    fn may_repeat(&self, now: Instant, key: AttemptKey, attempt: &Attempt) -> bool {
        let Some(request) = self.requests.get(Key::from_number(attempt.request.0)) else { return false };
        let others = self.attempts.iter().filter(|(other, _)| *other != key);
        let others = others.filter(|(_, other)| other.request == attempt.request);
        let first = others.filter_map(|(_, other)| other.written_at).chain(request.first_possible_run).min();
        let class = self.settings.classes.get(usize::from(request.client_request.class.0));
        let (Some(first), Some(class)) = (first, class) else { return true };
        match class.idempotency {
            Idempotency::Always => true,
            Idempotency::Never => false,
            Idempotency::WithKey => now < first + class.dedup_window,
        }
    }

    /// An attempt has ended; what comes late for one that was given up is ignored.
    pub fn attempt_ended(
        &mut self,
        now: Instant,
        key: AttemptKey,
        end: AttemptEnd,
        due: &mut dyn Schedule<CoreDeadline>,
    ) {
        if self.attempts.get(key).is_some() {
            self.end_attempt(now, key, end, due);
            self.run_router(now, due);
        }
    }

    /// Ends an attempt whose time is over. Unsent by then, it never ran: no connection came up in time.
    pub(super) fn time_out_attempt(
        &mut self,
        now: Instant,
        key: AttemptKey,
        due: &mut dyn Schedule<CoreDeadline>,
    ) {
        let launched = self.is_written(key);
        let result = if launched { AttemptResult::Timeout } else { AttemptResult::ConnectFailed };
        self.abandon_attempt(now, key, result, due);
    }

    /// Calls an attempt off as the decision module asks. One that still waits for a connection has not run, and its
    /// request may go elsewhere.
    pub(super) fn cancel_attempt(
        &mut self,
        now: Instant,
        request: RequestId,
        number: u8,
        due: &mut dyn Schedule<CoreDeadline>,
    ) {
        let is_it = |attempt: &Attempt| (attempt.request, attempt.number) == (request, number);
        let found = self.attempts.iter().find(|(_, attempt)| is_it(attempt));
        let Some(key) = found.map(|(key, _)| key) else { return };
        let launched = self.is_written(key);
        let result = if launched { AttemptResult::Cancelled } else { AttemptResult::NotSent };
        self.abandon_attempt(now, key, result, due);
    }

    /// Ends an attempt that is given up from here, as `result`.
    pub(super) fn abandon_attempt(
        &mut self,
        now: Instant,
        key: AttemptKey,
        result: AttemptResult,
        due: &mut dyn Schedule<CoreDeadline>,
    ) {
        self.commands.push_back(Command::AbandonAttempt(key));
        self.end_attempt(now, key, AttemptEnd::without_details(result), due);
    }

    /// When an attempt's bytes may have left, if they may have.
    pub fn written_at(&self, key: AttemptKey) -> Option<Instant> {
        self.attempts.get(key)?.written_at
    }

    fn is_written(&self, key: AttemptKey) -> bool {
        self.attempts.get(key).is_some_and(|attempt| attempt.written_at.is_some())
    }

    pub(super) fn attempts_of(&self, key: RequestKey) -> Vec<AttemptKey> {
        let id = RequestId(key.number());
        self.attempts.iter().filter(|(_, attempt)| attempt.request == id).map(|(key, _)| key).collect()
    }

    /// Ends an attempt and tells the module; the first copy answers the request.
    fn end_attempt(
        &mut self,
        now: Instant,
        key: AttemptKey,
        mut end: AttemptEnd,
        due: &mut dyn Schedule<CoreDeadline>,
    ) {
        let Some(attempt) = self.attempts.remove(key) else { return };
        attempt.timeout_deadline.into_iter().for_each(|handle| due.remove(handle));
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
    /// Who supplies a miss, if somebody does.
    fn source(&self) -> Option<ServerId> {
        self.fill.as_ref().map(|get| get.source).filter(|source| *source != self.server)
    }

    /// How it ended, as the decision module is told.
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
    let source = attempt.fill.as_ref().map(|get| get.source.0);
    let AttemptOutcome { result, cache_status: note, elapsed, fill_wait, transfer_time, .. } = outcome;
    let (us, waited, sending) = (elapsed.as_micros(), fill_wait.as_micros(), transfer_time.as_micros());
    debug!("{request} attempt {number} at {server} from {source:?}: {result:?} {note:?} us={us} waited={waited} sending={sending}");
}

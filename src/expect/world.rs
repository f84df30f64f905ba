//! The world of an exploration: which servers are down, which hold copies, and which events are due.

use super::decisions::{Decision, Trace};
use super::expectation::{Answer, Scenario};
use super::planned_end::{PlannedEnd, ANSWER_TIME, CONNECT_TIMEOUT, FILL_TIME};
use super::site::Site;
use crate::interface::{
    Action, AttemptOutcome, AttemptResult, CacheStatus, Class, Endpoint, Event, FillAttempt, Instant,
    ObjectId, RequestId, ServerId, Span,
};
use std::collections::{BTreeMap, BTreeSet, HashSet};

/// What can be due.
pub(super) enum Next {
    /// An event for the router.
    Event(Event),
    /// The scenario's change.
    Change,
}

/// When something is due; at one time in the order in which it was planned.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Slot {
    at: Instant,
    /// The number of things planned before it, and itself.
    order: u64,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct AttemptKey {
    /// The request's number in the exploration.
    request: usize,
    /// The attempt's number, from 0.
    attempt: u8,
}

impl AttemptKey {
    fn new(request: RequestId, attempt: u8) -> Self {
        AttemptKey { request: request.0 as usize, attempt }
    }
}

/// The world of one exploration.
pub(super) struct World<'a> {
    site: &'a Site,
    /// Servers to which connections, and from which fills, fail.
    down: BTreeSet<ServerId>,
    /// Which server holds a copy of which object.
    copies: HashSet<(ServerId, ObjectId)>,
    due: BTreeMap<Slot, Next>,
    /// How many events and changes were planned so far.
    planned: u64,
    /// Attempts of each request so far.
    attempts: Vec<u8>,
    /// The attempts in flight, with the slot of their end.
    open: BTreeMap<AttemptKey, Slot>,
    trace: Trace,
}

impl<'a> World<'a> {
    /// A world where all servers are up and none holds a copy, for requests for these objects.
    pub(super) fn new(site: &'a Site, objects: Vec<ObjectId>, judged_from: usize) -> Self {
        let requests = objects.len();
        World {
            site,
            down: BTreeSet::new(),
            copies: HashSet::new(),
            due: BTreeMap::new(),
            planned: 0,
            attempts: vec![0; requests],
            open: BTreeMap::new(),
            trace: Trace { objects, judged_from, decisions: Vec::new(), answers: vec![None; requests] },
        }
    }

    /// The decisions and answers.
    pub(super) fn into_trace(self) -> Trace {
        self.trace
    }

    /// Plans an event or the change.
    pub(super) fn plan(&mut self, at: Instant, next: Next) -> Slot {
        self.planned += 1;
        let slot = Slot { at, order: self.planned };
        self.due.insert(slot, next);
        slot
    }

    /// Takes what is due next, if it is due by `end`.
    pub(super) fn next_until(&mut self, end: Instant) -> Option<(Instant, Next)> {
        let first = self.due.first_entry().filter(|first| first.key().at <= end)?;
        let (slot, next) = first.remove_entry();
        if let Next::Event(Event::AttemptEnded(outcome)) = &next {
            self.open.remove(&AttemptKey::new(outcome.request, outcome.attempt));
        }
        Some((slot.at, next))
    }

    /// Applies a scenario's change.
    pub(super) fn change(&mut self, scenario: &Scenario) {
        self.down.extend(&scenario.down);
        self.copies.retain(|(server, _)| !scenario.cold.contains(server));
    }

    /// Carries out an action of the router.
    pub(super) fn act(&mut self, now: Instant, action: Action, class: &Class) {
        match action {
            Action::SendWithFill(get) => self.start_attempt(now, &get, class),
            Action::SendCacheOnly { request, server, timeout } => {
                self.start_attempt(now, &forwarded(request, server, timeout), class);
            }
            Action::Reject { request, .. } => self.answer(request, Answer::Rejected),
            Action::Fail(request) => self.answer(request, Answer::Failed),
            Action::Cancel { request, attempt } => self.cancel(now, AttemptKey::new(request, attempt)),
            Action::Timer { token, after } => {
                self.plan(now + after, Next::Event(Event::Timer(token)));
            }
            Action::HealthCheck(_) | Action::CloseIdleConnections(_) | Action::SendToPeer { .. } => {}
            Action::Log(_) | Action::WatchEndpoints(_) | Action::PollEndpoints => {}
        }
    }

    fn answer(&mut self, request: RequestId, answer: Answer) {
        self.trace.answers[request.0 as usize].get_or_insert(answer);
    }

    /// Records an attempt, and plans how it ends.
    fn start_attempt(&mut self, now: Instant, get: &FillAttempt, class: &Class) {
        let request = get.request.0 as usize;
        let attempt = self.attempts[request];
        self.attempts[request] += 1;
        let source = Some(get.source).filter(|source| *source != get.server);
        let decision = Decision { request, attempt, server: get.server, source, rank: get.cache_rank };
        self.trace.decisions.push(decision);
        let end = self.planned_end(get, class).within(get.timeout);
        if end.result == AttemptResult::Ok {
            self.answer(get.request, Answer::Served);
            if !class.uncached {
                self.cache_copies(self.trace.objects[request], get.server, source);
            }
        }
        let outcome = AttemptOutcome {
            request: get.request,
            attempt,
            server: get.server,
            result: end.result,
            cache_status: end.cache_status,
            elapsed: end.elapsed,
            fill_wait: end.fill_wait,
            transfer_time: Span::ZERO,
            finished: end.result == AttemptResult::Ok,
            load_report: Vec::new(),
        };
        let slot = self.plan(now + end.elapsed, Next::Event(Event::AttemptEnded(outcome)));
        self.open.insert(AttemptKey { request, attempt }, slot);
    }

    /// The server that answered gets a copy, and so does the parent from which it was filled.
    fn cache_copies(&mut self, object: ObjectId, server: ServerId, source: Option<ServerId>) {
        self.copies.insert((server, object));
        let parent = source.filter(|source| self.is(*source, Site::is_parent));
        self.copies.extend(parent.map(|parent| (parent, object)));
    }

    /// Ends an open attempt as cancelled.
    fn cancel(&mut self, now: Instant, key: AttemptKey) {
        let Some(slot) = self.open.get(&key).copied() else { return };
        let Some(Next::Event(Event::AttemptEnded(mut outcome))) = self.due.remove(&slot) else { return };
        let started_at = slot.at - outcome.elapsed;
        outcome.result = AttemptResult::Cancelled;
        outcome.cache_status = None;
        outcome.elapsed = now - started_at;
        outcome.finished = false;
        let slot = self.plan(now, Next::Event(Event::AttemptEnded(outcome)));
        self.open.insert(key, slot);
    }

    /// How an attempt ends.
    fn planned_end(&self, get: &FillAttempt, class: &Class) -> PlannedEnd {
        let object = self.trace.objects[get.request.0 as usize];
        let holds = |server: ServerId| !class.uncached && self.copies.contains(&(server, object));
        if self.down.contains(&get.server) {
            return PlannedEnd::after(CONNECT_TIMEOUT, AttemptResult::ConnectFailed, None);
        }
        if self.is(get.server, Site::is_origin) || holds(get.server) {
            return PlannedEnd::hit();
        }
        // A parent fills by itself what it lacks, from the origin.
        if self.is(get.server, Site::is_parent) && !get.only_if_cached {
            return PlannedEnd::filled(CacheStatus::FilledByOrigin, 2 * FILL_TIME);
        }
        if get.source == get.server {
            return PlannedEnd::after(ANSWER_TIME, AttemptResult::Miss, None);
        }
        self.fill(get, holds(get.source))
    }

    /// How an attempt ends that is filled from its source; `held`: whether the source holds a copy.
    fn fill(&self, get: &FillAttempt, held: bool) -> PlannedEnd {
        if self.down.contains(&get.source) {
            return PlannedEnd::after(
                ANSWER_TIME,
                AttemptResult::Error,
                Some(CacheStatus::SourceUnreachable),
            );
        }
        let parent_fills = self.is(get.source, Site::is_parent) && !get.only_if_cached && !held;
        if self.is(get.source, Site::is_origin) || parent_fills {
            return PlannedEnd::filled(CacheStatus::FilledByOrigin, 2 * FILL_TIME);
        }
        if held {
            return PlannedEnd::filled(CacheStatus::Filled, FILL_TIME);
        }
        PlannedEnd::after(ANSWER_TIME, AttemptResult::Miss, Some(CacheStatus::SourceMiss))
    }

    fn is(&self, server: ServerId, property: impl Fn(&Site, &Endpoint) -> bool) -> bool {
        let member = self.site.servers.get(&server);
        member.is_some_and(|member| property(self.site, member))
    }
}

/// An attempt that is forwarded to a server as it is: no fill, no copy.
fn forwarded(request: RequestId, server: ServerId, timeout: Span) -> FillAttempt {
    FillAttempt {
        request,
        server,
        timeout,
        source: server,
        cache_rank: 0,
        max_age: Span::ZERO,
        join_fill: false,
        only_if_cached: true,
        bypass_parent_cache: false,
        stale_while_revalidate: false,
    }
}

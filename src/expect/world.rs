//! The simulated surroundings of the router in an exploration: which servers are down, which have cached
//! copies, and which events are due.

use super::decisions::{Decision, Trace};
use super::expectation::{Answer, Scenario};
use super::planned_end::{PlannedEnd, ANSWER_TIME, CONNECT_TIMEOUT, FILL_TIME};
use super::site::Site;
use crate::interface::{
    Action, AttemptOutcome, AttemptResult, CacheStatus, Class, Endpoint, Event, FillAttempt, Instant,
    ObjectId, RequestId, ServerId, Span,
};
use std::collections::{BTreeMap, BTreeSet, HashSet};

/// Something that is due at a planned time.
pub(super) enum DueItem {
    /// An event for the router.
    Event(Event),
    /// The scenario's change.
    Change,
}

/// The key of a due item. Items that are due at the same time come in the order in which they were planned.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct DueKey {
    at: Instant,
    /// The item's number in the order of planning, from 1.
    sequence: u64,
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
    /// Servers to which connections fail, and from which fills fail.
    down: BTreeSet<ServerId>,
    /// The cached copies: pairs of a server and an object.
    copies: HashSet<(ServerId, ObjectId)>,
    due: BTreeMap<DueKey, DueItem>,
    /// Number of items planned so far.
    planned_count: u64,
    /// Number of attempts so far, by request number.
    attempts: Vec<u8>,
    /// The attempts in flight, with the key of the item that ends them.
    in_flight: BTreeMap<AttemptKey, DueKey>,
    trace: Trace,
}

impl<'a> World<'a> {
    /// Returns a world in which all servers are up and none has a cached copy, for requests for these
    /// objects.
    pub(super) fn new(site: &'a Site, objects: Vec<ObjectId>, first_checked: usize) -> Self {
        let requests = objects.len();
        World {
            site,
            down: BTreeSet::new(),
            copies: HashSet::new(),
            due: BTreeMap::new(),
            planned_count: 0,
            attempts: vec![0; requests],
            in_flight: BTreeMap::new(),
            trace: Trace { objects, first_checked, decisions: Vec::new(), answers: vec![None; requests] },
        }
    }

    /// Returns the recorded decisions and answers.
    pub(super) fn into_trace(self) -> Trace {
        self.trace
    }

    /// Plans an event or the scenario's change, and returns its key.
    pub(super) fn plan(&mut self, at: Instant, next: DueItem) -> DueKey {
        self.planned_count += 1;
        let due_key = DueKey { at, sequence: self.planned_count };
        self.due.insert(due_key, next);
        due_key
    }

    /// Removes the next due item and returns it with its time; `None` if nothing is due by `end`.
    pub(super) fn take_due(&mut self, end: Instant) -> Option<(Instant, DueItem)> {
        let first = self.due.first_entry().filter(|first| first.key().at <= end)?;
        let (due_key, next) = first.remove_entry();
        if let DueItem::Event(Event::AttemptEnded(outcome)) = &next {
            self.in_flight.remove(&AttemptKey::new(outcome.request, outcome.attempt));
        }
        Some((due_key.at, next))
    }

    /// Applies a scenario's change: servers go down, and cold servers lose their copies.
    pub(super) fn apply_change(&mut self, scenario: &Scenario) {
        self.down.extend(&scenario.down);
        self.copies.retain(|(server, _)| !scenario.cold.contains(server));
    }

    /// Performs an action of the router.
    pub(super) fn apply_action(&mut self, now: Instant, action: Action, class: &Class) {
        match action {
            Action::SendWithFill(fill_attempt) => self.start_attempt(now, &fill_attempt, class),
            Action::SendCacheOnly { request, server, timeout } => {
                self.start_attempt(now, &attempt_without_fill(request, server, timeout), class);
            }
            Action::Reject { request, .. } => self.answer(request, Answer::Rejected),
            Action::Fail(request) => self.answer(request, Answer::Failed),
            Action::Cancel { request, attempt } => self.cancel(now, AttemptKey::new(request, attempt)),
            Action::Timer { token, after } => {
                self.plan(now + after, DueItem::Event(Event::Timer(token)));
            }
            Action::HealthCheck(_) | Action::CloseIdleConnections(_) | Action::SendToPeer { .. } => {}
            Action::Log(_) | Action::WatchEndpoints(_) | Action::PollEndpoints => {}
        }
    }

    fn answer(&mut self, request: RequestId, answer: Answer) {
        self.trace.answers[request.0 as usize].get_or_insert(answer);
    }

    /// Records an attempt, and plans its end.
    fn start_attempt(&mut self, now: Instant, fill_attempt: &FillAttempt, class: &Class) {
        let request = fill_attempt.request.0 as usize;
        let attempt = self.attempts[request];
        self.attempts[request] += 1;
        let source = Some(fill_attempt.source).filter(|source| *source != fill_attempt.server);
        let decision =
            Decision { request, attempt, server: fill_attempt.server, source, rank: fill_attempt.cache_rank };
        self.trace.decisions.push(decision);
        let end = self.planned_end(fill_attempt, class).limited_to(fill_attempt.timeout);
        if end.result == AttemptResult::Ok {
            self.answer(fill_attempt.request, Answer::Served);
            if !class.uncached {
                self.cache_copies(self.trace.objects[request], fill_attempt.server, source);
            }
        }
        let outcome = AttemptOutcome {
            request: fill_attempt.request,
            attempt,
            server: fill_attempt.server,
            result: end.result,
            cache_status: end.cache_status,
            elapsed: end.elapsed,
            fill_wait: end.fill_wait,
            transfer_time: Span::ZERO,
            finished: end.result == AttemptResult::Ok,
            load_report: Vec::new(),
        };
        let due_key = self.plan(now + end.elapsed, DueItem::Event(Event::AttemptEnded(outcome)));
        self.in_flight.insert(AttemptKey { request, attempt }, due_key);
    }

    /// Records a copy at the server that answered, and one at the parent from which it was filled, if any.
    fn cache_copies(&mut self, object: ObjectId, server: ServerId, source: Option<ServerId>) {
        self.copies.insert((server, object));
        let parent = source.filter(|source| self.server_is(*source, Site::is_parent));
        self.copies.extend(parent.map(|parent| (parent, object)));
    }

    /// Ends an attempt in flight as cancelled.
    fn cancel(&mut self, now: Instant, key: AttemptKey) {
        let Some(due_key) = self.in_flight.get(&key).copied() else { return };
        let Some(DueItem::Event(Event::AttemptEnded(mut outcome))) = self.due.remove(&due_key) else {
            return;
        };
        let started_at = due_key.at - outcome.elapsed;
        outcome.result = AttemptResult::Cancelled;
        outcome.cache_status = None;
        outcome.elapsed = now - started_at;
        outcome.finished = false;
        let due_key = self.plan(now, DueItem::Event(Event::AttemptEnded(outcome)));
        self.in_flight.insert(key, due_key);
    }

    /// Returns how an attempt ends.
    fn planned_end(&self, fill_attempt: &FillAttempt, class: &Class) -> PlannedEnd {
        let object = self.trace.objects[fill_attempt.request.0 as usize];
        let has_copy = |server: ServerId| !class.uncached && self.copies.contains(&(server, object));
        if self.down.contains(&fill_attempt.server) {
            return PlannedEnd::new(CONNECT_TIMEOUT, AttemptResult::ConnectFailed, None);
        }
        if self.server_is(fill_attempt.server, Site::is_origin) || has_copy(fill_attempt.server) {
            return PlannedEnd::hit();
        }
        // A parent that has no copy fills it from the origin by itself.
        if self.server_is(fill_attempt.server, Site::is_parent) && !fill_attempt.only_if_cached {
            return PlannedEnd::filled(CacheStatus::FilledByOrigin, 2 * FILL_TIME);
        }
        if fill_attempt.source == fill_attempt.server {
            return PlannedEnd::new(ANSWER_TIME, AttemptResult::Miss, None);
        }
        self.fill_end(fill_attempt, has_copy(fill_attempt.source))
    }

    /// Returns how an attempt ends that is filled from its source.
    fn fill_end(&self, fill_attempt: &FillAttempt, source_has_copy: bool) -> PlannedEnd {
        if self.down.contains(&fill_attempt.source) {
            return PlannedEnd::new(ANSWER_TIME, AttemptResult::Error, Some(CacheStatus::SourceUnreachable));
        }
        let parent_fills = self.server_is(fill_attempt.source, Site::is_parent)
            && !fill_attempt.only_if_cached
            && !source_has_copy;
        if self.server_is(fill_attempt.source, Site::is_origin) || parent_fills {
            return PlannedEnd::filled(CacheStatus::FilledByOrigin, 2 * FILL_TIME);
        }
        if source_has_copy {
            return PlannedEnd::filled(CacheStatus::Filled, FILL_TIME);
        }
        PlannedEnd::new(ANSWER_TIME, AttemptResult::Miss, Some(CacheStatus::SourceMiss))
    }

    fn server_is(&self, server: ServerId, property: impl Fn(&Site, &Endpoint) -> bool) -> bool {
        let endpoint = self.site.servers.get(&server);
        endpoint.is_some_and(|endpoint| property(self.site, endpoint))
    }
}

/// Returns an attempt that is sent to a server without a fill, and whose answer is not cached.
fn attempt_without_fill(request: RequestId, server: ServerId, timeout: Span) -> FillAttempt {
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

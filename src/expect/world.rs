//! The simulated world of an exploration: which servers are reachable, which copies they have, and the schedule of
//! events. `ending` is how attempts end.

mod ending;

use super::decisions::{Decision, Trace};
use super::expectation::{Answer, Scenario};
use super::site::Site;
use crate::interface::{
    Action, AttemptOutcome, AttemptResult, CacheStatus, Class, Endpoint, Event, FillAttempt, Instant,
    ObjectId, RequestId, ServerId, Span,
};
use ending::{AttemptEnding, ANSWER_TIME};
use std::collections::{BTreeMap, BTreeSet, HashSet};

/// How long a fill takes until its first byte.
const FILL_TIME: Span = Span::from_millis(10);
/// How long a connection that does not come up is tried, as the platform's `connect_timeout`.
const CONNECT_TIMEOUT: Span = Span::from_millis(400);

/// A scheduled step.
pub(super) enum ScheduledStep {
    /// An event for the router.
    Event(Event),
    /// The scenario's change.
    Change,
}

/// The place of a step in the schedule: steps of one instant come in the order in which they were planned.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Slot {
    at: Instant,
    order: u64,
}

/// Identifies an attempt: the index of its request, and its number from 0.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct AttemptKey {
    request: usize,
    attempt: u8,
}

/// The world of one exploration.
pub(super) struct World<'a> {
    site: &'a Site,
    /// Unreachable servers: connections to them and fills from them fail.
    down: BTreeSet<ServerId>,
    /// The copies that servers have.
    copies: HashSet<(ServerId, ObjectId)>,
    schedule: BTreeMap<Slot, ScheduledStep>,
    /// The number of steps that were planned so far.
    planned: u64,
    /// The number of attempts of each request so far.
    attempts: Vec<u8>,
    /// The open attempts, each with the scheduled step that ends it.
    open: BTreeMap<AttemptKey, Slot>,
    trace: Trace,
}

impl<'a> World<'a> {
    /// A world where all servers are reachable and none has a copy, for requests for these objects.
    pub(super) fn new(site: &'a Site, objects: Vec<ObjectId>, judged_from: usize) -> Self {
        let requests = objects.len();
        World {
            site,
            down: BTreeSet::new(),
            copies: HashSet::new(),
            schedule: BTreeMap::new(),
            planned: 0,
            attempts: vec![0; requests],
            open: BTreeMap::new(),
            trace: Trace { objects, judged_from, decisions: Vec::new(), answers: vec![None; requests] },
        }
    }

    /// The decisions and answers that were recorded.
    pub(super) fn into_trace(self) -> Trace {
        self.trace
    }

    /// Schedules a step.
    pub(super) fn plan(&mut self, at: Instant, next: ScheduledStep) -> Slot {
        self.planned += 1;
        let slot = Slot { at, order: self.planned };
        self.schedule.insert(slot, next);
        slot
    }

    /// Removes and returns the next step, if it is due by `end`.
    pub(super) fn next_until(&mut self, end: Instant) -> Option<(Instant, ScheduledStep)> {
        let first = self.schedule.first_entry().filter(|first| first.key().at <= end)?;
        let (Slot { at: now, .. }, next) = first.remove_entry();
        if let ScheduledStep::Event(Event::AttemptEnded(outcome)) = &next {
            let key = AttemptKey { request: outcome.request.0 as usize, attempt: outcome.attempt };
            self.open.remove(&key);
        }
        Some((now, next))
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
                self.start_attempt(now, &cache_only_attempt(request, server, timeout), class);
            }
            Action::Reject { request, .. } => self.answer(request, Answer::Refused),
            Action::Fail(request) => self.answer(request, Answer::Failed),
            Action::Cancel { request, attempt } => {
                self.cancel(now, AttemptKey { request: request.0 as usize, attempt });
            }
            Action::Timer { token, after } => {
                self.plan(now + after, ScheduledStep::Event(Event::Timer(token)));
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
        let ending = self.ending(get, class).within(get.timeout);
        if ending.result == AttemptResult::Ok {
            self.answer(get.request, Answer::Served);
            if !class.uncached {
                self.keep_copies(self.trace.objects[request], get.server, source);
            }
        }
        let outcome = AttemptOutcome {
            request: get.request,
            attempt,
            server: get.server,
            result: ending.result,
            cache_status: ending.cache_status,
            elapsed: ending.after,
            fill_wait: ending.fill_wait,
            transfer_time: Span::ZERO,
            finished: ending.result == AttemptResult::Ok,
            load_report: Vec::new(),
        };
        let slot = self.plan(now + ending.after, ScheduledStep::Event(Event::AttemptEnded(outcome)));
        self.open.insert(AttemptKey { request, attempt }, slot);
    }

    /// Caches the object at the server that answered, and at the parent that filled it.
    fn keep_copies(&mut self, object: ObjectId, server: ServerId, source: Option<ServerId>) {
        self.copies.insert((server, object));
        let parent = source.filter(|source| self.is(*source, Site::is_parent));
        self.copies.extend(parent.map(|parent| (parent, object)));
    }

    /// Ends an open attempt as cancelled.
    fn cancel(&mut self, now: Instant, key: AttemptKey) {
        let Some(slot) = self.open.get(&key).copied() else { return };
        let Some(ScheduledStep::Event(Event::AttemptEnded(mut outcome))) = self.schedule.remove(&slot) else {
            return;
        };
        let started_at = slot.at - outcome.elapsed;
        outcome.result = AttemptResult::Cancelled;
        outcome.cache_status = None;
        outcome.elapsed = now - started_at;
        outcome.finished = false;
        let slot = self.plan(now, ScheduledStep::Event(Event::AttemptEnded(outcome)));
        self.open.insert(key, slot);
    }

    /// How an attempt ends.
    fn ending(&self, get: &FillAttempt, class: &Class) -> AttemptEnding {
        let object = self.trace.objects[get.request.0 as usize];
        let holds = |server: ServerId| !class.uncached && self.copies.contains(&(server, object));
        if self.down.contains(&get.server) {
            return AttemptEnding::of(CONNECT_TIMEOUT, AttemptResult::ConnectFailed, None);
        }
        if self.is(get.server, Site::is_origin) || holds(get.server) {
            return AttemptEnding::hit();
        }
        // A parent fills by itself what it lacks, from the origin.
        if self.is(get.server, Site::is_parent) && !get.only_if_cached {
            return AttemptEnding::filled(CacheStatus::FilledByOrigin, 2 * FILL_TIME);
        }
        if get.source == get.server {
            return AttemptEnding::of(ANSWER_TIME, AttemptResult::Miss, None);
        }
        self.fill(get, holds(get.source))
    }

    /// How an attempt ends that is filled from its source; `held`: whether the source holds a copy.
    fn fill(&self, get: &FillAttempt, held: bool) -> AttemptEnding {
        if self.down.contains(&get.source) {
            return AttemptEnding::of(
                ANSWER_TIME,
                AttemptResult::Error,
                Some(CacheStatus::SourceUnreachable),
            );
        }
        let parent_fills = self.is(get.source, Site::is_parent) && !get.only_if_cached && !held;
        if self.is(get.source, Site::is_origin) || parent_fills {
            return AttemptEnding::filled(CacheStatus::FilledByOrigin, 2 * FILL_TIME);
        }
        if held {
            return AttemptEnding::filled(CacheStatus::Filled, FILL_TIME);
        }
        AttemptEnding::of(ANSWER_TIME, AttemptResult::Miss, Some(CacheStatus::SourceMiss))
    }

    fn is(&self, server: ServerId, property: impl Fn(&Site, &Endpoint) -> bool) -> bool {
        let member = self.site.servers.get(&server);
        member.is_some_and(|member| property(self.site, member))
    }
}

/// An attempt that is forwarded to a server as it is, without a fill.
fn cache_only_attempt(request: RequestId, server: ServerId, timeout: Span) -> FillAttempt {
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

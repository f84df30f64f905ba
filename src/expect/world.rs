//! The world in which the decision module's attempts end: who is there, who holds a copy of what, and what comes when.

use super::decisions::{Decision, Trace};
use super::expectation::{Answer, Scenario};
use super::site::Site;
use crate::interface::{
    Action, AttemptOutcome, AttemptResult, CacheStatus, Class, Endpoint, Event, FillAttempt, Instant,
    ObjectId, RequestId, ServerId, Span,
};
use std::collections::{BTreeMap, BTreeSet, HashSet};

/// An attempt's answer comes after this.
const ANSWER_TIME: Span = Span::from_millis(5);
/// A fill's first byte comes after this.
const FILL_TIME: Span = Span::from_millis(10);
/// How long a connection that does not come up is tried, as the platform's `connect_timeout`.
const CONNECT_TIMEOUT: Span = Span::from_millis(400);

/// What is due.
pub(super) enum ScheduledStep {
    /// An event for the router.
    Event(Event),
    /// The scenario's change.
    Change,
}

/// When something is due; at one time in the order in which it was planned.
type Slot = (Instant, u64);

/// An attempt: its request, and its number from 0.
type AttemptKey = (usize, u8);

/// How an attempt ends.
#[derive(Clone, Copy)]
struct Ending {
    /// How long after its start.
    after: Span,
    result: AttemptResult,
    note: Option<CacheStatus>,
    /// How long it waited for the source of its fill.
    waited: Span,
}

impl Ending {
    fn of(after: Span, result: AttemptResult, note: Option<CacheStatus>) -> Self {
        Ending { after, result, note, waited: Span::ZERO }
    }

    /// A copy was there.
    fn hit() -> Self {
        Ending::of(ANSWER_TIME, AttemptResult::Ok, Some(CacheStatus::Hit))
    }

    /// It was filled, from the origin or from a copy.
    fn filled(note: CacheStatus, waited: Span) -> Self {
        Ending { waited, ..Ending::of(ANSWER_TIME + waited, AttemptResult::Ok, Some(note)) }
    }

    /// The same, cut off by the attempt's time-out; zero: there is none.
    fn within(self, timeout: Span) -> Self {
        if timeout == Span::ZERO || self.after < timeout {
            return self;
        }
        Ending { after: timeout, result: AttemptResult::Timeout, ..self }
    }
}

/// The world of one exploration.
pub(super) struct World<'a> {
    site: &'a Site,
    /// Not there: no connection comes up, and a fill from there breaks.
    down: BTreeSet<ServerId>,
    /// Who holds a copy of what.
    copies: HashSet<(ServerId, ObjectId)>,
    due: BTreeMap<Slot, ScheduledStep>,
    /// How many things were planned so far.
    planned: u64,
    /// Attempts of each request so far.
    attempts: Vec<u8>,
    /// The attempts that have not ended, with what will end them.
    open: BTreeMap<AttemptKey, Slot>,
    trace: Trace,
}

impl<'a> World<'a> {
    /// A world where all servers are there and none holds a copy, for requests for these objects.
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

    /// What was decided.
    pub(super) fn into_trace(self) -> Trace {
        self.trace
    }

    /// Plans what is due at a time.
    pub(super) fn plan(&mut self, at: Instant, next: ScheduledStep) -> Slot {
        self.planned += 1;
        let slot = (at, self.planned);
        self.due.insert(slot, next);
        slot
    }

    /// Takes what is due next, if it is by `end`.
    pub(super) fn next_until(&mut self, end: Instant) -> Option<(Instant, ScheduledStep)> {
        let first = self.due.first_entry().filter(|first| first.key().0 <= end)?;
        let ((now, _), next) = first.remove_entry();
        if let ScheduledStep::Event(Event::AttemptEnded(outcome)) = &next {
            self.open.remove(&(outcome.request.0 as usize, outcome.attempt));
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
            Action::Cancel { request, attempt } => self.cancel(now, (request.0 as usize, attempt)),
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
            cache_status: ending.note,
            elapsed: ending.after,
            fill_wait: ending.waited,
            transfer_time: Span::ZERO,
            finished: ending.result == AttemptResult::Ok,
            load_report: Vec::new(),
        };
        let slot = self.plan(now + ending.after, ScheduledStep::Event(Event::AttemptEnded(outcome)));
        self.open.insert((request, attempt), slot);
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
        let Some(ScheduledStep::Event(Event::AttemptEnded(mut outcome))) = self.due.remove(&slot) else {
            return;
        };
        let (ends_at, _) = slot;
        let started_at = ends_at - outcome.elapsed;
        outcome.result = AttemptResult::Cancelled;
        outcome.cache_status = None;
        outcome.elapsed = now - started_at;
        outcome.finished = false;
        let slot = self.plan(now, ScheduledStep::Event(Event::AttemptEnded(outcome)));
        self.open.insert(key, slot);
    }

    /// How an attempt ends.
    fn ending(&self, get: &FillAttempt, class: &Class) -> Ending {
        let object = self.trace.objects[get.request.0 as usize];
        let holds = |server: ServerId| !class.uncached && self.copies.contains(&(server, object));
        if self.down.contains(&get.server) {
            return Ending::of(CONNECT_TIMEOUT, AttemptResult::ConnectFailed, None);
        }
        if self.is(get.server, Site::is_origin) || holds(get.server) {
            return Ending::hit();
        }
        // A parent fills by itself what it lacks, from the origin.
        if self.is(get.server, Site::is_parent) && !get.only_if_cached {
            return Ending::filled(CacheStatus::FilledByOrigin, 2 * FILL_TIME);
        }
        if get.source == get.server {
            return Ending::of(ANSWER_TIME, AttemptResult::Miss, None);
        }
        self.fill(get, holds(get.source))
    }

    /// How an attempt ends that is filled from its source; `held`: whether the source holds a copy.
    fn fill(&self, get: &FillAttempt, held: bool) -> Ending {
        if self.down.contains(&get.source) {
            return Ending::of(ANSWER_TIME, AttemptResult::Error, Some(CacheStatus::SourceUnreachable));
        }
        let parent_fills = self.is(get.source, Site::is_parent) && !get.only_if_cached && !held;
        if self.is(get.source, Site::is_origin) || parent_fills {
            return Ending::filled(CacheStatus::FilledByOrigin, 2 * FILL_TIME);
        }
        if held {
            return Ending::filled(CacheStatus::Filled, FILL_TIME);
        }
        Ending::of(ANSWER_TIME, AttemptResult::Miss, Some(CacheStatus::SourceMiss))
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

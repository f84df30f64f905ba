//! Regression test for refactoring: plays long seeded streams of events and compares digests of all actions.
//!
//! The digest changes with any decision and with the last bit of any capacity. A change that is meant to alter
//! decisions records a new snapshot.

use crate::support::{endpoint, endpoints, request, settings, CACHE, MS, PARENT, SECOND};
use dahliatrack::policy::CacheCounts;
use dahliatrack::splitmix64::next;
use dahliatrack::*;
use sha2::{Digest, Sha256};
use std::fmt::Write;

const STEPS: usize = 12_000;
const OBJECTS: u64 = 200;

/// An attempt that the simulated servers have not answered yet.
struct Pending {
    attempt: FillAttempt,
    number: u8,
    sent: Instant,
    ends: Instant,
    cancelled: bool,
}

/// Settings and behaviour of the simulated servers.
struct Scenario {
    name: &'static str,
    settings: Settings,
    /// Share of attempts that fail, in thousandths.
    failures: u64,
    /// Requests whose ID is a multiple of this fail at every server.
    unservable_every: u64,
    /// Mean time between requests.
    pause: Span,
}

/// A router, the simulated servers, and the record of its actions.
struct Stream {
    router: Router,
    now: Instant,
    seed: u64,
    pending: Vec<Pending>,
    attempts: std::collections::BTreeMap<RequestId, u8>,
    due_ticks: Vec<(Instant, u32)>,
    counts: std::collections::BTreeMap<&'static str, usize>,
    digest: Sha256,
}

impl Stream {
    fn new(settings: Settings, seed: u64) -> Self {
        Stream {
            router: Router::new(settings, seed, Instant::ZERO).expect("usable settings"),
            now: Instant::ZERO,
            seed,
            pending: Vec::new(),
            attempts: Default::default(),
            due_ticks: Vec::new(),
            counts: Default::default(),
            digest: Sha256::new(),
        }
    }

    fn draw(&mut self, below: u64) -> u64 {
        next(&mut self.seed) % below
    }

    fn event(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.router.handle(self.now, event, &mut actions);
        for action in actions {
            self.digest.update(format!("{} {}\n", self.now.as_micros(), recorded(&action)));
            self.apply(action);
        }
    }

    fn apply(&mut self, action: Action) {
        let kind = match action {
            Action::SendWithFill(attempt) => {
                let number = self.attempts.entry(attempt.request).or_default();
                let attempt_number = *number;
                *number += 1;
                let slow = self.draw(40) == 0;
                let duration = (5 + self.draw(300) as i64) * MS * if slow { 20 } else { 1 };
                self.pending.push(Pending {
                    attempt,
                    number: attempt_number,
                    sent: self.now,
                    ends: self.now + duration,
                    cancelled: false,
                });
                "get"
            }
            Action::Cancel { request, attempt } => {
                let is_named = |p: &&mut Pending| p.attempt.request == request && p.number == attempt;
                if let Some(pending) = self.pending.iter_mut().find(is_named) {
                    pending.ends = self.now;
                    pending.cancelled = true;
                }
                "cancel"
            }
            Action::Timer { token, after } => {
                self.due_ticks.push((self.now + after, token));
                "timer"
            }
            Action::Reject { reason, .. } => {
                *self.counts.entry(reason.metric_name()).or_default() += 1;
                "refuse"
            }
            Action::Fail(_) => "fail",
            Action::Log(_) => "log",
            Action::WatchEndpoints(_) => "watch",
            _ => "other",
        };
        *self.counts.entry(kind).or_default() += 1;
    }

    fn send_request(&mut self, id: u64, classes: u64) {
        // A class that a reload adds is also requested before it: the router fails such requests.
        let skewed = self.draw(OBJECTS).min(self.draw(OBJECTS)).min(self.draw(OBJECTS));
        let class = ClassId(self.draw(classes + 1) as u16);
        let size_kb = if self.draw(3) == 0 { 0.0 } else { 10.0 + self.draw(400) as f64 };
        let part = (self.draw(8) == 0).into();
        let is_write = self.draw(20) == 0;
        let client_timeout = (200 + self.draw(5000) as i64) * MS;
        let group = GroupId((skewed % 7) as u32);
        let made = Request { class, size_kb, part, is_write, client_timeout, group, ..request(id, skewed) };
        self.event(Event::Request(made));
    }

    /// Ends the attempts that are due, each with a random result.
    fn end_due_attempts(&mut self, scenario: &Scenario) {
        while let Some(place) = self.pending.iter().position(|p| p.ends <= self.now) {
            let Pending { attempt, number, sent, cancelled, .. } = self.pending.remove(place);
            let ended_before_cancel = cancelled && self.draw(4) == 0;
            let (result, status) = match cancelled && !ended_before_cancel {
                true => (AttemptResult::Cancelled, None),
                false => self.draw_outcome(&attempt, scenario),
            };
            let detail = scenario.settings.limits.cache_status_detail;
            let reported = match (detail, status) {
                (CacheStatusDetail::Full, status) => status,
                (
                    CacheStatusDetail::Served,
                    Some(
                        CacheStatus::Hit | CacheStatus::Filled | CacheStatus::Collapsed | CacheStatus::Stale,
                    ),
                ) => status,
                _ => None,
            };
            let elapsed = self.now - sent;
            let fill_wait = if detail == CacheStatusDetail::Full {
                elapsed / (2 + self.draw(4) as i64)
            } else {
                Span::ZERO
            };
            let transfer_time = if self.draw(2) == 0 { elapsed / 3 } else { Span::ZERO };
            self.event(Event::AttemptEnded(AttemptOutcome {
                request: attempt.request,
                attempt: number,
                server: attempt.server,
                result,
                cache_status: reported,
                elapsed,
                fill_wait,
                transfer_time,
                finished: result == AttemptResult::Ok,
                load_report: vec![],
            }));
        }
    }

    fn draw_outcome(
        &mut self,
        attempt: &FillAttempt,
        scenario: &Scenario,
    ) -> (AttemptResult, Option<CacheStatus>) {
        // One cache and one parent fail more often than the others in 10 s of every 40 s.
        let bad_time = (self.now - Instant::ZERO) / (10 * SECOND) % 4 == 1;
        let bad_server =
            [attempt.server, attempt.source].iter().any(|s| [ServerId(2), ServerId(11)].contains(s));
        let failures = if bad_time && bad_server { 600 } else { scenario.failures };
        if attempt.request.0.is_multiple_of(scenario.unservable_every) {
            return (AttemptResult::Error, None);
        }
        if self.draw(1000) < failures {
            return match self.draw(10) {
                0 | 1 => (AttemptResult::Error, None),
                2 => (AttemptResult::Error, Some(CacheStatus::SourceUnreachable)),
                3 => (AttemptResult::Error, Some(CacheStatus::OriginFailed)),
                4 => (AttemptResult::Rejected, Some(CacheStatus::SourceRejected)),
                5 => (AttemptResult::Rejected, Some(CacheStatus::NoFillSlot)),
                6 => (AttemptResult::Timeout, None),
                7 => (AttemptResult::Reset, None),
                8 => (AttemptResult::ConnectFailed, None),
                _ => (AttemptResult::Miss, Some(CacheStatus::SourceMiss)),
            };
        }
        if attempt.only_if_cached && self.draw(2) == 0 {
            return (AttemptResult::Miss, None);
        }
        let status = match self.draw(8) {
            0..=3 => CacheStatus::Hit,
            4 => CacheStatus::Filled,
            5 => CacheStatus::FilledByOrigin,
            6 => CacheStatus::Collapsed,
            _ => CacheStatus::Stale,
        };
        (AttemptResult::Ok, Some(status))
    }

    fn change_list(&mut self) {
        let listed = [(1, CACHE, 0), (2, CACHE, 0), (3, CACHE, 0), (11, PARENT, 1), (12, PARENT, 1)];
        let (id, kind, zone) = listed[self.draw(5) as usize];
        let state = [ServerState::Ready, ServerState::Ready, ServerState::Draining][self.draw(3) as usize];
        let started_at = (self.draw(2) == 0).then_some(self.now);
        let weight = 20.0 + self.draw(100) as f64;
        let entry = Endpoint { started_at, state, weight, ..endpoint(id, kind, zone) };
        match self.draw(4) {
            0 => self.event(Event::EndpointList { update: ListUpdate::Full, endpoints: endpoints() }),
            1 => self.event(Event::EndpointList { update: ListUpdate::Failed, endpoints: vec![] }),
            2 => self.event(Event::EndpointList { update: ListUpdate::Cached, endpoints: endpoints() }),
            _ => self.event(Event::EndpointList { update: ListUpdate::Delta, endpoints: vec![entry] }),
        }
    }

    fn tick(&mut self) {
        while let Some(place) = self.due_ticks.iter().position(|(at, _)| *at <= self.now) {
            let (_, token) = self.due_ticks.remove(place);
            self.event(Event::Timer(token));
        }
    }

    /// Adds the cache counts and the exact capacity of each server to the digest.
    fn record_capacities(&mut self) {
        let CacheCounts { listed, out_of_service } = self.router.cache_counts();
        let mut line = format!("({listed}, {out_of_service})");
        for (server, capacity) in self.router.capacities(self.now) {
            write!(line, " {}:{:016x}", server.0, capacity.to_bits())
                .expect("writing to a string does not fail");
        }
        self.digest.update(line);
    }
}

/// Returns the text of an action for the digest. It is independent of names in the code, so that renaming does not
/// change the digests.
fn recorded(action: &Action) -> String {
    match action {
        Action::SendCacheOnly { request, server, timeout } => {
            format!("Send {{ request: {request:?}, server: {server:?}, timeout: {} }}", timeout.as_micros())
        }
        Action::SendWithFill(attempt) => recorded_fill(attempt),
        Action::Reject { request, retry_after, reason } => {
            let why = recorded_reason(*reason);
            format!("Refuse {{ request: {request:?}, retry_after: {}, why: {why} }}", retry_after.as_micros())
        }
        Action::Fail(request) => format!("Fail({request:?})"),
        Action::Cancel { request, attempt } => {
            format!("Cancel {{ request: {request:?}, attempt: {attempt} }}")
        }
        Action::Timer { token, after } => format!("Timer {{ token: {token}, after: {} }}", after.as_micros()),
        Action::HealthCheck(server) => format!("Probe({server:?})"),
        Action::CloseIdleConnections(server) => format!("CloseIdle({server:?})"),
        Action::SendToPeer { to, bytes } => format!("Tell {{ to: {to:?}, bytes: {bytes:?} }}"),
        Action::Log(line) => format!("Log({line:?})"),
        Action::WatchEndpoints(on) => format!("Watch({on})"),
        Action::PollEndpoints => "Fetch".into(),
    }
}

fn recorded_fill(attempt: &FillAttempt) -> String {
    let FillAttempt { request, server, timeout, source, cache_rank, max_age, .. } = attempt;
    let FillAttempt { join_fill, only_if_cached, bypass_parent_cache, stale_while_revalidate, .. } = attempt;
    let (timeout, max_age) = (timeout.as_micros(), max_age.as_micros());
    format!(
        "Get(Get {{ request: {request:?}, server: {server:?}, timeout: {timeout}, source: {source:?}, \
         rank: {cache_rank}, max_age: {max_age}, join: {join_fill}, only_held: {only_if_cached}, \
         no_parent_copy: {bypass_parent_cache}, renew: {stale_while_revalidate} }})"
    )
}

fn recorded_reason(reason: RejectionReason) -> &'static str {
    match reason {
        RejectionReason::NoServer => "NoServer",
        RejectionReason::Overloaded => "Crowd",
        RejectionReason::SlowStart => "Cold",
        RejectionReason::FetchLimit => "Fetches",
        RejectionReason::RetryBudget => "Retries",
        RejectionReason::AttemptsExhausted => "Attempts",
        RejectionReason::DeadlineExceeded => "Late",
        RejectionReason::ProxyFull => "Full",
    }
}

/// Plays one scenario and returns the counts of its actions and their digest.
fn play(scenario: &Scenario, seed: u64) -> String {
    let classes = scenario.settings.classes.len() as u64;
    let mut stream = Stream::new(scenario.settings.clone(), seed);
    stream.event(Event::EndpointList { update: ListUpdate::Full, endpoints: endpoints() });
    for step in 0..STEPS {
        let pause = 1 + stream.draw(2 * scenario.pause.as_micros() as u64) as i64;
        stream.now += Span::from_micros(pause);
        stream.tick();
        stream.end_due_attempts(scenario);
        stream.send_request(step as u64 + 1, classes);
        match stream.draw(400) {
            0 => stream.change_list(),
            1..=3 => {
                let object = ObjectId(stream.draw(OBJECTS));
                stream.event(Event::Purged { purge: Purge::Object(object), age: 10 * MS });
            }
            4 => {
                let group = GroupId(stream.draw(7) as u32);
                stream.event(Event::Purged { purge: Purge::Group(group), age: Span::ZERO });
            }
            5 => stream.event(Event::RequestCancelled(RequestId(step as u64 + 1))),
            6 => {
                if let Some(attempt) = stream.pending.last().map(|p| p.attempt.clone()) {
                    let (request, server) = (attempt.request, attempt.server);
                    stream.event(Event::FirstByte { request, attempt: 0, server, elapsed: MS });
                }
            }
            _ => {}
        }
        if step == STEPS / 2 {
            stream.router.reconfigure(reconfigured(&scenario.settings));
            stream.router.set_process_share(3, 1);
        }
        if step % 50 == 0 {
            stream.record_capacities();
        }
    }
    let digest: String = stream.digest.finalize().iter().take(8).map(|byte| format!("{byte:02x}")).collect();
    format!("{} {seed} {:?} {digest}", scenario.name, stream.counts)
}

/// Returns the settings after a reload: with one more class, and other limits.
fn reconfigured(settings: &Settings) -> Settings {
    let mut settings = settings.clone();
    let added = Class { latency_objective: 900 * MS, ..settings.classes[0].clone() };
    settings.classes.push(added);
    settings.classes[1].retired = true;
    settings.limits.max_attempts = 5;
    settings
}

/// Returns the usual settings with classes of every kind: with fresh times, uncached, non-idempotent, and with keys of
/// each scope.
fn all_classes() -> Settings {
    let usual = settings();
    let class = usual.classes[0].clone();
    let keyed = Class { idempotency: Idempotency::WithKey, uncached: true, ..class.clone() };
    let classes = vec![
        class.clone(),
        Class {
            fresh_for: 2 * SECOND,
            stale_for: 3 * SECOND,
            latency_objective: 300 * MS,
            objective_stretch: 1.0,
            ..class.clone()
        },
        Class { uncached: true, ..class.clone() },
        Class { idempotency: Idempotency::Never, uncached: true, ..class.clone() },
        Class { dedup_scope: DedupScope::All, ..keyed.clone() },
        Class { dedup_scope: DedupScope::Zone, ..keyed.clone() },
        Class { dedup_scope: DedupScope::Cell, dedup_window: 100 * MS, ..keyed },
    ];
    Settings { classes, ..usual }
}

fn scenarios() -> Vec<Scenario> {
    let usual = all_classes();
    let scenario = |name, settings, failures, pause| Scenario {
        name,
        settings,
        failures,
        unservable_every: u64::MAX,
        pause,
    };
    let mut many = usual.clone();
    many.topology.routers = 20;
    many.topology.ordinal = 4;
    many.topology.routers_by_zone = vec![8, 0, 12];
    let mut no_status = usual.clone();
    no_status.limits.cache_status_detail = CacheStatusDetail::None;
    no_status.topology.weights_state_links = false;
    let mut no_status_parallel = no_status.clone();
    no_status_parallel.limits.parallel_attempts = true;
    let mut served_parallel = usual.clone();
    served_parallel.limits.cache_status_detail = CacheStatusDetail::Served;
    served_parallel.limits.parallel_attempts = true;
    let mut polling = usual.clone();
    polling.limits.polls_discovery = true;
    polling.limits.direct_to_source = true;
    polling.limits.cancellation = false;
    polling.limits.retry_after = false;
    let mut no_siblings = usual.clone();
    no_siblings.limits.sibling_sources = SiblingSources::None;
    no_siblings.limits.join_fills = false;
    vec![
        scenario("notes-all", usual.clone(), 60, 5 * MS),
        scenario("notes-all-busy", usual.clone(), 20, MS),
        scenario("notes-hit-parallel", served_parallel, 80, 4 * MS),
        scenario("notes-none-unweighed", no_status, 60, 3 * MS),
        scenario("notes-none-parallel", no_status_parallel, 150, 3 * MS),
        Scenario { unservable_every: 40, ..scenario("errors-everywhere", usual.clone(), 5, 5 * MS) },
        scenario("many-routers", many, 60, 4 * MS),
        scenario("asked-direct-no-cancel", polling, 100, 5 * MS),
        scenario("no-siblings", no_siblings, 300, 6 * MS),
    ]
}

#[test]
fn every_decision_of_long_seeded_streams_is_as_recorded() {
    let played: Vec<String> = scenarios().iter().map(|scenario| play(scenario, 7)).collect();
    insta::assert_snapshot!(played.join("\n"));
}

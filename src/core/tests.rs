//! The core on passed-in time: one final answer for each request, one legal end for each attempt.

use super::*;
use crate::deadlines::Deadlines;
use crate::interface::{
    Action, AttemptResult, CacheStatusDetail, Class, ClassId, DedupScope, Endpoint, GroupId, Idempotency,
    Instant, ListUpdate, ObjectId, ProtectionRules, Purge, RejectionReason, RequestId, ServerId, ServerState,
    Settings, SiblingSources, SiteLimits, SlowStartRules, Span, Topology, ZoneId,
};
use bytes::Bytes;

const MS: Span = Span::from_millis(1);
const SECOND: Span = Span::from_secs(1);
const MICROSECOND: Span = Span::from_micros(1);
const CACHES: [ServerId; 2] = [ServerId(1), ServerId(2)];
const PARENT: ServerId = ServerId(8);

fn at(span: Span) -> Instant {
    Instant::ZERO + span
}

struct Bench {
    core: Core,
    due: Deadlines<CoreDeadline>,
}

fn class(effect: Idempotency) -> Class {
    let never_kept = effect == Idempotency::Never;
    Class {
        latency_objective: 500 * MS,
        objective_stretch: 2.0,
        client_deadline: 3 * SECOND,
        priority_weight: 1.0,
        idempotency: effect,
        dedup_scope: DedupScope::All,
        dedup_window: SECOND,
        fresh_for: Span::ZERO,
        stale_for: Span::ZERO,
        uncached: never_kept,
        retired: false,
    }
}

fn member(server: ServerId, kind: u16, zone: u16, state: ServerState) -> Endpoint {
    Endpoint { server, started_at: None, weight: 8.0, kind, cell: 0, zone: ZoneId(zone), state }
}

fn settings() -> Settings {
    let topology = Topology {
        routers: 1,
        ordinal: 0,
        zone: ZoneId(0),
        routers_by_zone: vec![1, 0],
        hub_by_zone: vec![ZoneId(1); 2],
        zone_link_kb_per_s: vec![0.0; 2],
        transfer_kb_per_s: 1000.0,
        weights_state_links: true,
        parent_kind: Some(1),
        origin_kind: 2,
    };
    let limits = SiteLimits {
        max_attempts: 6,
        parallel_attempts: true,
        cancellation: true,
        health_checks: true,
        peer_messages: false,
        retry_after: true,
        max_retry_after: 2 * SECOND,
        direct_to_source: false,
        join_fills: false,
        sibling_sources: SiblingSources::SameLocation,
        cache_status_detail: CacheStatusDetail::Full,
        polls_discovery: false,
    };
    let protection = ProtectionRules {
        cache_slow_start: SlowStartRules {
            initial_share: 0.2,
            full_after: 10 * SECOND,
            overload_multiple: 4.0,
        },
        parent_slow_start: SlowStartRules {
            initial_share: 0.1,
            full_after: 10 * SECOND,
            overload_multiple: 2.0,
        },
        overload_window: SECOND,
        purge_grace: 500 * MS,
        purge_settled_after: 6 * SECOND,
        max_list_age: Span::ZERO,
    };
    let classes = vec![class(Idempotency::Always), class(Idempotency::Never), class(Idempotency::WithKey)];
    Settings { topology, classes, limits, protection }
}

impl Bench {
    fn new() -> Self {
        let settings = settings();
        let mut bench = Bench {
            core: Core::new(settings, 1, Instant::ZERO).expect("settings"),
            due: Deadlines::default(),
        };
        let mut list = vec![member(PARENT, 1, 1, ServerState::Ready)];
        list.extend(CACHES.map(|cache| member(cache, 0, 0, ServerState::Ready)));
        bench.core.update_endpoints(Instant::ZERO, ListUpdate::Full, list, &mut bench.due);
        bench
    }

    fn ask(&mut self, now: Instant, class: u16, expires: Option<Instant>) -> RequestKey {
        let ask = ClientRequest {
            class: ClassId(class),
            object: ObjectId(7),
            part: 0,
            group: GroupId(3),
            timeout: 3 * SECOND,
            authorized_until: expires,
        };
        self.core.submit(now, ask, &mut self.due)
    }

    /// Lets the deadlines up to a time fall.
    fn pass(&mut self, until: Instant) {
        while let Some(at) = self.due.next().filter(|at| *at <= until) {
            while let Some(what) = self.due.pop(at) {
                self.core.deadline_passed(at, what, &mut self.due);
            }
        }
    }

    /// The commands, in short words, and the attempts that are to be sent.
    fn commands(&mut self) -> (Vec<&'static str>, Vec<AttemptKey>) {
        let (mut words, mut attempts) = (Vec::new(), Vec::new());
        while let Some(command) = self.core.next_command() {
            words.push(match command {
                Command::SendAttempt { attempt, .. } => {
                    attempts.push(attempt);
                    "send"
                }
                Command::AbandonAttempt(_) => "drop",
                Command::AnswerRequest(_) => "answer",
                Command::Log(_) => continue,
                _ => "other",
            });
        }
        (words, attempts)
    }

    /// Submits a request and gives its one attempt, launched.
    fn launched(&mut self, class: u16, expires: Option<Instant>) -> (RequestKey, AttemptKey) {
        let request = self.ask(Instant::ZERO, class, expires);
        let (words, attempts) = self.commands();
        assert_eq!(words, ["send"]);
        assert!(self.core.write_attempt(Instant::ZERO, attempts[0], &mut self.due).is_some());
        (request, attempts[0])
    }

    fn end(&mut self, now: Instant, attempt: AttemptKey, result: AttemptResult) {
        let copy = CachedCopy { body: Bytes::from_static(b"bytes"), ..CachedCopy::default() };
        self.core.attempt_ended(
            now,
            attempt,
            AttemptEnd { copy, ..AttemptEnd::without_details(result) },
            &mut self.due,
        );
    }

    /// Begins a second attempt beside the first.
    fn hedge(&mut self, now: Instant, request: RequestKey) {
        let request = RequestId(request.number());
        let hedge = Action::SendCacheOnly { request, server: CACHES[1], timeout: Span::ZERO };
        self.core.carry_out(now, hedge, &mut self.due);
        self.core.run_router(now, &mut self.due);
    }

    fn take(&mut self, now: Instant, request: RequestKey) -> Option<FinalAnswer> {
        let answer = self.core.answer_now(now, request);
        self.core.answer_begun(now, request, &mut self.due);
        answer
    }
}

#[test]
fn the_first_copy_is_the_answer_and_it_is_given_once() {
    let mut bench = Bench::new();
    let (request, attempt) = bench.launched(0, None);
    bench.end(at(90 * MS), attempt, AttemptResult::Ok);
    bench.end(at(91 * MS), attempt, AttemptResult::Ok);
    assert_eq!(bench.commands().0, ["answer"]);
    assert!(
        matches!(bench.take(at(92 * MS), request), Some(FinalAnswer::Served(copy)) if &copy.body[..] == b"bytes")
    );
    assert_eq!(bench.take(at(93 * MS), request), None);
    bench.pass(at(10 * SECOND));
    assert_eq!(bench.commands().0, Vec::<&str>::new(), "its deadlines are gone with it");
}

#[test]
fn what_the_module_gives_up_on_is_answered_at_once() {
    let mut bench = Bench::new();
    let removed = CACHES.map(|cache| member(cache, 0, 0, ServerState::Removed)).to_vec();
    bench.core.update_endpoints(Instant::ZERO, ListUpdate::Delta, removed, &mut bench.due);
    let request = bench.ask(Instant::ZERO, 0, None);
    assert_eq!(bench.commands().0, ["answer"]);
    assert_eq!(
        bench.take(Instant::ZERO, request),
        Some(FinalAnswer::Rejected {
            retry_after: 250 * MS,
            timed_out: false,
            reason: RejectionReason::NoServer
        })
    );
}

#[test]
fn when_patience_ends_each_request_has_its_answer() {
    // A write that never left surely did not run and is refused; one that may have run has failed.
    for (class, leaves, wanted) in [
        (
            0,
            true,
            FinalAnswer::Rejected {
                retry_after: 250 * MS,
                timed_out: true,
                reason: RejectionReason::DeadlineExceeded,
            },
        ),
        (1, true, FinalAnswer::Failed { timed_out: true }),
        (
            1,
            false,
            FinalAnswer::Rejected {
                retry_after: 250 * MS,
                timed_out: true,
                reason: RejectionReason::DeadlineExceeded,
            },
        ),
    ] {
        let mut bench = Bench::new();
        let request = bench.ask(Instant::ZERO, class, None);
        let (_, attempts) = bench.commands();
        if leaves {
            bench.core.write_attempt(Instant::ZERO, attempts[0], &mut bench.due);
        }
        bench.pass(at(3 * SECOND));
        let (words, _) = bench.commands();
        assert_eq!(words.iter().filter(|word| **word == "answer").count(), 1, "{words:?}");
        assert_eq!(bench.take(at(3 * SECOND), request), Some(wanted), "class {class}, leaves {leaves}");
        bench.end(at(3 * SECOND + MICROSECOND), attempts[0], AttemptResult::Ok);
        assert_eq!(bench.commands().0, Vec::<&str>::new(), "a late copy is no second answer");
    }
}

#[test]
fn a_write_that_may_have_run_never_goes_out_again() {
    for (result, again) in [
        (AttemptResult::Reset, false),
        (AttemptResult::Error, false),
        (AttemptResult::ConnectFailed, true),
        (AttemptResult::Rejected, true),
        (AttemptResult::Miss, true),
    ] {
        let mut bench = Bench::new();
        let (request, attempt) = bench.launched(1, None);
        bench.end(at(9 * MS), attempt, result);
        let (words, _) = bench.commands();
        assert_eq!(words, [if again { "send" } else { "answer" }], "{result:?}");
        if !again {
            assert_eq!(bench.take(at(9 * MS), request), Some(FinalAnswer::Failed { timed_out: false }));
        }
    }
}

#[test]
fn a_client_that_left_is_owed_nothing_whatever_comes_late() {
    let mut bench = Bench::new();
    let (request, attempt) = bench.launched(0, None);
    bench.core.cancel(at(5 * MS), request, &mut bench.due);
    assert_eq!(bench.commands().0, ["drop"]);
    let (next, _) = bench.launched(0, None);
    bench.end(at(6 * MS), attempt, AttemptResult::Ok);
    bench.core.cancel(at(6 * MS), request, &mut bench.due);
    assert_eq!(bench.commands().0, Vec::<&str>::new(), "the slots' next use is not hit");
    assert!(!bench.core.is_answered(next));
}

#[test]
fn a_client_that_leaves_once_the_copy_is_chosen_takes_it_away() {
    let mut bench = Bench::new();
    let (request, attempt) = bench.launched(0, None);
    bench.end(at(5 * MS), attempt, AttemptResult::Ok);
    bench.core.cancel(at(6 * MS), request, &mut bench.due);
    assert_eq!(bench.take(at(6 * MS), request), None);
}

#[test]
fn a_right_that_ends_mid_fill_is_denied_at_once_and_the_fill_called_off() {
    let mut bench = Bench::new();
    let (request, attempt) = bench.launched(0, Some(at(40 * MS)));
    bench.pass(at(40 * MS));
    assert_eq!(bench.commands().0, ["answer", "drop"]);
    bench.end(at(41 * MS), attempt, AttemptResult::Ok);
    assert_eq!(bench.commands().0, Vec::<&str>::new());
    assert_eq!(bench.take(at(41 * MS), request), Some(FinalAnswer::Denied));
}

#[test]
fn a_right_that_ends_with_a_copy_chosen_gives_no_byte_of_it() {
    for falls in [true, false] {
        let mut bench = Bench::new();
        let (request, attempt) = bench.launched(0, Some(at(40 * MS)));
        bench.end(at(39 * MS), attempt, AttemptResult::Ok);
        assert_eq!(bench.core.held_bytes(), 5);
        if falls {
            bench.pass(at(40 * MS));
        } // else the answer is asked for before the deadline is looked at
        assert_eq!(bench.take(at(40 * MS), request), Some(FinalAnswer::Denied));
        assert_eq!(bench.core.held_bytes(), 0, "its bytes are let go");
    }
}

#[test]
fn what_was_queued_does_not_go_out_against_a_drain() {
    for drained in [PARENT, CACHES[0], CACHES[1]] {
        let mut bench = Bench::new();
        bench.ask(Instant::ZERO, 0, None);
        let (_, attempts) = bench.commands();
        let zone = if drained == PARENT { (1, 1) } else { (0, 0) };
        let entry = member(drained, zone.0, zone.1, ServerState::Draining);
        bench.core.update_endpoints(at(MS), ListUpdate::Delta, vec![entry], &mut bench.due);
        let order = bench.core.write_attempt(at(2 * MS), attempts[0], &mut bench.due);
        let (words, next) = bench.commands();
        match order {
            Some(order) => assert_ne!(order.fill_source, Some(drained)),
            None => {
                assert_eq!(words, ["send"], "it is placed anew");
                assert!(bench.core.write_attempt(at(2 * MS), next[0], &mut bench.due).is_some());
            }
        }
    }
}

#[test]
fn what_was_queued_asks_for_a_copy_newer_than_a_purge_that_came_since() {
    for (what, limit) in [
        (Purge::Object(ObjectId(7)), 6 * MS),
        (Purge::Group(GroupId(3)), 6 * MS),
        (Purge::Object(ObjectId(8)), Span::ZERO),
    ] {
        let mut bench = Bench::new();
        bench.ask(Instant::ZERO, 0, None);
        let (_, attempts) = bench.commands();
        bench.core.purge(at(2 * MS), what, at(-MS), &mut bench.due);
        let order = bench.core.write_attempt(at(5 * MS), attempts[0], &mut bench.due).expect("an order");
        assert_eq!(order.max_age, limit, "{what:?}");
    }
}

/// A process that is about to be ended by force would leave what is open without an answer.
#[test]
fn when_its_time_is_ended_every_open_request_has_its_answer() {
    let mut bench = Bench::new();
    let (read, _) = bench.launched(0, None);
    let write = bench.ask(Instant::ZERO, 1, None);
    bench.core.time_out_all(at(100 * MS), &mut bench.due);
    let (words, _) = bench.commands();
    assert_eq!(words.iter().filter(|word| **word == "answer").count(), 2, "{words:?}");
    for request in [read, write] {
        assert!(matches!(
            bench.take(at(100 * MS), request),
            Some(FinalAnswer::Failed { .. } | FinalAnswer::Rejected { .. })
        ));
    }
    assert_eq!(bench.core.unanswered(), 0);
}

/// A repeat that was decided on in time may wait for a connection past the window that its class allows.
#[test]
fn a_keyed_repeat_is_written_within_its_window_only() {
    for (dialled, written) in [(SECOND - MICROSECOND, true), (SECOND, false)] {
        let mut bench = Bench::new();
        let (request, first) = bench.launched(2, None);
        bench.end(at(100 * MS), first, AttemptResult::Reset);
        let (words, repeats) = bench.commands();
        assert_eq!(words, ["send"], "it is repeated");
        let order = bench.core.write_attempt(at(dialled), repeats[0], &mut bench.due);
        assert_eq!(order.is_some(), written, "its connection comes up after {} us", dialled.as_micros());
        if !written {
            assert_eq!(bench.commands().0, ["answer"]);
            assert!(
                matches!(bench.take(at(dialled), request), Some(FinalAnswer::Rejected { .. })),
                "all share what they know"
            );
        }
    }
}

/// The window counts from the send of what may have run: a refusal proves that nothing did.
#[test]
fn what_never_ran_opens_no_window() {
    let mut bench = Bench::new();
    let (_, first) = bench.launched(2, None);
    bench.end(at(100 * MS), first, AttemptResult::Rejected);
    let (_, repeats) = bench.commands();
    assert!(bench.core.write_attempt(at(2 * SECOND), repeats[0], &mut bench.due).is_some());
}

/// A write whose connection does not come up is tried elsewhere once it is called off: it never ran.
#[test]
fn a_write_called_off_before_it_left_may_go_elsewhere() {
    for leaves in [false, true] {
        let mut bench = Bench::new();
        let request = bench.ask(Instant::ZERO, 1, None);
        let (_, attempts) = bench.commands();
        if leaves {
            bench.core.write_attempt(Instant::ZERO, attempts[0], &mut bench.due);
        }
        let cancel = Action::Cancel { request: RequestId(request.number()), attempt: 0 };
        bench.core.carry_out(at(200 * MS), cancel, &mut bench.due);
        bench.core.run_router(at(200 * MS), &mut bench.due);
        let (words, _) = bench.commands();
        assert_eq!(words, ["drop", if leaves { "answer" } else { "send" }], "leaves {leaves}");
    }
}

/// A retry or a hedge that waits for a connection when its client leaves must not begin any more.
#[test]
fn nothing_that_waits_for_a_client_that_left_is_written() {
    for hedged in [false, true] {
        let mut bench = Bench::new();
        let (request, first) = bench.launched(0, None);
        if hedged {
            bench.hedge(at(9 * MS), request);
        } else {
            bench.end(at(9 * MS), first, AttemptResult::Error);
        }
        let (_, next) = bench.commands();
        assert_eq!(next.len(), 1, "hedged {hedged}");
        bench.core.cancel(at(10 * MS), request, &mut bench.due);
        assert!(bench.core.write_attempt(at(11 * MS), next[0], &mut bench.due).is_none());
        bench.pass(at(10 * SECOND));
        assert!(!bench.commands().0.contains(&"send"), "nor is anything tried for it later");
    }
}

/// What a server is told of the time left counts at the writing, however long the attempt waited for it.
#[test]
fn the_limit_of_an_attempt_is_what_is_left_as_it_is_written() {
    for retried in [false, true] {
        let mut bench = Bench::new();
        bench.ask(Instant::ZERO, 0, None);
        let (_, mut attempts) = bench.commands();
        if retried {
            bench.core.write_attempt(Instant::ZERO, attempts[0], &mut bench.due);
            bench.end(at(9 * MS), attempts[0], AttemptResult::Error);
            attempts = bench.commands().1;
        }
        let deadline = bench.core.attempts.get(attempts[0]).expect("it waits").deadline;
        let order =
            bench.core.write_attempt(deadline - 7 * MS, attempts[0], &mut bench.due).expect("an order");
        assert_eq!(order.timeout, 7 * MS, "retried {retried}");
        assert!(deadline <= at(3 * SECOND));
    }
}

/// The first attempt may end while the next one is still being dialled.
#[test]
fn an_outcome_that_comes_while_the_next_attempt_is_dialled_counts() {
    let mut bench = Bench::new();
    let (request, first) = bench.launched(0, None);
    bench.hedge(at(9 * MS), request);
    let (_, next) = bench.commands();
    bench.end(at(10 * MS), first, AttemptResult::Ok);
    assert!(bench.commands().0.contains(&"answer"), "at once");
    assert!(
        bench.core.write_attempt(at(11 * MS), next[0], &mut bench.due).is_none(),
        "nothing more is written"
    );
    assert!(matches!(bench.take(at(12 * MS), request), Some(FinalAnswer::Served(_))));

    let mut bench = Bench::new();
    let (request, first) = bench.launched(0, None);
    bench.hedge(at(9 * MS), request);
    let (_, next) = bench.commands();
    bench.end(at(10 * MS), first, AttemptResult::Error);
    assert!(!bench.core.is_answered(request));
    assert!(
        bench.core.write_attempt(at(11 * MS), next[0], &mut bench.due).is_some(),
        "the other one goes on"
    );
    bench.end(at(20 * MS), next[0], AttemptResult::Ok);
    assert!(matches!(bench.take(at(21 * MS), request), Some(FinalAnswer::Served(_))));
}

/// A connection may take no byte of what is worded for it: a write has not run then, and may be worded anew.
#[test]
fn what_was_launched_and_did_not_leave_has_not_run() {
    for written in [false, true] {
        let mut bench = Bench::new();
        let (request, attempt) = bench.launched(1, None);
        bench.core.attempt_not_written(attempt);
        if written {
            let order = bench.core.write_attempt(at(500 * MS), attempt, &mut bench.due);
            assert_eq!(order.map(|order| order.timeout), Some(2500 * MS));
        }
        bench.pass(at(3 * SECOND));
        let answer = bench.take(at(3 * SECOND), request);
        match written {
            true => assert_eq!(answer, Some(FinalAnswer::Failed { timed_out: true })),
            false => {
                assert!(matches!(answer, Some(FinalAnswer::Rejected { timed_out: true, .. })), "{answer:?}")
            }
        }
    }
}

/// The module's silence is no reason to leave a request without its answer, whatever else goes on.
#[test]
fn requests_beside_a_flood_of_others_that_leave_keep_their_answers() {
    let mut bench = Bench::new();
    let (request, attempt) = bench.launched(0, None);
    for n in 0..200 {
        let now = Instant::from_micros(n);
        let other = bench.ask(now, 0, None);
        bench.core.cancel(now, other, &mut bench.due);
    }
    let gone = CACHES.map(|cache| member(cache, 0, 0, ServerState::Removed)).to_vec();
    bench.core.update_endpoints(at(MS), ListUpdate::Delta, gone, &mut bench.due);
    bench.end(at(2 * MS), attempt, AttemptResult::Reset);
    assert!(bench.commands().0.contains(&"answer"), "at once, as nothing is left to be asked");
    assert!(matches!(
        bench.take(at(2 * MS), request),
        Some(FinalAnswer::Rejected { .. } | FinalAnswer::Failed { .. })
    ));
}

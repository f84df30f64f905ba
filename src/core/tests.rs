//! Tests of the core on passed-in time: each request gets one final answer, and each attempt one valid end.

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

/// A core with one parent and two caches, and its deadlines.
struct Harness {
    core: Core,
    deadlines: Deadlines<CoreDeadline>,
}

fn class(idempotency: Idempotency) -> Class {
    let is_write = idempotency == Idempotency::Never;
    Class {
        latency_objective: 500 * MS,
        objective_stretch: 2.0,
        client_deadline: 3 * SECOND,
        priority_weight: 1.0,
        idempotency,
        dedup_scope: DedupScope::All,
        dedup_window: SECOND,
        fresh_for: Span::ZERO,
        stale_for: Span::ZERO,
        uncached: is_write,
        retired: false,
    }
}

fn endpoint(server: ServerId, kind: u16, zone: u16, state: ServerState) -> Endpoint {
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

impl Harness {
    fn new() -> Self {
        let settings = settings();
        let mut harness = Harness {
            core: Core::new(settings, 1, Instant::ZERO).expect("the settings are valid"),
            deadlines: Deadlines::default(),
        };
        let mut list = vec![endpoint(PARENT, 1, 1, ServerState::Ready)];
        list.extend(CACHES.map(|cache| endpoint(cache, 0, 0, ServerState::Ready)));
        harness.core.update_endpoints(Instant::ZERO, ListUpdate::Full, list, &mut harness.deadlines);
        harness
    }

    fn submit(&mut self, now: Instant, class: u16, expires: Option<Instant>) -> RequestKey {
        let client_request = ClientRequest {
            class: ClassId(class),
            object: ObjectId(7),
            part: 0,
            group: GroupId(3),
            timeout: 3 * SECOND,
            authorized_until: expires,
        };
        self.core.submit(now, client_request, &mut self.deadlines)
    }

    /// Handles all deadlines up to a time, in their order.
    fn run_deadlines_until(&mut self, until: Instant) {
        while let Some(at) = self.deadlines.next().filter(|at| *at <= until) {
            while let Some(deadline) = self.deadlines.pop(at) {
                self.core.deadline_passed(at, deadline, &mut self.deadlines);
            }
        }
    }

    /// Takes all commands; returns a short word for each, and the attempts that are to be sent.
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

    /// Submits a request and writes its only attempt.
    fn submit_and_write(&mut self, class: u16, expires: Option<Instant>) -> (RequestKey, AttemptKey) {
        let request = self.submit(Instant::ZERO, class, expires);
        let (words, attempts) = self.commands();
        assert_eq!(words, ["send"]);
        assert!(self.core.write_attempt(Instant::ZERO, attempts[0], &mut self.deadlines).is_some());
        (request, attempts[0])
    }

    fn end_attempt(&mut self, now: Instant, attempt: AttemptKey, result: AttemptResult) {
        let copy = CachedCopy { body: Bytes::from_static(b"bytes"), ..CachedCopy::default() };
        self.core.attempt_ended(
            now,
            attempt,
            AttemptEnd { copy, ..AttemptEnd::without_details(result) },
            &mut self.deadlines,
        );
    }

    /// Begins a hedged request: a second attempt while the first is in flight.
    fn start_hedge(&mut self, now: Instant, request: RequestKey) {
        let request = RequestId(request.number());
        let hedge = Action::SendCacheOnly { request, server: CACHES[1], timeout: Span::ZERO };
        self.core.carry_out(now, hedge, &mut self.deadlines);
        self.core.run_router(now, &mut self.deadlines);
    }

    fn take_answer(&mut self, now: Instant, request: RequestKey) -> Option<FinalAnswer> {
        let answer = self.core.current_answer(now, request);
        self.core.answer_begun(now, request, &mut self.deadlines);
        answer
    }
}

#[test]
fn first_copy_answers_the_request_exactly_once() {
    let mut harness = Harness::new();
    let (request, attempt) = harness.submit_and_write(0, None);
    harness.end_attempt(at(90 * MS), attempt, AttemptResult::Ok);
    harness.end_attempt(at(91 * MS), attempt, AttemptResult::Ok);
    assert_eq!(harness.commands().0, ["answer"]);
    assert!(
        matches!(harness.take_answer(at(92 * MS), request), Some(FinalAnswer::Served(copy)) if &copy.body[..] == b"bytes")
    );
    assert_eq!(harness.take_answer(at(93 * MS), request), None);
    harness.run_deadlines_until(at(10 * SECOND));
    assert_eq!(harness.commands().0, Vec::<&str>::new(), "the deadlines of the answered request are removed");
}

#[test]
fn request_without_a_ready_server_is_rejected_at_once() {
    let mut harness = Harness::new();
    let removed = CACHES.map(|cache| endpoint(cache, 0, 0, ServerState::Removed)).to_vec();
    harness.core.update_endpoints(Instant::ZERO, ListUpdate::Delta, removed, &mut harness.deadlines);
    let request = harness.submit(Instant::ZERO, 0, None);
    assert_eq!(harness.commands().0, ["answer"]);
    assert_eq!(
        harness.take_answer(Instant::ZERO, request),
        Some(FinalAnswer::Rejected {
            retry_after: 250 * MS,
            timed_out: false,
            reason: RejectionReason::NoServer
        })
    );
}

#[test]
fn client_timeout_answers_every_request_once() {
    // A write that was not sent has not run and is rejected; one that may have run has failed.
    for (class, is_written, expected) in [
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
        let mut harness = Harness::new();
        let request = harness.submit(Instant::ZERO, class, None);
        let (_, attempts) = harness.commands();
        if is_written {
            harness.core.write_attempt(Instant::ZERO, attempts[0], &mut harness.deadlines);
        }
        harness.run_deadlines_until(at(3 * SECOND));
        let (words, _) = harness.commands();
        assert_eq!(words.iter().filter(|word| **word == "answer").count(), 1, "{words:?}");
        assert_eq!(
            harness.take_answer(at(3 * SECOND), request),
            Some(expected),
            "class {class}, is_written {is_written}"
        );
        harness.end_attempt(at(3 * SECOND + MICROSECOND), attempts[0], AttemptResult::Ok);
        assert_eq!(harness.commands().0, Vec::<&str>::new(), "a late copy gives no second answer");
    }
}

#[test]
fn write_that_may_have_run_is_not_repeated() {
    for (result, again) in [
        (AttemptResult::Reset, false),
        (AttemptResult::Error, false),
        (AttemptResult::ConnectFailed, true),
        (AttemptResult::Rejected, true),
        (AttemptResult::Miss, true),
    ] {
        let mut harness = Harness::new();
        let (request, attempt) = harness.submit_and_write(1, None);
        harness.end_attempt(at(9 * MS), attempt, result);
        let (words, _) = harness.commands();
        assert_eq!(words, [if again { "send" } else { "answer" }], "{result:?}");
        if !again {
            assert_eq!(
                harness.take_answer(at(9 * MS), request),
                Some(FinalAnswer::Failed { timed_out: false })
            );
        }
    }
}

#[test]
fn late_events_of_a_cancelled_request_are_ignored() {
    let mut harness = Harness::new();
    let (request, attempt) = harness.submit_and_write(0, None);
    harness.core.cancel(at(5 * MS), request, &mut harness.deadlines);
    assert_eq!(harness.commands().0, ["drop"]);
    let (next, _) = harness.submit_and_write(0, None);
    harness.end_attempt(at(6 * MS), attempt, AttemptResult::Ok);
    harness.core.cancel(at(6 * MS), request, &mut harness.deadlines);
    assert_eq!(
        harness.commands().0,
        Vec::<&str>::new(),
        "the request that now uses the slots is not affected"
    );
    assert!(!harness.core.is_answered(next));
}

#[test]
fn cancelling_an_answered_request_discards_its_answer() {
    let mut harness = Harness::new();
    let (request, attempt) = harness.submit_and_write(0, None);
    harness.end_attempt(at(5 * MS), attempt, AttemptResult::Ok);
    harness.core.cancel(at(6 * MS), request, &mut harness.deadlines);
    assert_eq!(harness.take_answer(at(6 * MS), request), None);
}

#[test]
fn credential_expiry_denies_and_abandons_the_attempt() {
    let mut harness = Harness::new();
    let (request, attempt) = harness.submit_and_write(0, Some(at(40 * MS)));
    harness.run_deadlines_until(at(40 * MS));
    assert_eq!(harness.commands().0, ["answer", "drop"]);
    harness.end_attempt(at(41 * MS), attempt, AttemptResult::Ok);
    assert_eq!(harness.commands().0, Vec::<&str>::new());
    assert_eq!(harness.take_answer(at(41 * MS), request), Some(FinalAnswer::Denied));
}

#[test]
fn credential_expiry_replaces_a_chosen_answer() {
    for is_expiry_processed in [true, false] {
        let mut harness = Harness::new();
        let (request, attempt) = harness.submit_and_write(0, Some(at(40 * MS)));
        harness.end_attempt(at(39 * MS), attempt, AttemptResult::Ok);
        assert_eq!(harness.core.held_bytes(), 5);
        if is_expiry_processed {
            harness.run_deadlines_until(at(40 * MS));
        } // otherwise the answer is requested before the deadline has been processed
        assert_eq!(harness.take_answer(at(40 * MS), request), Some(FinalAnswer::Denied));
        assert_eq!(harness.core.held_bytes(), 0, "the bytes of the copy are released");
    }
}

#[test]
fn queued_attempt_is_not_written_to_a_draining_server() {
    for drained in [PARENT, CACHES[0], CACHES[1]] {
        let mut harness = Harness::new();
        harness.submit(Instant::ZERO, 0, None);
        let (_, attempts) = harness.commands();
        let zone = if drained == PARENT { (1, 1) } else { (0, 0) };
        let entry = endpoint(drained, zone.0, zone.1, ServerState::Draining);
        harness.core.update_endpoints(at(MS), ListUpdate::Delta, vec![entry], &mut harness.deadlines);
        let outgoing = harness.core.write_attempt(at(2 * MS), attempts[0], &mut harness.deadlines);
        let (words, next) = harness.commands();
        match outgoing {
            Some(outgoing) => assert_ne!(outgoing.fill_source, Some(drained)),
            None => {
                assert_eq!(words, ["send"], "the request is sent to another server");
                assert!(harness.core.write_attempt(at(2 * MS), next[0], &mut harness.deadlines).is_some());
            }
        }
    }
}

#[test]
fn queued_attempt_asks_for_a_copy_newer_than_a_purge() {
    for (what, limit) in [
        (Purge::Object(ObjectId(7)), 6 * MS),
        (Purge::Group(GroupId(3)), 6 * MS),
        (Purge::Object(ObjectId(8)), Span::ZERO),
    ] {
        let mut harness = Harness::new();
        harness.submit(Instant::ZERO, 0, None);
        let (_, attempts) = harness.commands();
        harness.core.purge(at(2 * MS), what, at(-MS), &mut harness.deadlines);
        let outgoing = harness
            .core
            .write_attempt(at(5 * MS), attempts[0], &mut harness.deadlines)
            .expect("the attempt may be written");
        assert_eq!(outgoing.max_age, limit, "{what:?}");
    }
}

/// Guards against open requests that get no answer because the process is about to be killed.
#[test]
fn time_out_all_answers_every_open_request() {
    let mut harness = Harness::new();
    let (read, _) = harness.submit_and_write(0, None);
    let write = harness.submit(Instant::ZERO, 1, None);
    harness.core.time_out_all(at(100 * MS), &mut harness.deadlines);
    let (words, _) = harness.commands();
    assert_eq!(words.iter().filter(|word| **word == "answer").count(), 2, "{words:?}");
    for request in [read, write] {
        assert!(matches!(
            harness.take_answer(at(100 * MS), request),
            Some(FinalAnswer::Failed { .. } | FinalAnswer::Rejected { .. })
        ));
    }
    assert_eq!(harness.core.unanswered(), 0);
}

/// Guards against a repeat that was decided on in time, but is written after the dedup window of its class because it
/// waited for a connection.
#[test]
fn keyed_repeat_is_written_only_within_the_dedup_window() {
    for (connected_after, written) in [(SECOND - MICROSECOND, true), (SECOND, false)] {
        let mut harness = Harness::new();
        let (request, first) = harness.submit_and_write(2, None);
        harness.end_attempt(at(100 * MS), first, AttemptResult::Reset);
        let (words, repeats) = harness.commands();
        assert_eq!(words, ["send"], "the request is repeated");
        let outgoing = harness.core.write_attempt(at(connected_after), repeats[0], &mut harness.deadlines);
        assert_eq!(
            outgoing.is_some(),
            written,
            "connection established after {} us",
            connected_after.as_micros()
        );
        if !written {
            assert_eq!(harness.commands().0, ["answer"]);
            assert!(
                matches!(
                    harness.take_answer(at(connected_after), request),
                    Some(FinalAnswer::Rejected { .. })
                ),
                "the servers share their idempotency keys, so a retry does no harm"
            );
        }
    }
}

/// The dedup window counts from the sending of the first attempt that may have run; a rejected attempt has not run.
#[test]
fn attempt_that_never_ran_starts_no_dedup_window() {
    let mut harness = Harness::new();
    let (_, first) = harness.submit_and_write(2, None);
    harness.end_attempt(at(100 * MS), first, AttemptResult::Rejected);
    let (_, repeats) = harness.commands();
    assert!(harness.core.write_attempt(at(2 * SECOND), repeats[0], &mut harness.deadlines).is_some());
}

/// A write that is cancelled while it waits for a connection has never run, so it may be sent to another server.
#[test]
fn cancelled_unwritten_write_is_sent_elsewhere() {
    for is_written in [false, true] {
        let mut harness = Harness::new();
        let request = harness.submit(Instant::ZERO, 1, None);
        let (_, attempts) = harness.commands();
        if is_written {
            harness.core.write_attempt(Instant::ZERO, attempts[0], &mut harness.deadlines);
        }
        let cancel = Action::Cancel { request: RequestId(request.number()), attempt: 0 };
        harness.core.carry_out(at(200 * MS), cancel, &mut harness.deadlines);
        harness.core.run_router(at(200 * MS), &mut harness.deadlines);
        let (words, _) = harness.commands();
        assert_eq!(words, ["drop", if is_written { "answer" } else { "send" }], "is_written {is_written}");
    }
}

/// A retry or a hedged request that waits for a connection when its client leaves must not be written any more.
#[test]
fn queued_attempts_of_a_cancelled_request_are_not_written() {
    for hedged in [false, true] {
        let mut harness = Harness::new();
        let (request, first) = harness.submit_and_write(0, None);
        if hedged {
            harness.start_hedge(at(9 * MS), request);
        } else {
            harness.end_attempt(at(9 * MS), first, AttemptResult::Error);
        }
        let (_, next) = harness.commands();
        assert_eq!(next.len(), 1, "hedged {hedged}");
        harness.core.cancel(at(10 * MS), request, &mut harness.deadlines);
        assert!(harness.core.write_attempt(at(11 * MS), next[0], &mut harness.deadlines).is_none());
        harness.run_deadlines_until(at(10 * SECOND));
        assert!(!harness.commands().0.contains(&"send"), "no later attempt is made for the request");
    }
}

/// The timeout that a server is given is the time left when the attempt is written, however long it was queued.
#[test]
fn attempt_timeout_is_the_time_left_when_written() {
    for retried in [false, true] {
        let mut harness = Harness::new();
        harness.submit(Instant::ZERO, 0, None);
        let (_, mut attempts) = harness.commands();
        if retried {
            harness.core.write_attempt(Instant::ZERO, attempts[0], &mut harness.deadlines);
            harness.end_attempt(at(9 * MS), attempts[0], AttemptResult::Error);
            attempts = harness.commands().1;
        }
        let deadline = harness.core.attempts.get(attempts[0]).expect("the attempt is queued").deadline;
        let outgoing = harness
            .core
            .write_attempt(deadline - 7 * MS, attempts[0], &mut harness.deadlines)
            .expect("the attempt may be written");
        assert_eq!(outgoing.timeout, 7 * MS, "retried {retried}");
        assert!(deadline <= at(3 * SECOND));
    }
}

/// The first attempt may end while the next one still waits for its connection.
#[test]
fn outcome_counts_while_the_next_attempt_is_queued() {
    let mut harness = Harness::new();
    let (request, first) = harness.submit_and_write(0, None);
    harness.start_hedge(at(9 * MS), request);
    let (_, next) = harness.commands();
    harness.end_attempt(at(10 * MS), first, AttemptResult::Ok);
    assert!(harness.commands().0.contains(&"answer"), "answered at once");
    assert!(
        harness.core.write_attempt(at(11 * MS), next[0], &mut harness.deadlines).is_none(),
        "the second attempt is not written"
    );
    assert!(matches!(harness.take_answer(at(12 * MS), request), Some(FinalAnswer::Served(_))));

    let mut harness = Harness::new();
    let (request, first) = harness.submit_and_write(0, None);
    harness.start_hedge(at(9 * MS), request);
    let (_, next) = harness.commands();
    harness.end_attempt(at(10 * MS), first, AttemptResult::Error);
    assert!(!harness.core.is_answered(request));
    assert!(
        harness.core.write_attempt(at(11 * MS), next[0], &mut harness.deadlines).is_some(),
        "the second attempt is still written"
    );
    harness.end_attempt(at(20 * MS), next[0], AttemptResult::Ok);
    assert!(matches!(harness.take_answer(at(21 * MS), request), Some(FinalAnswer::Served(_))));
}

/// A connection may accept no byte of an attempt that was encoded for it. A write has not run then, and may be written
/// again.
#[test]
fn attempt_not_written_counts_as_not_run() {
    for written in [false, true] {
        let mut harness = Harness::new();
        let (request, attempt) = harness.submit_and_write(1, None);
        harness.core.attempt_not_written(attempt);
        if written {
            let outgoing = harness.core.write_attempt(at(500 * MS), attempt, &mut harness.deadlines);
            assert_eq!(outgoing.map(|outgoing| outgoing.timeout), Some(2500 * MS));
        }
        harness.run_deadlines_until(at(3 * SECOND));
        let answer = harness.take_answer(at(3 * SECOND), request);
        match written {
            true => assert_eq!(answer, Some(FinalAnswer::Failed { timed_out: true })),
            false => {
                assert!(matches!(answer, Some(FinalAnswer::Rejected { timed_out: true, .. })), "{answer:?}")
            }
        }
    }
}

/// Guards against a request that gets no answer because the decision module gives none while many others are cancelled.
#[test]
fn cancelled_requests_do_not_cost_others_their_answer() {
    let mut harness = Harness::new();
    let (request, attempt) = harness.submit_and_write(0, None);
    for n in 0..200 {
        let now = Instant::from_micros(n);
        let other = harness.submit(now, 0, None);
        harness.core.cancel(now, other, &mut harness.deadlines);
    }
    let removed = CACHES.map(|cache| endpoint(cache, 0, 0, ServerState::Removed)).to_vec();
    harness.core.update_endpoints(at(MS), ListUpdate::Delta, removed, &mut harness.deadlines);
    harness.end_attempt(at(2 * MS), attempt, AttemptResult::Reset);
    assert!(harness.commands().0.contains(&"answer"), "answered at once, as no server is left");
    assert!(matches!(
        harness.take_answer(at(2 * MS), request),
        Some(FinalAnswer::Rejected { .. } | FinalAnswer::Failed { .. })
    ));
}

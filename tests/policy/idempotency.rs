//! Idempotency, purges, draining servers, limits and settings.

use crate::support::*;
use dahliatrack::*;

#[test]
fn unusable_settings_are_a_typed_error() {
    let error = |change: fn(&mut Settings)| {
        let mut settings = settings();
        change(&mut settings);
        Router::new(settings, 1, Instant::ZERO).err()
    };
    assert_eq!(error(|_| ()), None);
    assert_eq!(error(|s| s.classes.clear()), Some(SettingsError::NoClasses));
    assert_eq!(
        error(|s| s.topology.ordinal = 2),
        Some(SettingsError::OrdinalOutOfRange { ordinal: 2, routers: 2 })
    );
    let zone = |name, zone| Some(SettingsError::ZoneOutOfRange { name, zone, zones: 3 });
    assert_eq!(error(|s| s.topology.zone = ZoneId(3)), zone("zone", 3));
    assert_eq!(error(|s| s.topology.hub_by_zone[0] = ZoneId(9)), zone("hub_by_zone", 9));
    let invalid_number = |name| Some(SettingsError::InvalidNumber { name });
    assert_eq!(error(|s| s.topology.transfer_kb_per_s = f64::NAN), invalid_number("pace_kb_per_s"));
    assert_eq!(error(|s| s.classes[0].objective_stretch = -1.0), invalid_number("stretch"));
    assert_eq!(
        error(|s| s.protection.cache_slow_start.initial_share = f64::INFINITY),
        invalid_number("cold_share")
    );
    let too_small = |name, min| Some(SettingsError::TooSmall { name, min });
    assert_eq!(error(|s| s.classes[0].latency_objective = Span::ZERO), too_small("target", "1 microsecond"));
    assert_eq!(error(|s| s.protection.overload_window = Span::ZERO), too_small("fall_span", "1 microsecond"));
    assert_eq!(error(|s| s.protection.purge_settled_after = -MICROSECOND), too_small("purge_settles", "0"));
}

#[test]
fn peer_messages_change_nothing_and_none_are_sent() {
    let mut with_peers = settings();
    with_peers.limits.peer_messages = true;
    let mut harness = Harness::new(with_peers, endpoints());
    harness.make_popular(7);
    let first = harness.first_attempt(7);
    let actions = harness.end_attempt(&first, 0, AttemptResult::Ok, Some(CacheStatus::Filled));
    assert!(!actions.iter().any(|a| matches!(a, Action::SendToPeer { .. })), "{actions:?}");
    let mut unknown_server_message = 7u64.to_le_bytes().to_vec();
    unknown_server_message.extend(77u32.to_le_bytes());
    for bytes in [vec![], vec![1, 2, 3], unknown_server_message, vec![255; 256]] {
        assert!(harness.event(Event::PeerMessage { from: 900, bytes }).is_empty());
    }
    let after = harness.first_attempt(7).server;
    assert!((1..=3).contains(&after.0), "{after:?} is a cache of the location");
}

#[test]
fn retry_avoids_a_server_and_source_that_began_to_drain() {
    let mut harness = Harness::new(settings(), endpoints());
    let attempt = harness.first_attempt(7);
    let drains = |server: ServerId, kind, zone| Endpoint {
        state: ServerState::Draining,
        ..endpoint(server.0, kind, zone)
    };
    harness.update_endpoints(
        ListUpdate::Delta,
        vec![drains(attempt.server, CACHE, 0), drains(attempt.source, PARENT, 1)],
    );
    let actions = harness.end_attempt(&attempt, 0, AttemptResult::ConnectFailed, None);
    let next = attempt_in(&actions).expect("a further attempt");
    assert!(next.server != attempt.server && next.source != attempt.source, "{next:?}");
    for object in 20..60 {
        let next = harness.first_attempt(object);
        assert!(next.server != attempt.server && next.source != attempt.source, "{next:?}");
    }
}

#[test]
fn equal_events_give_equal_actions_with_200_servers() {
    let play = || {
        let mut list: Vec<Endpoint> = (1..=190).map(|id| endpoint(id, CACHE, (id % 30 * 2) as u16)).collect();
        list.extend((200..210).map(|id| endpoint(id, PARENT, 1)));
        let mut harness = Harness::new(settings(), list);
        let mut all = Vec::new();
        for object in 1..300u64 {
            harness.now += 7 * MS;
            let (_, actions) = harness.send_request(object % 40);
            if let Some(attempt) = attempt_in(&actions).filter(|_| object % 3 > 0) {
                all.extend(harness.end_attempt(&attempt, 0, AttemptResult::Ok, Some(CacheStatus::Filled)));
            }
            all.extend(actions);
        }
        all
    };
    assert_eq!(play(), play());
}

#[test]
fn after_a_purge_max_age_excludes_older_copies_and_is_never_0() {
    let mut harness = Harness::new(settings(), endpoints());
    assert_eq!(harness.serve(7).max_age, Span::ZERO);
    harness.event(Event::Purged { purge: Purge::Object(ObjectId(7)), age: Span::ZERO });
    assert_eq!(harness.serve(7).max_age, MICROSECOND, "0 would allow any age");
    harness.now += 200 * MS;
    assert_eq!(harness.serve(7).max_age, 200 * MS);
    assert_eq!(harness.serve(8).max_age, Span::ZERO);
    harness.event(Event::Purged { purge: Purge::Group(GroupId(5)), age: 50 * MS });
    assert_eq!(harness.serve(7).max_age, 50 * MS, "the newest purge counts");
    assert_eq!(harness.serve(8).max_age, 50 * MS);
    harness.event(Event::Purged { purge: Purge::Object(ObjectId(7)), age: 4 * SECOND });
    assert_eq!(harness.serve(7).max_age, 50 * MS, "a late report of an older purge has no effect");
    harness.first_attempt(9);
    harness.advance(5 * SECOND);
    assert!(harness.serve(7).max_age > Span::ZERO, "the purge has not settled yet");
}

#[test]
fn purge_lowers_max_age_below_the_fresh_time() {
    let mut ageing = settings();
    (ageing.classes[0].fresh_for, ageing.classes[0].stale_for) = (5 * SECOND, 20 * SECOND);
    let mut harness = Harness::new(ageing, endpoints());
    assert_eq!(harness.serve(7).max_age, 5 * SECOND);
    harness.event(Event::Purged { purge: Purge::Object(ObjectId(7)), age: 90 * MS });
    let attempt = harness.serve(7);
    assert!(attempt.stale_while_revalidate);
    assert_eq!(attempt.max_age, 90 * MS);
}

#[test]
fn draining_servers_get_no_requests_and_no_fills() {
    let mut harness = Harness::new(settings(), endpoints());
    let home = harness.make_popular(7);
    harness.serve(7);
    let drained = [Endpoint { state: ServerState::Draining, ..endpoint(home.0, CACHE, 0) }];
    harness.update_endpoints(ListUpdate::Delta, drained.to_vec());
    harness.update_endpoints(
        ListUpdate::Delta,
        vec![Endpoint { state: ServerState::Draining, ..endpoint(11, PARENT, 1) }],
    );
    for object in 1..50 {
        let attempt = harness.serve(object);
        assert!(attempt.server != home && attempt.source != home && attempt.source.0 != 11, "{attempt:?}");
    }
    let mut rest = endpoints();
    rest.retain(|m| m.server.0 != 3);
    harness.update_endpoints(ListUpdate::Full, rest);
    assert!(
        (50..90).all(|object| harness.serve(object).server.0 != 3),
        "servers absent from a full list are removed"
    );
}

#[test]
fn requests_are_rejected_at_once_at_their_deadline() {
    let mut harness = Harness::new(settings(), endpoints());
    let attempt = harness.first_attempt(7);
    assert!(attempt.timeout > 800 * MS && attempt.timeout < 5 * SECOND);
    harness.now += attempt.timeout;
    assert!(retry_after_in(&harness.end_attempt(&attempt, 0, AttemptResult::Timeout, None)).is_some());
    let mut unsized_request = request(99, 7);
    unsized_request.size_kb = 0.0;
    let actions = harness.event(Event::Request(unsized_request));
    assert_eq!(attempt_in(&actions).expect("sent").timeout, 5 * SECOND);
    harness.now += 5 * SECOND;
    assert!(retry_after_in(&harness.event(Event::Timer(0))).is_some());
    assert!(retry_after_in(&harness.event(Event::Timer(0))).is_none(), "a request has only one final answer");
}

#[test]
fn non_idempotent_request_that_may_have_run_fails() {
    for (result, repeats) in [
        (AttemptResult::Miss, true),
        (AttemptResult::ConnectFailed, true),
        (AttemptResult::Rejected, true),
        (AttemptResult::Error, false),
        (AttemptResult::Reset, false),
        (AttemptResult::Timeout, false),
    ] {
        let mut non_idempotent = settings();
        non_idempotent.classes[0].idempotency = Idempotency::Never;
        let mut harness = Harness::new(non_idempotent, endpoints());
        let attempt = harness.first_attempt(7);
        let actions = harness.end_attempt(&attempt, 0, result, None);
        assert_eq!(attempt_in(&actions).is_some(), repeats, "{result:?}");
        assert_eq!(actions.contains(&Action::Fail(attempt.request)), !repeats, "{result:?}");
        assert!(retry_after_in(&actions).is_none());
    }
}

#[test]
fn keyed_requests_are_retried_within_dedup_scope_and_window() {
    let mut keyed = settings();
    (keyed.classes[0].idempotency, keyed.classes[0].dedup_scope) = (Idempotency::WithKey, DedupScope::Cell);
    let mut cells = endpoints();
    cells.iter_mut().for_each(|m| m.cell = m.server.0 as u16);
    let mut harness = Harness::new(keyed.clone(), cells.clone());
    let attempt = harness.first_attempt(7);
    let again = attempt_in(&harness.end_attempt(&attempt, 0, AttemptResult::Error, None)).expect("a retry");
    assert_eq!(again.server, attempt.server, "each cache is a cell of its own");
    harness.now += SECOND;
    let actions = harness.end_attempt(&again, 1, AttemptResult::Error, None);
    assert_eq!(
        actions,
        [Action::Fail(attempt.request)],
        "the deduplication window has passed, and a rejection would allow a retry"
    );
    keyed.classes[0].dedup_scope = DedupScope::All;
    let mut harness = Harness::new(keyed, cells);
    let attempt = harness.first_attempt(7);
    harness.now += SECOND;
    assert!(retry_after_in(&harness.end_attempt(&attempt, 0, AttemptResult::Error, None)).is_some());
}

#[test]
fn attempts_stay_within_their_limit() {
    let mut harness = Harness::new(settings(), endpoints());
    let mut attempt = harness.first_attempt(7);
    for number in 0..7 {
        attempt = attempt_in(&harness.end_attempt(&attempt, number, AttemptResult::ConnectFailed, None))
            .unwrap_or(attempt);
    }
    assert!(attempt_in(&harness.end_attempt(&attempt, 7, AttemptResult::ConnectFailed, None)).is_none());
}

#[test]
fn streaming_answer_is_neither_hedged_nor_cancelled() {
    let mut harness = Harness::new(settings(), endpoints());
    let attempt = harness.first_attempt(7);
    harness.event(Event::FirstByte {
        request: attempt.request,
        attempt: 0,
        server: attempt.server,
        elapsed: MS,
    });
    let actions = harness.advance(10 * SECOND);
    assert!(actions.iter().all(|action| matches!(action, Action::Timer { .. })), "{actions:?}");
}

#[test]
fn unknown_ids_are_ignored() {
    let mut harness = Harness::new(settings(), endpoints());
    let attempt = harness.first_attempt(7);
    assert!(harness.end_attempt(&attempt, 5, AttemptResult::Ok, None).is_empty());
    harness.event(Event::RequestCancelled(attempt.request));
    harness.end_attempt(&attempt, 0, AttemptResult::Cancelled, None);
    assert!(harness.end_attempt(&attempt, 0, AttemptResult::Error, None).is_empty());
    assert!(harness.event(Event::RequestCancelled(RequestId(12345))).is_empty());
}

#[test]
fn failed_discovery_subscription_is_renewed_after_a_delay() {
    let mut polling = settings();
    polling.limits.polls_discovery = true;
    let mut harness = Harness::new(polling, endpoints());
    let cached = harness.event(Event::EndpointList { update: ListUpdate::Cached, endpoints: vec![] });
    assert_eq!(cached, [Action::WatchEndpoints(true)]);
    let failed = harness.event(Event::EndpointList { update: ListUpdate::Failed, endpoints: vec![] });
    let [Action::Timer { token, after }] = failed[..] else { panic!("{failed:?}") };
    assert!(after > Span::ZERO, "the discovery service is not called again at once");
    assert_eq!(harness.event(Event::Timer(token)), [Action::WatchEndpoints(true)]);
}

#[test]
fn equal_events_give_equal_actions() {
    let run = || {
        let mut harness = Harness::new(settings(), endpoints());
        let mut all = Vec::new();
        for step in 0..400u64 {
            let (_, actions) = harness.send_request(step * step % 37);
            if let Some(attempt) = attempt_in(&actions).filter(|_| step % 5 > 0) {
                all.extend(harness.end_attempt(&attempt, 0, AttemptResult::Ok, Some(CacheStatus::Filled)));
            }
            all.extend(actions);
            all.extend(harness.advance(20 * MS));
        }
        all
    };
    assert_eq!(run(), run());
}

/// Guards against retries that sustain an overload: a fifth of the slow requests was retried, which added to the
/// overload and kept it up after its cause had gone.
#[test]
fn retries_stay_a_small_share_of_all_attempts() {
    let mut harness = Harness::new(settings(), endpoints());
    let mut retries = 0;
    for object in 0..1000 {
        harness.now += 10 * MS;
        let attempt = harness.first_attempt(object);
        let again = attempt_in(&harness.end_attempt(
            &attempt,
            0,
            AttemptResult::Rejected,
            Some(CacheStatus::NoFillSlot),
        ));
        retries += usize::from(again.is_some());
        again.map(|again| harness.end_attempt(&again, 1, AttemptResult::Ok, Some(CacheStatus::Filled)));
    }
    assert!((50..=80).contains(&retries), "{retries} of 1000");
}

/// Guards against an initial transfer time of a whole latency objective for uncached classes: writes were rejected as
/// overload in the first seconds of every day.
#[test]
fn write_at_the_start_is_not_rejected_as_overload() {
    let mut custom = settings();
    (custom.classes[0].uncached, custom.classes[0].objective_stretch) = (true, 0.0);
    let mut list = endpoints();
    list.iter_mut().for_each(|member| member.weight = 2.0);
    let mut harness = Harness::new(custom, list);
    for _ in 0..5 {
        harness.next_id += 1;
        let write = Request { size_kb: 0.0, ..request(harness.next_id, 7) };
        let actions = harness.event(Event::Request(write));
        assert!(attempt_in(&actions).is_some(), "{actions:?}");
    }
}

#[test]
fn cache_that_mostly_fails_gets_probes_only_and_no_writes() {
    // Guards against a cache that fails fast and stays the home: each error cost a further attempt, and a write that
    // failed was lost.
    let mut custom = settings();
    custom.classes.push(Class {
        idempotency: Idempotency::Never,
        uncached: true,
        ..custom.classes[0].clone()
    });
    let mut harness = Harness::new(custom, endpoints());
    let bad = harness.serve(7).server;
    let write = |harness: &mut Harness| {
        harness.next_id += 1;
        let request = Request { class: ClassId(1), is_write: true, ..request(harness.next_id, 7) };
        let attempt = attempt_in(&harness.event(Event::Request(request))).expect("an attempt");
        harness.end_attempt(&attempt, 0, AttemptResult::Ok, Some(CacheStatus::FilledByOrigin));
        attempt.server
    };
    assert_eq!(write(&mut harness), bad, "the home of the object before the failures");
    let mut erred = 0;
    for _ in 0..10 {
        harness.now += 50 * MS;
        let (_, actions) = harness.send_request(7);
        let attempt = attempt_in(&actions).expect("an attempt");
        erred += usize::from(attempt.server == bad);
        if attempt.server == bad {
            let again = attempt_in(&harness.end_attempt(&attempt, 0, AttemptResult::Error, None))
                .expect("a retry elsewhere");
            harness.end_attempt(&again, 1, AttemptResult::Ok, None);
        } else {
            harness.end_attempt(&attempt, 0, AttemptResult::Ok, None);
        }
    }
    assert!((2..=3).contains(&erred), "{erred} attempts before it was ejected");
    harness.now += 2 * SECOND;
    assert_ne!(write(&mut harness), bad, "a write is not sent as a probe");
    let probed_object = (100..400).find(|object| harness.serve(*object).server == bad);
    assert!(probed_object.is_some(), "a read is sent as a probe");
    for object in 400..500 {
        harness.serve(object);
    }
    assert_eq!(write(&mut harness), bad, "the cache is used again after successful answers");
}

/// Guards against using an unreliable parent for writes again after one successful fill: the writes that it then failed
/// were lost.
#[test]
fn no_write_is_filled_by_a_parent_that_failed_recently() {
    let mut custom = settings();
    custom.classes.push(Class {
        idempotency: Idempotency::Never,
        uncached: true,
        ..custom.classes[0].clone()
    });
    let mut harness = Harness::new(custom, endpoints());
    let writes = |harness: &mut Harness, parents: [u32; 2]| {
        harness.now += 2 * SECOND;
        let mut sources: Vec<u32> = Vec::new();
        for object in 1..40 {
            harness.next_id += 1;
            let write = Request { class: ClassId(1), is_write: true, ..request(harness.next_id, object) };
            let attempt = attempt_in(&harness.event(Event::Request(write))).expect("an attempt");
            harness.end_attempt(&attempt, 0, AttemptResult::Ok, None);
            sources.push(attempt.source.0);
        }
        assert!(parents.iter().all(|parent| sources.contains(parent)), "{sources:?}");
        assert!(sources.iter().all(|source| parents.contains(source)), "{sources:?}");
    };
    let fill = |harness: &mut Harness, objects: std::ops::Range<u64>, bad: &[u32]| {
        for object in objects {
            let attempt = harness.first_attempt(object);
            let failed = bad.contains(&attempt.source.0);
            let (result, note) = if failed {
                (AttemptResult::Error, CacheStatus::SourceUnreachable)
            } else {
                (AttemptResult::Ok, CacheStatus::Filled)
            };
            if let Some(again) = attempt_in(&harness.end_attempt(&attempt, 0, result, Some(note))) {
                harness.end_attempt(&again, 1, AttemptResult::Ok, Some(CacheStatus::Filled));
            }
        }
    };
    writes(&mut harness, [11, 12]);
    fill(&mut harness, 100..110, &[11]);
    harness.now += 2 * SECOND;
    fill(&mut harness, 110..120, &[]);
    writes(&mut harness, [12, 12]);
    fill(&mut harness, 200..240, &[]);
    writes(&mut harness, [11, 12]);
    fill(&mut harness, 300..340, &[11, 12]);
    writes(&mut harness, [21, 21]);
}

#[test]
fn new_settings_apply_to_new_requests_only() {
    let mut harness = Harness::new(settings(), endpoints());
    let old = harness.first_attempt(7);
    let mut fewer = settings();
    fewer.limits.max_attempts = 1;
    fewer.classes[0].retired = true;
    fewer.classes.push(Class { idempotency: Idempotency::Never, retired: false, ..fewer.classes[0].clone() });
    harness.router.reconfigure(fewer);
    let again = harness.end_attempt(&old, 0, AttemptResult::Error, None);
    assert!(attempt_in(&again).is_some(), "it arrived when more attempts and retries were allowed");
    for (class, answer) in [(0, false), (1, true)] {
        harness.next_id += 1;
        let new = Request { class: ClassId(class), ..request(harness.next_id, 8) };
        let actions = harness.event(Event::Request(new));
        let attempt = attempt_in(&actions).expect("an attempt");
        let actions = harness.end_attempt(&attempt, 0, AttemptResult::Error, None);
        assert!(attempt_in(&actions).is_none(), "only one attempt is allowed");
        assert_eq!(actions.contains(&Action::Fail(attempt.request)), answer, "{actions:?}");
    }
}

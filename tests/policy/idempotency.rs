//! What may be repeated, refused and sent: effects, drains, purges, limits, settings.

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
    let too_small = |name| Some(SettingsError::TooSmall { name });
    assert_eq!(error(|s| s.classes[0].latency_objective = Span::ZERO), too_small("target"));
    assert_eq!(error(|s| s.protection.overload_window = Span::ZERO), too_small("fall_span"));
    assert_eq!(error(|s| s.protection.purge_settled_after = -MICROSECOND), too_small("purge_settles"));
}

#[test]
fn peer_messages_change_nothing_and_none_are_sent() {
    let mut with_peers = settings();
    with_peers.limits.peer_messages = true;
    let mut bench = Bench::new(with_peers, fleet());
    bench.popular(7);
    let first = bench.get(7);
    let told = bench.end(&first, 0, AttemptResult::Ok, Some(CacheStatus::Filled));
    assert!(!told.iter().any(|a| matches!(a, Action::SendToPeer { .. })), "{told:?}");
    let mut about_a_stranger = 7u64.to_le_bytes().to_vec();
    about_a_stranger.extend(77u32.to_le_bytes());
    for bytes in [vec![], vec![1, 2, 3], about_a_stranger, vec![255; 256]] {
        assert!(bench.event(Event::PeerMessage { from: 900, bytes }).is_empty());
    }
    let after = bench.get(7).server;
    assert!((1..=3).contains(&after.0), "{after:?} is a cache of the location");
}

#[test]
fn a_drain_between_two_attempts_holds_for_server_and_source() {
    let mut bench = Bench::new(settings(), fleet());
    let get = bench.get(7);
    let drains = |server: ServerId, kind, zone| Endpoint {
        state: ServerState::Draining,
        ..member(server.0, kind, zone)
    };
    bench.list(ListUpdate::Delta, vec![drains(get.server, CACHE, 0), drains(get.source, PARENT, 1)]);
    let actions = bench.end(&get, 0, AttemptResult::ConnectFailed, None);
    let next = get_of(&actions).expect("a further attempt");
    assert!(next.server != get.server && next.source != get.source, "{next:?}");
    for object in 20..60 {
        let next = bench.get(object);
        assert!(next.server != get.server && next.source != get.source, "{next:?}");
    }
}

#[test]
fn equal_events_give_equal_actions_with_200_servers() {
    let play = || {
        let mut list: Vec<Endpoint> = (1..=190).map(|id| member(id, CACHE, (id % 30 * 2) as u16)).collect();
        list.extend((200..210).map(|id| member(id, PARENT, 1)));
        let mut bench = Bench::new(settings(), list);
        let mut all = Vec::new();
        for object in 1..300u64 {
            bench.now += 7 * MS;
            let (_, actions) = bench.ask(object % 40);
            if let Some(get) = get_of(&actions).filter(|_| object % 3 > 0) {
                all.extend(bench.end(&get, 0, AttemptResult::Ok, Some(CacheStatus::Filled)));
            }
            all.extend(actions);
        }
        all
    };
    assert_eq!(play(), play());
}

#[test]
fn after_a_purge_only_newer_copies_do_and_the_bound_is_never_0() {
    let mut bench = Bench::new(settings(), fleet());
    assert_eq!(bench.served(7).max_age, Span::ZERO);
    bench.event(Event::Purged { purge: Purge::Object(ObjectId(7)), age: Span::ZERO });
    assert_eq!(bench.served(7).max_age, MICROSECOND, "0 would mean any age");
    bench.now += 200 * MS;
    assert_eq!(bench.served(7).max_age, 200 * MS);
    assert_eq!(bench.served(8).max_age, Span::ZERO);
    bench.event(Event::Purged { purge: Purge::Group(GroupId(5)), age: 50 * MS });
    assert_eq!(bench.served(7).max_age, 50 * MS, "the newest purge counts");
    assert_eq!(bench.served(8).max_age, 50 * MS);
    bench.event(Event::Purged { purge: Purge::Object(ObjectId(7)), age: 4 * SECOND });
    assert_eq!(bench.served(7).max_age, 50 * MS, "news of an older one changes nothing");
    bench.get(9);
    bench.pass(5 * SECOND);
    assert!(bench.served(7).max_age > Span::ZERO, "not settled yet");
}

#[test]
fn a_purge_bounds_ageing_copies_too() {
    let mut ageing = settings();
    (ageing.classes[0].fresh_for, ageing.classes[0].stale_for) = (5 * SECOND, 20 * SECOND);
    let mut bench = Bench::new(ageing, fleet());
    assert_eq!(bench.served(7).max_age, 5 * SECOND);
    bench.event(Event::Purged { purge: Purge::Object(ObjectId(7)), age: 90 * MS });
    let get = bench.served(7);
    assert!(get.stale_while_revalidate);
    assert_eq!(get.max_age, 90 * MS);
}

#[test]
fn nothing_goes_to_a_draining_cache_or_parent_nor_names_it_as_source() {
    let mut bench = Bench::new(settings(), fleet());
    let home = bench.popular(7);
    bench.served(7);
    let drained = [Endpoint { state: ServerState::Draining, ..member(home.0, CACHE, 0) }];
    bench.list(ListUpdate::Delta, drained.to_vec());
    bench.list(ListUpdate::Delta, vec![Endpoint { state: ServerState::Draining, ..member(11, PARENT, 1) }]);
    for object in 1..50 {
        let get = bench.served(object);
        assert!(get.server != home && get.source != home && get.source.0 != 11, "{get:?}");
    }
    let mut rest = fleet();
    rest.retain(|m| m.server.0 != 3);
    bench.list(ListUpdate::Full, rest);
    assert!((50..90).all(|object| bench.served(object).server.0 != 3), "absent from a full list: gone");
}

#[test]
fn at_the_deadline_and_past_the_useful_time_the_answer_is_given_at_once() {
    let mut bench = Bench::new(settings(), fleet());
    let get = bench.get(7);
    assert!(get.timeout > 800 * MS && get.timeout < 5 * SECOND);
    bench.now += get.timeout;
    assert!(refused(&bench.end(&get, 0, AttemptResult::Timeout, None)).is_some());
    let mut unsized_request = request(99, 7);
    unsized_request.size_kb = 0.0;
    let actions = bench.event(Event::Request(unsized_request));
    assert_eq!(get_of(&actions).expect("sent").timeout, 5 * SECOND);
    bench.now += 5 * SECOND;
    assert!(refused(&bench.event(Event::Timer(0))).is_some());
    assert!(refused(&bench.event(Event::Timer(0))).is_none(), "one answer only");
}

#[test]
fn a_request_that_must_not_run_twice_is_neither_retried_nor_rejected_once_it_may_have_run() {
    for (result, repeats) in [
        (AttemptResult::Miss, true),
        (AttemptResult::ConnectFailed, true),
        (AttemptResult::Rejected, true),
        (AttemptResult::Error, false),
        (AttemptResult::Reset, false),
        (AttemptResult::Timeout, false),
    ] {
        let mut careful = settings();
        careful.classes[0].idempotency = Idempotency::Never;
        let mut bench = Bench::new(careful, fleet());
        let get = bench.get(7);
        let actions = bench.end(&get, 0, result, None);
        assert_eq!(get_of(&actions).is_some(), repeats, "{result:?}");
        assert_eq!(actions.contains(&Action::Fail(get.request)), !repeats, "{result:?}");
        assert!(refused(&actions).is_none());
    }
}

#[test]
fn a_request_with_an_idempotency_key_is_retried_within_its_scope_and_window_only() {
    let mut keyed = settings();
    (keyed.classes[0].idempotency, keyed.classes[0].dedup_scope) = (Idempotency::WithKey, DedupScope::Cell);
    let mut cells = fleet();
    cells.iter_mut().for_each(|m| m.cell = m.server.0 as u16);
    let mut bench = Bench::new(keyed.clone(), cells.clone());
    let get = bench.get(7);
    let again = get_of(&bench.end(&get, 0, AttemptResult::Error, None)).expect("repeated");
    assert_eq!(again.server, get.server, "each cache is a cell of its own");
    bench.now += SECOND;
    let actions = bench.end(&again, 1, AttemptResult::Error, None);
    assert_eq!(
        actions,
        [Action::Fail(get.request)],
        "the window has passed, and a refusal would invite a repeat"
    );
    keyed.classes[0].dedup_scope = DedupScope::All;
    let mut bench = Bench::new(keyed, cells);
    let get = bench.get(7);
    bench.now += SECOND;
    assert!(refused(&bench.end(&get, 0, AttemptResult::Error, None)).is_some());
}

#[test]
fn attempts_stay_within_their_limit() {
    let mut bench = Bench::new(settings(), fleet());
    let mut get = bench.get(7);
    for attempt in 0..7 {
        get = get_of(&bench.end(&get, attempt, AttemptResult::ConnectFailed, None)).unwrap_or(get);
    }
    assert!(get_of(&bench.end(&get, 7, AttemptResult::ConnectFailed, None)).is_none());
}

#[test]
fn a_streaming_answer_is_neither_hedged_nor_cancelled() {
    let mut bench = Bench::new(settings(), fleet());
    let get = bench.get(7);
    bench.event(Event::FirstByte { request: get.request, attempt: 0, server: get.server, elapsed: MS });
    let actions = bench.pass(10 * SECOND);
    assert!(actions.iter().all(|action| matches!(action, Action::Timer { .. })), "{actions:?}");
}

#[test]
fn unknown_ids_are_ignored() {
    let mut bench = Bench::new(settings(), fleet());
    let get = bench.get(7);
    assert!(bench.end(&get, 5, AttemptResult::Ok, None).is_empty());
    bench.event(Event::RequestCancelled(get.request));
    bench.end(&get, 0, AttemptResult::Cancelled, None);
    assert!(bench.end(&get, 0, AttemptResult::Error, None).is_empty());
    assert!(bench.event(Event::RequestCancelled(RequestId(12345))).is_empty());
}

#[test]
fn polled_discovery_is_subscribed_to_and_again_after_a_failure() {
    let mut asked = settings();
    asked.limits.polls_discovery = true;
    let mut bench = Bench::new(asked, fleet());
    let cached = bench.event(Event::EndpointList { update: ListUpdate::Cached, endpoints: vec![] });
    assert_eq!(cached, [Action::WatchEndpoints(true)]);
    let failed = bench.event(Event::EndpointList { update: ListUpdate::Failed, endpoints: vec![] });
    let [Action::Timer { token, after }] = failed[..] else { panic!("{failed:?}") };
    assert!(after > Span::ZERO, "the discovery service is not called again at once");
    assert_eq!(bench.event(Event::Timer(token)), [Action::WatchEndpoints(true)]);
}

#[test]
fn equal_events_give_equal_actions() {
    let run = || {
        let mut bench = Bench::new(settings(), fleet());
        let mut all = Vec::new();
        for step in 0..400u64 {
            let (_, actions) = bench.ask(step * step % 37);
            if let Some(get) = get_of(&actions).filter(|_| step % 5 > 0) {
                all.extend(bench.end(&get, 0, AttemptResult::Ok, Some(CacheStatus::Filled)));
            }
            all.extend(actions);
            all.extend(bench.pass(20 * MS));
        }
        all
    };
    assert_eq!(run(), run());
}

/// Under overload a fifth of the slow requests was retried: the overload grew by it and outlived its cause.
#[test]
fn retries_stay_a_small_share_of_all_attempts() {
    let mut bench = Bench::new(settings(), fleet());
    let mut further = 0;
    for object in 0..1000 {
        bench.now += 10 * MS;
        let get = bench.get(object);
        let again = get_of(&bench.end(&get, 0, AttemptResult::Rejected, Some(CacheStatus::NoFillSlot)));
        further += usize::from(again.is_some());
        again.map(|again| bench.end(&again, 1, AttemptResult::Ok, Some(CacheStatus::Filled)));
    }
    assert!((50..=80).contains(&further), "{further} of 1000");
}

/// Until its first answer a write was taken for as long as its whole target, and refused in every day's first seconds.
#[test]
fn a_write_at_the_start_is_not_rejected_as_overload() {
    let mut told = settings();
    (told.classes[0].uncached, told.classes[0].objective_stretch) = (true, 0.0);
    let mut list = fleet();
    list.iter_mut().for_each(|member| member.weight = 2.0);
    let mut bench = Bench::new(told, list);
    for _ in 0..5 {
        bench.next += 1;
        let write = Request { size_kb: 0.0, ..request(bench.next, 7) };
        let actions = bench.event(Event::Request(write));
        assert!(get_of(&actions).is_some(), "{actions:?}");
    }
}

#[test]
fn a_cache_that_mostly_errs_gets_probes_only_and_no_writes() {
    // Fast errors kept their place as home: each cost a further attempt, and a write that erred was lost.
    let mut told = settings();
    told.classes.push(Class { idempotency: Idempotency::Never, uncached: true, ..told.classes[0].clone() });
    let mut bench = Bench::new(told, fleet());
    let bad = bench.served(7).server;
    let write = |bench: &mut Bench| {
        bench.next += 1;
        let request = Request { class: ClassId(1), is_write: true, ..request(bench.next, 7) };
        let get = get_of(&bench.event(Event::Request(request))).expect("an attempt");
        bench.end(&get, 0, AttemptResult::Ok, Some(CacheStatus::FilledByOrigin));
        get.server
    };
    assert_eq!(write(&mut bench), bad, "its home before");
    let mut erred = 0;
    for _ in 0..10 {
        bench.now += 50 * MS;
        let (_, actions) = bench.ask(7);
        let get = get_of(&actions).expect("an attempt");
        erred += usize::from(get.server == bad);
        if get.server == bad {
            let again =
                get_of(&bench.end(&get, 0, AttemptResult::Error, None)).expect("it is sent elsewhere");
            bench.end(&again, 1, AttemptResult::Ok, None);
        } else {
            bench.end(&get, 0, AttemptResult::Ok, None);
        }
    }
    assert!((2..=3).contains(&erred), "{erred} attempts before it was left");
    bench.now += 2 * SECOND;
    assert_ne!(write(&mut bench), bad, "a write is no trial");
    let trial = (100..400).find(|object| bench.served(*object).server == bad);
    assert!(trial.is_some(), "a read is");
    for object in 400..500 {
        bench.served(object);
    }
    assert_eq!(write(&mut bench), bad, "it comes back by its answers");
}

/// A parent that fails some of its fills was taken again for writes with its next good one, and they were lost.
#[test]
fn no_write_is_filled_by_a_parent_that_failed_recently() {
    let mut told = settings();
    told.classes.push(Class { idempotency: Idempotency::Never, uncached: true, ..told.classes[0].clone() });
    let mut bench = Bench::new(told, fleet());
    let writes = |bench: &mut Bench, parents: [u32; 2]| {
        bench.now += 2 * SECOND;
        let mut sources: Vec<u32> = Vec::new();
        for object in 1..40 {
            bench.next += 1;
            let write = Request { class: ClassId(1), is_write: true, ..request(bench.next, object) };
            let get = get_of(&bench.event(Event::Request(write))).expect("an attempt");
            bench.end(&get, 0, AttemptResult::Ok, None);
            sources.push(get.source.0);
        }
        assert!(parents.iter().all(|parent| sources.contains(parent)), "{sources:?}");
        assert!(sources.iter().all(|source| parents.contains(source)), "{sources:?}");
    };
    let fill = |bench: &mut Bench, objects: std::ops::Range<u64>, bad: &[u32]| {
        for object in objects {
            let get = bench.get(object);
            let failed = bad.contains(&get.source.0);
            let (result, note) = if failed {
                (AttemptResult::Error, CacheStatus::SourceUnreachable)
            } else {
                (AttemptResult::Ok, CacheStatus::Filled)
            };
            if let Some(again) = get_of(&bench.end(&get, 0, result, Some(note))) {
                bench.end(&again, 1, AttemptResult::Ok, Some(CacheStatus::Filled));
            }
        }
    };
    writes(&mut bench, [11, 12]);
    fill(&mut bench, 100..110, &[11]);
    bench.now += 2 * SECOND;
    fill(&mut bench, 110..120, &[]);
    writes(&mut bench, [12, 12]);
    fill(&mut bench, 200..240, &[]);
    writes(&mut bench, [11, 12]);
    fill(&mut bench, 300..340, &[11, 12]);
    writes(&mut bench, [21, 21]);
}

#[test]
fn new_settings_hold_for_new_requests_and_open_ones_keep_theirs() {
    let mut bench = Bench::new(settings(), fleet());
    let old = bench.get(7);
    let mut fewer = settings();
    fewer.limits.max_attempts = 1;
    fewer.classes[0].retired = true;
    fewer.classes.push(Class { idempotency: Idempotency::Never, retired: false, ..fewer.classes[0].clone() });
    bench.router.reconfigure(fewer);
    let again = bench.end(&old, 0, AttemptResult::Error, None);
    assert!(get_of(&again).is_some(), "it came when six attempts and a repeat were allowed");
    for (class, answer) in [(0, false), (1, true)] {
        bench.next += 1;
        let new = Request { class: ClassId(class), ..request(bench.next, 8) };
        let actions = bench.event(Event::Request(new));
        let get = get_of(&actions).expect("an attempt");
        let actions = bench.end(&get, 0, AttemptResult::Error, None);
        assert!(get_of(&actions).is_none(), "one attempt is all");
        assert_eq!(actions.contains(&Action::Fail(get.request)), answer, "{actions:?}");
    }
}

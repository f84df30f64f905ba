//! Tests of `session`: one client's stream.

use super::{Fixture, EPOCH, NO_POLL};
use crate::control::resource::ResourceType;
use crate::control::session::{ClientRequest, RequestEffect, ServerResponse, Session, Variant};
use crate::control::version::{Epoch, Nonce, PollNumber, Sequence, Version};
use crate::interface::Span;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;

fn version(epoch: Epoch, sequence: Sequence) -> String {
    Version { epoch, sequence }.to_string()
}

fn first_request(version: &str) -> ClientRequest {
    ClientRequest { version: version.to_owned(), ..ClientRequest::default() }
}

fn ack(reply: &ServerResponse) -> ClientRequest {
    let version = reply.version.to_string();
    ClientRequest { version, nonce: Some(reply.nonce.clone()), ..ClientRequest::default() }
}

fn nack(reply: &ServerResponse, text: &str) -> ClientRequest {
    ClientRequest { error: Some(text.to_owned()), version: String::new(), ..ack(reply) }
}

fn nacked_effect(reply: &ServerResponse) -> RequestEffect {
    RequestEffect::Nacked { sequence: reply.version.sequence, error: "no".into() }
}

#[test]
fn version_round_trips_and_other_texts_are_errors() {
    let written = version(EPOCH, Sequence(12));
    assert_eq!(written, "e.12");
    assert_eq!(written.parse(), Ok(Version { epoch: EPOCH, sequence: Sequence(12) }));
    for text in ["", "12", "e.", ".12", "x.12", "e.c", "not-ours"] {
        assert!(text.parse::<Version>().is_err(), "{text:?}");
    }
}

/// An answer with a nonce that was never sent is no ACK or NACK. In the incremental variant it may still subscribe.
#[test]
fn answers_with_unknown_nonces_are_ignored() {
    for variant in [Variant::StateOfTheWorld, Variant::Incremental] {
        let mut fixture = Fixture::new();
        let mut stream = Session::new(variant, "north", EPOCH);
        let strange = ClientRequest { nonce: Some(Nonce("7".into())), ..first_request("") };
        let effect = stream.handle(ResourceType::Endpoints, &strange, NO_POLL);
        assert_eq!(effect, RequestEffect::Stale);
        let subscribed = stream.next(&fixture.snapshot()).is_some();
        assert_eq!(subscribed, variant == Variant::Incremental);
    }
}

#[test]
fn one_response_is_in_flight_and_the_next_is_newest() {
    let mut fixture = Fixture::new();
    let mut stream = Session::new(Variant::StateOfTheWorld, "north", EPOCH);
    assert!(stream.next(&fixture.snapshot()).is_none(), "nothing was requested");
    assert_eq!(
        stream.handle(ResourceType::Endpoints, &first_request(""), NO_POLL),
        RequestEffect::Subscribed
    );
    let reply = stream.next(&fixture.snapshot()).expect("the first response");
    assert_eq!((reply.resource_type, reply.resources.len()), (ResourceType::Endpoints, 2));
    for n in 0..3 {
        let cache = fixture.cache(n);
        fixture.set_health(&cache, "draining");
        assert!(stream.next(&fixture.snapshot()).is_none(), "one response is in flight");
    }
    assert_eq!(
        stream.handle(ResourceType::Endpoints, &ack(&reply), NO_POLL),
        RequestEffect::Acked(reply.version.sequence)
    );
    let newest = stream.next(&fixture.snapshot()).expect("the newest version");
    assert_eq!(
        newest.version.sequence,
        fixture.snapshot().points["north"].get(ResourceType::Endpoints).version
    );
    assert!(newest.version.sequence > reply.version.sequence);
    // A second answer to the previous response does not count as an answer to this one.
    assert_eq!(stream.handle(ResourceType::Endpoints, &ack(&reply), NO_POLL), RequestEffect::Stale);
    assert_eq!(
        stream.handle(ResourceType::Endpoints, &ack(&newest), NO_POLL),
        RequestEffect::Acked(newest.version.sequence)
    );
    assert!(stream.next(&fixture.snapshot()).is_none());
    assert_eq!(stream.acked(ResourceType::Endpoints), Some(newest.version.sequence));
}

#[test]
fn rejected_version_is_not_resent_but_the_next_is_sent() {
    for variant in [Variant::StateOfTheWorld, Variant::Incremental] {
        let mut fixture = Fixture::new();
        let mut stream = Session::new(variant, "north", EPOCH);
        stream.handle(ResourceType::Endpoints, &first_request(""), NO_POLL);
        let good = stream.next(&fixture.snapshot()).expect("the first response");
        stream.handle(ResourceType::Endpoints, &ack(&good), NO_POLL);
        let cache = fixture.cache(0);
        fixture.set_health(&cache, "draining");
        let bad = stream.next(&fixture.snapshot()).expect("a response with the change");
        let effect = stream.handle(ResourceType::Endpoints, &nack(&bad, "no"), NO_POLL);
        assert_eq!(effect, nacked_effect(&bad));
        assert_eq!(
            stream.acked(ResourceType::Endpoints),
            Some(good.version.sequence),
            "{variant:?}: the last accepted version stays in force"
        );
        assert!(stream.next(&fixture.snapshot()).is_none(), "{variant:?}");
        let other = fixture.cache(1);
        fixture.set_health(&other, "draining");
        let next = stream.next(&fixture.snapshot()).expect("a response with another version");
        assert!(next.version.sequence > bad.version.sequence, "{variant:?}");
    }
}

#[test]
fn rejected_version_is_not_resent_after_resubscribing() {
    let fixture = &mut Fixture::new();
    let mut stream = Session::new(Variant::StateOfTheWorld, "north", EPOCH);
    stream.handle(ResourceType::Endpoints, &first_request(""), NO_POLL);
    let bad = stream.next(&fixture.snapshot()).expect("the first response");
    let narrower = ClientRequest { subscribe: vec!["cache/north".into()], ..nack(&bad, "no") };
    assert_eq!(stream.handle(ResourceType::Endpoints, &narrower, NO_POLL), nacked_effect(&bad));
    assert!(stream.next(&fixture.snapshot()).is_none());
    let cache = fixture.cache(0);
    fixture.set_health(&cache, "draining");
    let next = stream.next(&fixture.snapshot()).expect("a response with another version");
    assert_eq!(next.resources.iter().map(|r| r.name.as_str()).collect::<Vec<_>>(), ["cache/north"]);
}

#[test]
fn rejected_version_is_not_resent_on_another_stream() {
    for variant in [Variant::StateOfTheWorld, Variant::Incremental] {
        let fixture = &mut Fixture::new();
        let mut stream = Session::new(variant, "north", EPOCH);
        stream.handle(ResourceType::Endpoints, &first_request(""), NO_POLL);
        let bad = stream.next(&fixture.snapshot()).expect("the first response");
        stream.handle(ResourceType::Endpoints, &nack(&bad, "no"), NO_POLL);
        let mut again = Session::new(variant, "north", EPOCH);
        assert!(again.rejections().is_empty() && !stream.rejections().is_empty());
        again.restore_rejections(stream.rejections());
        again.handle(ResourceType::Endpoints, &first_request(""), NO_POLL);
        let sent = again.next(&fixture.snapshot()).map(|reply| reply.resources.len()).unwrap_or(0);
        assert_eq!(sent, 0, "{variant:?}");
        let mut next = Session::new(variant, "north", EPOCH);
        next.restore_rejections(stream.rejections());
        next.handle(ResourceType::Endpoints, &first_request(""), NO_POLL);
        let cache = fixture.cache(0);
        fixture.set_health(&cache, "draining");
        let reply = next.next(&fixture.snapshot()).expect("a response with another version");
        next.handle(ResourceType::Endpoints, &ack(&reply), NO_POLL);
        assert!(
            reply.version.sequence > bad.version.sequence
                && next.acked(ResourceType::Endpoints) == Some(reply.version.sequence)
        );
    }
}

#[test]
fn version_of_another_run_waits_for_a_newer_poll() {
    let mut fixture = Fixture::new();
    let current = fixture.snapshot().points["north"].get(ResourceType::Endpoints).version;
    let stream = |had: &str, newest_poll| {
        let mut stream = Session::new(Variant::StateOfTheWorld, "north", EPOCH);
        stream.handle(ResourceType::Endpoints, &first_request(had), PollNumber(newest_poll));
        stream
    };
    let mut same = stream(&version(EPOCH, current), 9);
    assert!(same.next(&fixture.snapshot()).is_none(), "the client has this version");
    let cache = fixture.cache(0);
    fixture.set_health(&cache, "draining");
    assert!(same.next(&fixture.snapshot()).is_some());
    // Another run may have known more events. Only a snapshot made after a poll that was sent after the request cannot
    // be older.
    let mut other = stream(&version(Epoch(0xd), Sequence(99)), 9);
    for (answered, sent) in [(0, false), (9, false), (10, true)] {
        let snapshot = fixture.model.snapshot(fixture.now, PollNumber(answered));
        assert_eq!(other.next(&snapshot).is_some(), sent, "poll {answered}");
    }
    let mut strange = stream("not-ours", 9);
    assert!(strange.next(&fixture.snapshot()).is_none());
    let mut new = stream("", 9);
    assert!(new.next(&fixture.snapshot()).is_some(), "a client without a version cannot get an older one");
}

#[test]
fn incremental_updates_hold_missing_and_removed_resources() {
    let mut fixture = Fixture::new();
    let mut stream = Session::new(Variant::Incremental, "north", EPOCH);
    let names = |reply: &ServerResponse| reply.resources.iter().map(|r| r.name.clone()).collect::<Vec<_>>();
    let of = |names: &[&str]| names.iter().map(|name| (*name).to_owned()).collect::<Vec<_>>();
    let cache = ClientRequest { subscribe: of(&["cache/north"]), ..ClientRequest::default() };
    stream.handle(ResourceType::Endpoints, &cache, NO_POLL);
    let reply = stream.next(&fixture.snapshot()).expect("a response with cache/north");
    assert_eq!(names(&reply), ["cache/north"]);
    let fill = ClientRequest { subscribe: of(&["fill/north"]), ..ack(&reply) };
    stream.handle(ResourceType::Endpoints, &fill, NO_POLL);
    let reply = stream.next(&fixture.snapshot()).expect("a response with fill/north");
    assert_eq!(names(&reply), ["fill/north"]);
    let no_fill = ClientRequest { unsubscribe: of(&["fill/north"]), ..ack(&reply) };
    stream.handle(ResourceType::Endpoints, &no_fill, NO_POLL);
    let hub = fixture
        .hosts
        .iter()
        .find(|h| h["site"] == "harbour" && h["class"] == "hub")
        .cloned()
        .expect("a parent");
    fixture.set_health(&hub, "draining");
    assert!(stream.next(&fixture.snapshot()).is_none(), "the client unsubscribed from fill/north");
    // A new stream with the versions of an earlier one gets the resources that differ and the names of the removed
    // ones.
    let mut again = Session::new(Variant::Incremental, "north", EPOCH);
    let has = |name: &str, sequence| (name.to_owned(), version(EPOCH, sequence));
    let snapshot = fixture.snapshot();
    let current = |name: &str| snapshot.points["north"].get(ResourceType::Endpoints).resources[name].version;
    let had = BTreeMap::from([
        has("cache/north", current("cache/north")),
        has("fill/north", Sequence(1)),
        has("cache/old", Sequence(1)),
    ]);
    again.handle(
        ResourceType::Endpoints,
        &ClientRequest { initial_versions: had, ..ClientRequest::default() },
        NO_POLL,
    );
    let reply = again.next(&snapshot).expect("a response with the differences");
    assert_eq!((names(&reply), &reply.removed[..]), (of(&["fill/north"]), &of(&["cache/old"])[..]));
    again.handle(ResourceType::Endpoints, &ack(&reply), NO_POLL);
    assert!(again.next(&fixture.snapshot()).is_none());
}

/// Checks the rules for random sequences of events: one response of a type is in flight at a time, versions only grow,
/// a rejected version is not sent again, and a client that answers ends up with the newest version.
#[test]
#[expect(clippy::too_many_lines, reason = "one loop that checks one list of rules")]
fn random_events_keep_the_stream_rules() {
    for seed in 0..100 {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let mut pick = |n: u64| random.next_u64() % n;
        let mut fixture = Fixture::new();
        let variant = [Variant::StateOfTheWorld, Variant::Incremental][pick(2) as usize];
        let mut stream = Session::new(variant, "north", EPOCH);
        let mut in_flight: BTreeMap<ResourceType, ServerResponse> = BTreeMap::new();
        let mut last: BTreeMap<ResourceType, Sequence> = BTreeMap::new();
        let mut rejected: Vec<(ResourceType, Sequence)> = Vec::new();
        for kind in ResourceType::ALL {
            stream.handle(kind, &first_request(""), NO_POLL);
        }
        for step in 0..80 {
            match pick(5) {
                0 => {
                    let (cache, health) =
                        (fixture.cache(pick(4) as usize), ["up", "draining", "removed"][pick(3) as usize]);
                    fixture.set_health(&cache, health);
                }
                1 => {
                    fixture.now += Span::from_micros(pick(3_000_000) as i64);
                    fixture.model.tick(fixture.now);
                }
                2 | 3 => {
                    if let Some(reply) = stream.next(&fixture.snapshot()) {
                        let label =
                            format!("seed {seed} step {step} {:?} {}", reply.resource_type, reply.version);
                        assert!(
                            last.insert(reply.resource_type, reply.version.sequence)
                                .is_none_or(|last| last < reply.version.sequence),
                            "{label} is not newer than the previous one"
                        );
                        assert!(
                            !rejected.contains(&(reply.resource_type, reply.version.sequence)),
                            "{label} is sent again after its rejection"
                        );
                        assert!(
                            in_flight.insert(reply.resource_type, reply).is_none(),
                            "{label} is a second response in flight"
                        );
                    }
                }
                _ => {
                    let kind = ResourceType::ALL[pick(3) as usize];
                    if let Some(reply) = in_flight.remove(&kind) {
                        let reject = pick(4) == 0;
                        let ask = if reject { nack(&reply, "no") } else { ack(&reply) };
                        rejected.extend(reject.then_some((kind, reply.version.sequence)));
                        assert_ne!(stream.handle(kind, &ask, NO_POLL), RequestEffect::Stale);
                    }
                }
            }
        }
        for reply in std::mem::take(&mut in_flight).into_values() {
            stream.handle(reply.resource_type, &ack(&reply), NO_POLL);
        }
        while let Some(reply) = stream.next(&fixture.snapshot()) {
            stream.handle(reply.resource_type, &ack(&reply), NO_POLL);
        }
        for kind in ResourceType::ALL {
            let newest = fixture.snapshot().points["north"].get(kind).version;
            let settled = stream.acked(kind) == Some(newest) || rejected.contains(&(kind, newest));
            assert!(settled, "seed {seed}: {kind:?} stays at {:?}, not {newest}", stream.acked(kind));
        }
    }
}

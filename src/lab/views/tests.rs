use super::*;
use crate::control::resource::ResourceType;
use crate::interface::{Instant, Span};
use ResourceType::{Endpoints, Routes};

const BOUND: Span = Span::from_millis(1);

/// Returns a log entry of client "a"; `at` is in us.
fn entry(at: i64, event: ClientEvent) -> LogEntry {
    LogEntry { client: "a".into(), at: Instant::from_micros(at), event }
}

fn received(at: i64, view: View) -> LogEntry {
    entry(at, ClientEvent::Received(view))
}

fn view(resource_type: ResourceType, version: &str, servers: &[&str]) -> View {
    let servers = servers.iter().map(|server| (*server).to_owned()).collect();
    View { servers, ..View::new(resource_type, version) }
}

fn rejected(view: View) -> View {
    View { accepted: false, ..view }
}

fn feed_event(at: i64, change: FeedChange) -> FeedEvent {
    FeedEvent { at: Instant::from_micros(at), change }
}

fn server_unusable(at: i64) -> FeedEvent {
    feed_event(at, FeedChange::ServerUnusable("s".into()))
}

fn stale_server(after: i64) -> Breach {
    Breach::StaleServer { client: "a".into(), server: "s".into(), after: Span::from_micros(after) }
}

#[test]
fn only_actual_breaches_are_found() {
    let connected = entry(0, ClientEvent::Connected);
    let before = received(5, view(Endpoints, "e.1", &["s", "t"]));
    let without_server = |at| received(at, view(Endpoints, "e.2", &["t"]));
    let events = [server_unusable(100)];
    let good = [connected.clone(), before.clone(), without_server(1050)];
    assert_eq!(
        (find_breaches(&good, &events, BOUND), drain_delays(&good, &events)),
        (vec![], vec![Span::from_micros(950)])
    );
    let late = [connected.clone(), before.clone(), without_server(1101)];
    assert_eq!(find_breaches(&late, &events, BOUND), [stale_server(1001)]);
    let unchanged = [connected.clone(), before.clone()];
    assert_eq!(find_breaches(&unchanged, &events, BOUND), [stale_server(1000)], "no new view was received");
    // A client that was not connected is not blamed for the server that it had, but must not receive it
    // later.
    let ended = entry(200, ClientEvent::Ended);
    assert_eq!(find_breaches(&[connected.clone(), before.clone(), ended.clone()], &events, BOUND), []);
    let again = [
        connected.clone(),
        before.clone(),
        ended,
        entry(1500, ClientEvent::Connected),
        received(1600, view(Endpoints, "f.1", &["s"])),
    ];
    assert_eq!(find_breaches(&again, &events, BOUND), [stale_server(1500)]);
    let with_return = [server_unusable(100), feed_event(1550, FeedChange::ServerUsable("s".into()))];
    assert_eq!(find_breaches(&again, &with_return, BOUND), [], "the server may be used again by then");
    // A rejected view is not in force.
    let nacked = [connected.clone(), before, received(500, rejected(view(Endpoints, "e.2", &["t"])))];
    assert_eq!(find_breaches(&nacked, &events, BOUND), [stale_server(1000)]);
    let resent = [
        connected.clone(),
        received(1, rejected(view(Routes, "e.3", &[]))),
        received(2, view(Routes, "e.3", &[])),
    ];
    let breach = Breach::ResentVersion { client: "a".into(), version: "e.3".into() };
    assert_eq!(find_breaches(&resent, &[], BOUND), [breach]);
    let older = [
        received(1, view(Routes, "e.3", &[])),
        received(2, view(Routes, "e.2", &[])),
        received(3, view(Routes, "f.1", &[])),
    ];
    let breach = Breach::OlderVersion {
        client: "a".into(),
        resource_type: Routes,
        newer: "e.3".into(),
        older: "e.2".into(),
    };
    assert_eq!(find_breaches(&older, &[], BOUND), [breach]);
    let malformed = [received(1, view(Routes, "new", &[]))];
    let breach = Breach::MalformedVersion { client: "a".into(), version: "new".into() };
    assert_eq!(find_breaches(&malformed, &[], BOUND), [breach]);
    let purge = [feed_event(100, FeedChange::Purged { what: "o".into(), at_ms: 7 })];
    let mut routes = view(Routes, "e.4", &[]);
    let missed = Breach::MissedPurge { client: "a".into(), what: "o".into() };
    assert_eq!(find_breaches(&[connected.clone(), received(150, routes.clone())], &purge, BOUND), [missed]);
    routes.newer_than_ms.insert("o".into(), 8);
    assert_eq!(find_breaches(&[connected, received(150, routes)], &purge, BOUND), []);
}

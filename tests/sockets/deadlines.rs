//! A client's remaining time: each attempt carries it to the server as its limit, computed when the attempt is
//! written, and the final answer arrives before it ends.

use crate::admission::{open_descriptors, set_descriptor_limit};
use crate::stand_ins::*;
use crate::thrift_front::{request, request_within, served, Client, Reply};
use std::time::{Duration, Instant};

/// An attempt's limit may exceed its client's remaining time by this much.
const TOLERANCE: Duration = Duration::from_millis(150);

/// Returns the time that an attempt allows its server.
fn attempt_limit(got: &ReceivedLine) -> Duration {
    Duration::from_millis(got.field("limit").expect("field `limit`").parse().expect("a number"))
}

/// With servers that answer nothing, each request gets its final answer when its client's time ends, and no attempt
/// carries a longer limit.
#[test]
fn requests_dropped_by_servers_are_answered_in_time() {
    let (cache, parent) = (Cache::new("s-00000001"), Cache::new("s-0000000p"));
    let proxy = Proxy::start("little-time", &[&cache, &parent], str::to_owned, &[]);
    let mut client = Client::new(&proxy);
    for (seqid, (patience, route)) in (1..).zip([
        (1, "replay"),
        (12, "replay"),
        (13, "result"),
        (40, "replay"),
        (40, "result"),
        (150, "replay"),
    ]) {
        let since = Instant::now();
        client.send(&request_within(seqid, route, patience));
        let (answered, reply) = client.reply();
        assert_eq!(answered, seqid);
        assert!(matches!(reply, Reply::Refused { .. } | Reply::Failed), "{patience} ms: {reply:?}");
        let patience = Duration::from_millis(patience.into());
        assert!(since.elapsed() < patience + Duration::from_millis(500), "{:?}", since.elapsed());
        while let Some(got) = cache.try_next_line().or_else(|| parent.try_next_line()) {
            if got.words[0] == "fetch" {
                assert!(attempt_limit(&got) <= patience, "{:?} of {patience:?}", got.words);
            }
        }
    }
}

/// While no connection can be accepted, a request waits in the system's queue. It then has less time left than it
/// states, and the limit of its attempt must take this into account.
#[test]
fn attempt_limit_counts_time_waiting_for_accept() {
    let (cache, parent) = (Cache::new("s-00000001"), Cache::new("s-0000000p"));
    let proxy = Proxy::start("waited", &[&cache, &parent], str::to_owned, &[]);
    let mut first = Client::new(&proxy);
    first.send(&request(1, "replay"));
    cache.next_line().answer("200", "ver=a", b"x");
    assert_eq!(first.reply(), (1, served(b"x")));
    set_descriptor_limit(&proxy, open_descriptors(&proxy) - 2);
    let mut client = Client::new(&proxy);
    let since = Instant::now();
    client.send(&request_within(2, "replay", 3000));
    proxy.wait_for_log("accept: ");
    std::thread::sleep(Duration::from_millis(600));
    set_descriptor_limit(&proxy, 1024);
    let mut got = cache.next_line();
    let left = Duration::from_millis(3000).saturating_sub(since.elapsed());
    assert!(attempt_limit(&got) <= left + TOLERANCE, "{:?} with {left:?} left", attempt_limit(&got));
    got.answer("200", "ver=a", b"y");
    assert_eq!(client.reply(), (2, served(b"y")));
}

/// A retry carries the time that is left after the first attempt.
#[test]
fn retry_limit_counts_time_of_first_attempt() {
    let caches = [Cache::new("s-00000001"), Cache::new("s-00000002")];
    let parent = Cache::new("s-0000000p");
    let proxy = Proxy::start("retry-limit", &[&caches[0], &caches[1], &parent], str::to_owned, &[]);
    let mut client = Client::new(&proxy);
    let since = Instant::now();
    client.send(&request_within(1, "replay", 3000));
    let next = || loop {
        match caches.iter().find_map(Cache::try_next_line) {
            Some(got) if got.words[0] == "fetch" => break got,
            _ => std::thread::yield_now(),
        }
    };
    let mut first = next();
    std::thread::sleep(Duration::from_millis(300));
    first.answer("503", "-", b"");
    let mut second = next();
    let left = Duration::from_millis(3000).saturating_sub(since.elapsed());
    assert!(attempt_limit(&second) <= left + TOLERANCE, "{:?} with {left:?} left", attempt_limit(&second));
    second.answer("200", "ver=a", b"x");
    assert_eq!(client.reply(), (1, served(b"x")));
}

/// Each request gets its answer although other clients misbehave, a server hangs and the feed sends an invalid event.
#[test]
fn other_clients_and_feed_faults_do_not_affect_answers() {
    let (cache, parent) = (Cache::new("s-00000001"), Cache::new("s-0000000p"));
    let proxy = Proxy::start("elsewhere", &[&cache, &parent], str::to_owned, &[]);
    let mut client = Client::new(&proxy);
    client.send(&request_within(1, "result", 1500));
    let mut write = cache.next_line();
    client.send(&request_within(2, "replay", 300));
    let hanging = cache.next_line();
    for n in 0..50 {
        let mut other = Client::new(&proxy);
        match n % 3 {
            0 => other.send(&[0xff; 64]),
            1 => other.send(&request(100 + n, "replay")),
            _ => other.send(&request(100 + n, "replay")[..20]),
        }
    }
    proxy.feed.publish("\"nonsense\":true");
    let (seqid, reply) = client.reply();
    assert_eq!(seqid, 2);
    assert!(matches!(reply, Reply::Refused { .. } | Reply::Failed), "{reply:?}");
    drop(hanging);
    write.answer("200", "ver=a", b"ran");
    assert_eq!(client.reply(), (1, served(b"ran")));
}

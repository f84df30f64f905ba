//! The operators' door: its calls and the figures.

use crate::platform::{request, served, Client, Reply};
use crate::stand_ins::*;
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::SocketAddr;

/// A proxy of one cache with a door, and the door's address.
fn door(name: &str, change: impl Fn(&str) -> String) -> (Cache, Cache, Proxy, SocketAddr) {
    let (cache, parent) = (Cache::new("s-00000001"), Cache::new("s-0000000p"));
    let opened = |text: &str| change(text).replacen('{', "{\"admin\":\"127.0.0.1:0\",", 1);
    let proxy = Proxy::start(name, &[&cache, &parent], opened, &[]);
    let addr = proxy.logged("operators are answered on ").parse().expect("an address");
    (cache, parent, proxy, addr)
}

/// What a call is answered: the status, and the body.
pub fn call(proxy: &Proxy, addr: SocketAddr, text: &str) -> (u16, String) {
    let mut stream = proxy.connect(addr);
    stream.write_all(text.as_bytes()).expect("written");
    let mut answer = String::new();
    stream.read_to_string(&mut answer).expect("an answer, and the end of the connection");
    let status = answer.split(' ').nth(1).expect("a status").parse().expect("a number");
    (status, answer.split_once("\r\n\r\n").expect("a body").1.to_owned())
}

pub fn get(proxy: &Proxy, addr: SocketAddr, path: &str) -> (u16, String) {
    call(proxy, addr, &format!("GET {path} HTTP/1.1\r\nHost: door\r\n\r\n"))
}

pub fn stats(proxy: &Proxy, addr: SocketAddr) -> BTreeMap<String, u64> {
    let (status, body) = get(proxy, addr, "/stats");
    assert_eq!(status, 200);
    let pair = |line: &str| line.split_once('=').map(|(key, value)| (key.to_owned(), value.parse().ok()));
    body.lines()
        .map(|line| pair(line).and_then(|(key, value)| Some((key, value?))).expect("key=value"))
        .collect()
}

fn figures<const N: usize>(proxy: &Proxy, addr: SocketAddr, keys: [&str; N]) -> [u64; N] {
    let stats = stats(proxy, addr);
    keys.map(|key| *stats.get(key).unwrap_or_else(|| panic!("no {key} in {stats:?}")))
}

#[test]
fn each_final_answer_and_each_attempt_to_a_cache_counts_once() {
    let (cache, parent, proxy, addr) = door("figures", str::to_owned);
    assert_eq!(get(&proxy, addr, "/healthcheck").0, 200);
    let mut client = Client::new(&proxy);
    client.send(&request(1, "replay"));
    cache.next().answer("200", "ver=a", b"x");
    assert_eq!(client.reply(), (1, served(b"x")));
    client.send(&request(2, "result"));
    cache.next().answer("500", "-", b"");
    assert_eq!(client.reply(), (2, Reply::Failed));
    // More than may be open: the last one is refused before the core hears of it.
    for seqid in 3..=35 {
        client.send(&request(seqid, "replay"));
    }
    assert_eq!(client.reply(), (35, Reply::Refused { pause: true }));
    let mut open: Vec<Got> = (3..35).map(|_| cache.next()).collect();
    let keys = ["replies.replay.success", "replies.replay.overload", "replies.result.error", "concurrent"];
    assert_eq!(figures(&proxy, addr, keys), [1, 1, 1, 32]);
    let keys = ["dispatches", "replies.replay.dispatches", "replies.result.dispatches"];
    assert_eq!(figures(&proxy, addr, keys), [34, 33, 1]);
    // What a client abandons counts nowhere.
    drop(client);
    open.drain(..).for_each(|mut got| got.answer("200", "ver=a", b"late"));
    proxy.logged("end=peer-closed");
    let keys = ["replies.replay.success", "replies.replay.error", "concurrent"];
    assert_eq!(figures(&proxy, addr, keys), [1, 0, 0]);
    let mut client = Client::new(&proxy);
    client.send(&request(99, "unheard-of"));
    assert_eq!(client.reply(), (99, Reply::Exception));
    assert_eq!(figures(&proxy, addr, ["targets", "targets_disabled"]), [1, 0]);
    proxy.feed.tell(&members(false, &[host(&cache, "draining")]));
    proxy.logged("event 2: ");
    assert_eq!(figures(&proxy, addr, ["targets", "targets_disabled"]), [1, 1]);
    assert_eq!(parent.rest(), [""; 0], "attempts go by the cache");
}

#[test]
fn callers_that_sit_on_connections_keep_no_answer_from_the_next() {
    let (_cache, _parent, proxy, addr) = door("callers", str::to_owned);
    let sitting: Vec<_> = (0..40)
        .map(|i| {
            let mut stream = proxy.connect(addr);
            stream.write_all(if i % 2 == 0 { b"" } else { b"GET /stats HTTP/1.1\r\nHo" }).expect("written");
            stream
        })
        .collect();
    assert_eq!(get(&proxy, addr, "/healthcheck"), (200, "ok\n".into()));
    assert_eq!(get(&proxy, addr, "/elsewhere").0, 404);
    assert_eq!(call(&proxy, addr, "POST /stats HTTP/1.1\r\nHost: h\r\n\r\n").0, 405);
    assert_eq!(call(&proxy, addr, "nonsense\r\n\r\n").0, 400);
    drop(sitting);
    proxy.logged("role=Admin");
}

#[test]
fn one_that_stops_says_no() {
    let (cache, _parent, mut proxy, addr) = door("door-stops", str::to_owned);
    let mut client = Client::new(&proxy);
    client.send(&request(1, "replay"));
    let mut open = cache.next();
    proxy.signal("-TERM");
    proxy.logged("stopping");
    assert_eq!(get(&proxy, addr, "/healthcheck").0, 503);
    assert_eq!(figures(&proxy, addr, ["concurrent"]), [1]);
    open.answer("200", "ver=a", b"x");
    assert_eq!(client.reply(), (1, served(b"x")));
    assert!(proxy.child.wait().expect("an end").success());
}

//! The Thrift front, through which the platform's clients send requests.

use crate::stand_ins::*;
use std::io::{Error, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::Command;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

/// A client of the Thrift front.
pub struct Client(pub TcpStream);

/// The outcome of a reply.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    Served { body: Vec<u8>, current: bool },
    Refused { pause: bool },
    Failed,
    Exception,
    Pong(bool),
}

/// Encodes a string with its length.
fn thrift_string(text: &str) -> Vec<u8> {
    [&(text.len() as i32).to_be_bytes()[..], text.as_bytes()].concat()
}

/// Encodes a framed message; `kind` is the Thrift message type.
pub fn message(kind: u8, name: &str, seqid: i32, arguments: &[u8]) -> Vec<u8> {
    let head =
        [&[0x80, 1, 0, kind][..], &thrift_string(name), &seqid.to_be_bytes(), arguments, &[0]].concat();
    [&(head.len() as i32).to_be_bytes()[..], &head].concat()
}

/// Encodes a call of `invoke` with a map of fields and a body.
pub fn invoke(seqid: i32, fields: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut map = [&[13, 0, 1, 11, 11][..], &(fields.len() as i32).to_be_bytes()].concat();
    fields.iter().for_each(|(name, value)| map.extend([thrift_string(name), thrift_string(value)].concat()));
    map.extend([&[11, 0, 2][..], &(body.len() as i32).to_be_bytes(), body].concat());
    message(1, "invoke", seqid, &map)
}

/// Encodes the cancellation of request `target`.
pub fn cancel(seqid: i32, target: i32) -> Vec<u8> {
    message(4, "abort", seqid, &[&[8, 0, 1][..], &target.to_be_bytes()].concat())
}

/// Returns the trace ID that [`request`] gives request `seqid`.
pub fn trace(seqid: i32) -> String {
    format!("{:016x}", 0x1b1f_0000 + seqid)
}

/// Encodes a request whose client waits 4 s.
pub fn request(seqid: i32, route: &str) -> Vec<u8> {
    request_within(seqid, route, 4000)
}

/// Encodes a request whose client waits `patience` ms. Requests of route `result` are writes.
pub fn request_within(seqid: i32, route: &str, patience: u32) -> Vec<u8> {
    let (trace, patience) = (trace(seqid), patience.to_string());
    let fields = [
        ("route", route),
        ("trace", &trace),
        ("patience", &patience),
        ("entity", "7f3a9c21e0b4d655"),
        ("slice", "0"),
        ("set", "17"),
        ("of a later version", "x"),
    ];
    invoke(seqid, &fields, if route == "result" { b"won" } else { b"" })
}

fn request_with_oversized_body(seqid: i32) -> Vec<u8> {
    let trace = trace(seqid);
    let fields =
        [("route", "result"), ("trace", &trace[..]), ("patience", "4000"), ("entity", "7f3a9c21e0b4d655")];
    invoke(seqid, &fields, &[1; 48_001])
}

impl Client {
    pub fn new(proxy: &Proxy) -> Self {
        Client(proxy.connect(proxy.addr))
    }

    pub fn send(&mut self, bytes: &[u8]) {
        self.0.write_all(bytes).expect("write to the connection");
    }

    fn read_array<const N: usize>(&mut self) -> [u8; N] {
        let mut bytes = [0; N];
        self.0.read_exact(&mut bytes).expect("read from the connection");
        bytes
    }

    pub fn reply(&mut self) -> (i32, Reply) {
        let mut frame = vec![0; i32::from_be_bytes(self.read_array()) as usize];
        self.0.read_exact(&mut frame).expect("read a frame");
        let name = i32::from_be_bytes(frame[4..8].try_into().expect("4 bytes")) as usize;
        let (kind, rest) = (frame[3], &frame[8 + name..]);
        let seqid = i32::from_be_bytes(rest[..4].try_into().expect("4 bytes"));
        let rest = &rest[4..];
        let has = |word: &[u8]| rest.windows(word.len()).any(|part| part == word);
        let reply = match (kind, &rest[..3]) {
            (3, _) => Reply::Exception,
            (_, [12, 0, 0]) if &frame[8..8 + name] == b"ping" => Reply::Pong(rest[rest.len() - 3] == 1),
            (_, [12, 0, 0]) => {
                let length = i32::from_be_bytes(rest[6..10].try_into().expect("4 bytes")) as usize;
                Reply::Served { body: rest[10..10 + length].to_vec(), current: has(b"current\0\0\0\x011") }
            }
            (_, [12, 0, 1]) => Reply::Refused { pause: has(b"pause") },
            (_, [12, 0, 2]) => Reply::Failed,
            other => panic!("not a reply: {other:?}"),
        };
        (seqid, reply)
    }

    pub fn ping(&mut self, seqid: i32) -> bool {
        self.send(&message(1, "ping", seqid, &[2, 0, 1, 0]));
        self.reply() == (seqid, Reply::Pong(true))
    }

    pub fn is_closed(&mut self) -> bool {
        let mut rest = Vec::new();
        matches!(self.0.read_to_end(&mut rest), Ok(0) | Err(_))
    }
}

pub fn served(body: &[u8]) -> Reply {
    Reply::Served { body: body.to_vec(), current: false }
}

fn unchanged(settings: &str) -> String {
    settings.to_owned()
}

fn start_with_two_caches(name: &str) -> (Cache, Cache, Cache, Proxy) {
    let (one, two, parent) = (Cache::new("s-00000001"), Cache::new("s-00000002"), Cache::new("s-0000000p"));
    let proxy = Proxy::start(name, &[&one, &two, &parent], unchanged, &[]);
    (one, two, parent, proxy)
}

fn start_with_one_cache(name: &str) -> (Cache, Cache, Proxy) {
    let (cache, parent) = (Cache::new("s-00000001"), Cache::new("s-0000000p"));
    let proxy = Proxy::start(name, &[&cache, &parent], unchanged, &[]);
    (cache, parent, proxy)
}

#[test]
fn read_is_forwarded_and_body_returned_unchanged() {
    let (cache, _parent, proxy) = start_with_one_cache("read");
    let mut client = Client::new(&proxy);
    client.send(&request(1, "replay"));
    let mut got = cache.next_line();
    assert_eq!(got.words[1], trace(1));
    let fields = ["cls", "item", "chunk", "from"].map(|name| got.field(name).expect("a field").to_owned());
    assert_eq!(fields, ["replay", "7f3a9c21e0b4d655", "0", "s-0000000p"]);
    let body: Vec<u8> = (0..240_000).map(|i| (i % 251) as u8).collect();
    got.answer("200", "ver=a1,born=5,tell=local,meter=rif:3", &body);
    assert_eq!(client.reply(), (1, served(&body)));
}

#[test]
fn answers_come_in_any_order_and_304_has_no_body() {
    let (cache, _parent, proxy) = start_with_one_cache("order");
    let mut client = Client::new(&proxy);
    client.send(&[request(1, "replay"), request(2, "replay")].concat());
    let (mut one, mut two) = (cache.next_line(), cache.next_line());
    two.answer("304", "ver=a1,born=5", b"");
    assert_eq!(client.reply(), (2, Reply::Served { body: vec![], current: true }));
    one.answer("200", "ver=a1", b"x");
    assert_eq!(client.reply(), (1, served(b"x")));
}

#[test]
fn write_on_broken_connection_fails_and_is_not_retried() {
    let (one, two, _parent, proxy) = start_with_two_caches("write");
    let mut client = Client::new(&proxy);
    client.send(&request(1, "result"));
    let mut got = next_line_of_either(&one, &two);
    assert_eq!(got.body, b"won");
    got.close_connection();
    assert_eq!(client.reply(), (1, Reply::Failed));
    assert!(client.ping(2), "the edge proxy still answers");
    assert_eq!(one.unread_lines().len() + two.unread_lines().len(), 0);
}

#[test]
fn read_with_truncated_answer_is_retried() {
    let (one, two, _parent, proxy) = start_with_two_caches("break");
    let mut client = Client::new(&proxy);
    client.send(&request(1, "replay"));
    let mut first = next_line_of_either(&one, &two);
    first.answer_half_and_close(&[1; 1000]);
    next_line_of_either(&one, &two).answer("200", "ver=b", b"whole");
    assert_eq!(client.reply(), (1, served(b"whole")), "nothing of the truncated answer is passed on");
}

/// After a malformed answer a connection is closed, and all requests that are open on it end. If reads and writes
/// shared connections, a malformed answer to a read would fail a write.
#[test]
fn malformed_answer_to_read_does_not_fail_open_write() {
    let spoilt: [&[u8]; 5] = [
        b"\xff\xfe\x00noise \r\n",
        b"7 200 ver=a 3000000000\r\nxx",
        b"7 2x0 ver=a 2\r\nxx\r\n",
        b"7 200 ver=a 0\r\nbytes\r\n",
        &[b'x'; 8192],
    ];
    let (cache, _parent, proxy) = start_with_one_cache("spoilt");
    let mut client = Client::new(&proxy);
    for (i, noise) in (0..).zip(spoilt) {
        let (write, read) = (2 * i + 1, 2 * i + 2);
        client.send(&request(write, "result"));
        let mut open = cache.next_line();
        client.send(&request(read, "replay"));
        let mut first = cache.next_line();
        assert_eq!(first.words[1], trace(read));
        let text = noise.strip_prefix(b"7").map(|rest| [trace(read).as_bytes(), rest].concat());
        first.answer_raw(&text.unwrap_or(noise.to_vec()));
        let mut again = cache.next_line();
        assert_eq!(
            (&again.words[0][..], &again.words[1]),
            ("fetch", &trace(read)),
            "{i}: the read is retried"
        );
        again.answer("200", "ver=a", b"whole");
        assert_eq!(client.reply(), (read, served(b"whole")), "{i}");
        open.answer("200", "ver=a", b"ran");
        assert_eq!(client.reply(), (write, served(b"ran")), "{i}");
        // Without good answers in between, the cache would be ejected for a while.
        for seqid in 100 * (i + 1)..100 * (i + 1) + 8 {
            client.send(&request(seqid, "replay"));
            cache.next_line().answer("200", "ver=a", b"x");
            assert_eq!(client.reply(), (seqid, served(b"x")));
        }
    }
}

fn next_line_of_either(one: &Cache, two: &Cache) -> ReceivedLine {
    loop {
        if let Some(got) = one.try_next_line().or_else(|| two.try_next_line()) {
            return got;
        }
        std::thread::yield_now();
    }
}

#[test]
fn write_is_refused_when_connection_is_refused() {
    let parent = Cache::new("s-0000000p");
    let closed = Cache { addr: "127.0.0.1:1".parse().expect("a valid address"), ..Cache::new("s-00000001") };
    let proxy = Proxy::start("refused", &[&closed, &parent], unchanged, &[]);
    let mut client = Client::new(&proxy);
    client.send(&request(1, "result"));
    assert_eq!(client.reply(), (1, Reply::Refused { pause: true }));
}

#[test]
fn cancel_aborts_fill_and_late_answer_is_dropped() {
    let (cache, _parent, proxy) = start_with_one_cache("abort");
    let mut client = Client::new(&proxy);
    client.send(&request(1, "replay"));
    let mut got = cache.next_line();
    client.send(&cancel(2, 1));
    assert_eq!(cache.next_line().words, ["abort", &trace(1)]);
    got.answer("200", "ver=a", b"late");
    client.send(&request(3, "replay"));
    cache.next_line().answer("200", "ver=a", b"x");
    assert_eq!(client.reply(), (3, served(b"x")));
}

#[test]
fn client_close_aborts_its_request() {
    let (cache, _parent, proxy) = start_with_one_cache("close");
    let mut client = Client::new(&proxy);
    client.send(&request(1, "replay"));
    let _got = cache.next_line();
    drop(client);
    assert_eq!(cache.next_line().words, ["abort", &trace(1)]);
    assert!(proxy.wait_for_log("end=").starts_with("peer-closed"));
}

#[test]
fn draining_cache_gets_no_new_requests() {
    let (one, two, _parent, proxy) = start_with_two_caches("drain");
    let mut client = Client::new(&proxy);
    client.send(&request(1, "replay"));
    let mut first = next_line_of_either(&one, &two);
    let (drained, other) = if first.cache_name == one.name { (&one, &two) } else { (&two, &one) };
    proxy.feed.publish(&members_event(false, &[host_entry(drained, "draining")]));
    proxy.wait_for_log("is Draining");
    first.answer("200", "ver=a", b"x");
    assert_eq!(client.reply(), (1, served(b"x")), "the draining cache finishes its open request");
    for seqid in 2..6 {
        client.send(&request(seqid, "replay"));
        other.next_line().answer("200", "ver=a", b"y");
        assert_eq!(client.reply(), (seqid, served(b"y")));
    }
    assert_eq!(drained.unread_lines(), Vec::<String>::new());
}

#[test]
fn purge_limits_age_of_requested_copies() {
    let (cache, _parent, proxy) = start_with_one_cache("purge");
    let mut client = Client::new(&proxy);
    let now =
        std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).expect("the time is after 1970");
    let at = now.as_millis() - 1500;
    proxy.feed.publish(&format!(r#""purge":{{"group":17,"at":{at}}}"#));
    // Events are applied in order, so once the next event is logged the purge has been applied.
    proxy.feed.publish(&members_event(false, &[host_entry(&cache, "up")]));
    proxy.wait_for_log("event 3: ");
    client.send(&request(1, "replay"));
    let got = cache.next_line();
    let oldest: u128 = got.field("oldest").expect("field `oldest`").parse().expect("a number");
    let since = now.as_millis() - at;
    assert!((since..since + TEST_TIMEOUT.as_millis()).contains(&oldest), "{oldest}");
}

#[test]
fn reused_address_closes_connections_of_old_server() {
    let (cache, _parent, proxy) = start_with_one_cache("reuse");
    let mut client = Client::new(&proxy);
    client.send(&request(1, "result"));
    let _got = cache.next_line();
    let new_server = Cache { addr: cache.addr, ..Cache::new("s-00000009") };
    proxy.feed.publish(&members_event(false, &[host_entry(&new_server, "up")]));
    cache.wait_for_closed_connection();
    assert_eq!(client.reply(), (1, Reply::Failed), "the write may have run on the old server");
}

#[test]
fn idle_cache_connection_is_closed_first_by_proxy() {
    let (cache, parent) = (Cache::new("s-00000001"), Cache::new("s-0000000p"));
    let short = |settings: &str| settings.replace("\"conn_idle\": 15000.0", "\"conn_idle\": 100.0");
    let proxy = Proxy::start("idle", &[&cache, &parent], short, &[]);
    let mut client = Client::new(&proxy);
    client.send(&request(1, "replay"));
    cache.next_line().answer("200", "ver=a", b"x");
    assert_eq!(client.reply(), (1, served(b"x")));
    cache.wait_for_closed_connection();
    assert!(proxy.wait_for_log("end=").starts_with("idle"));
}

#[test]
fn exhausted_memory_budget_refuses_new_requests_then_recovers() {
    let (cache, parent) = (Cache::new("s-00000001"), Cache::new("s-0000000p"));
    let small = |config: &str| config.replace("\"memory_mb\":192", "\"memory_mb\":1");
    let proxy = Proxy::start("full", &[&cache, &parent], small, &[]);
    let mut client = Client::new(&proxy);
    let mut seqid = 0;
    // Sends requests until the reply is the wanted one, since the order is not known in which the edge proxy reads
    // what other clients have written or closed.
    let mut until = |wanted: Reply| loop {
        seqid += 1;
        client.send(&request(seqid, "replay"));
        client.0.set_read_timeout(Some(std::time::Duration::from_millis(5))).expect("set the read timeout");
        while client.0.peek(&mut [0]).is_err() {
            if let Some(mut got) = cache.try_next_line() {
                got.answer("200", "ver=a", b"x");
            }
        }
        client.0.set_read_timeout(Some(TEST_TIMEOUT)).expect("set the read timeout");
        if client.reply() == (seqid, wanted.clone()) {
            break;
        }
    };
    until(served(b"x"));
    let frame = invoke(1, &[("route", "result")], &[1; 60_000]);
    let unfinished = [(); 6].map(|()| {
        let mut other = Client::new(&proxy);
        other.send(&frame[..frame.len() - 1]);
        other
    });
    until(Reply::Refused { pause: true });
    drop(unfinished);
    until(served(b"x"));
}

#[test]
fn trace_id_of_open_request_is_not_accepted_twice() {
    let (cache, _parent, proxy) = start_with_one_cache("same-id");
    let mut client = Client::new(&proxy);
    let again = |seqid, entity| {
        let trace = trace(1);
        let fields = [("route", "replay"), ("trace", &trace), ("patience", "4000"), ("entity", entity)];
        invoke(seqid, &fields, b"")
    };
    client.send(&[again(1, "7f3a9c21e0b4d655"), again(2, "7f3a9c21e0b4d656")].concat());
    let mut first = cache.next_line();
    assert_eq!(
        client.reply(),
        (2, Reply::Exception),
        "a cache could not tell two requests with one trace ID apart"
    );
    first.answer("200", "ver=a", b"x");
    assert_eq!(client.reply(), (1, served(b"x")));
    client.send(&again(3, "7f3a9c21e0b4d656"));
    cache.next_line().answer("200", "ver=a", b"y");
    assert_eq!(
        client.reply(),
        (3, served(b"y")),
        "the trace ID may be used again once its request is answered"
    );
}

/// Guards against a former fault: when hundreds of clients left at once, their cancelled requests made every
/// connection to a cache count as silent.
#[test]
fn cancelled_requests_do_not_mark_cache_connection_silent() {
    let (cache, _parent, proxy) = start_with_one_cache("withdrawn");
    let mut client = Client::new(&proxy);
    client.send(&request(1, "replay"));
    let mut open = cache.next_line();
    for seqid in 2..=6 {
        client.send(&request(seqid, "replay"));
        let _unanswered = cache.next_line();
        client.send(&cancel(100 + seqid, seqid));
        assert_eq!(cache.next_line().words[0], "abort");
    }
    open.answer("200", "ver=a", b"ran");
    assert_eq!(client.reply(), (1, served(b"ran")));
    client.send(&request(7, "replay"));
    cache.next_line().answer("200", "ver=a", b"x");
    assert_eq!(client.reply(), (7, served(b"x")));
    assert!(cache.closed_connections.try_recv().is_err(), "no connection to the cache is closed");
}

/// A client that sends nothing, or only part of a message, must be closed within 3 s without doing anything itself. One
/// that has sent a whole message may be idle for longer.
#[test]
fn silent_and_stalled_clients_are_closed_but_not_idle_ones() {
    let (_cache, _parent, proxy) = start_with_one_cache("half");
    let (mut idle, mut mute, mut half) = (Client::new(&proxy), Client::new(&proxy), Client::new(&proxy));
    assert!(idle.ping(1));
    assert!(half.ping(1));
    half.send(&request(2, "replay")[..20]);
    assert!(half.is_closed() && mute.is_closed());
    assert!(idle.ping(2), "the client that has sent a whole message is still connected");
}

/// A flood of connections that send nothing must not keep out a client with a request.
#[test]
fn idle_connection_flood_does_not_block_requests() {
    let (cache, parent) = (Cache::new("s-00000001"), Cache::new("s-0000000p"));
    let low_socket_limit = |config: &str| config.replace("\"sockets\":1024", "\"sockets\":64");
    let proxy = Proxy::start("flood", &[&cache, &parent], low_socket_limit, &[]);
    let mut old = Client::new(&proxy);
    old.send(&request(1, "replay"));
    let mut open = cache.next_line();
    let mut idle = Client::new(&proxy);
    assert!(idle.ping(1));
    let flood: Vec<Client> = (0..100).map(|_| Client::new(&proxy)).collect();
    let mut new = Client::new(&proxy);
    assert!(new.ping(1) && idle.ping(2));
    open.answer("200", "ver=a", b"x");
    assert_eq!(old.reply(), (1, served(b"x")));
    drop(flood);
}

/// A client that sends as fast as it can must not take all of the event loop's time: other clients are served in
/// between.
#[test]
fn fast_client_does_not_starve_others() {
    let (_cache, _parent, proxy) = start_with_one_cache("turns");
    let mut fast = Client::new(&proxy);
    let mut slow = Client::new(&proxy);
    let many: Vec<u8> = (1..=400).flat_map(|seqid| invoke(seqid, &[("route", "x")], b"")).collect();
    fast.send(&many);
    assert!(slow.ping(1));
    for seqid in 1..=400 {
        assert_eq!(fast.reply(), (seqid, Reply::Exception), "every request of the fast client is answered");
    }
}

/// Closing a connection with unread bytes of the client makes the system send a reset, which can discard an answer
/// that the client has not read. The connection must be closed gracefully.
#[test]
fn answer_before_close_is_not_lost_to_reset() {
    let (cache, _parent, proxy) = start_with_one_cache("linger");
    let mut client = Client::new(&proxy);
    client.send(&request(1, "replay"));
    cache.next_line().answer("200", "ver=a", &[7; 200_000]);
    let huge = [&(60_000_000i32).to_be_bytes()[..], &[0; 100_000]].concat();
    client.send(&huge);
    proxy.wait_for_log("closing gracefully: oversize");
    assert_eq!(client.reply(), (1, served(&[7; 200_000])));
    assert!(client.is_closed());
}

#[test]
fn more_than_32_open_requests_are_refused() {
    let (cache, _parent, proxy) = start_with_one_cache("many");
    let mut client = Client::new(&proxy);
    for seqid in 1..=33 {
        client.send(&request(seqid, "result"));
    }
    let mut open: Vec<ReceivedLine> = (1..=32).map(|_| cache.next_line()).collect();
    assert_eq!(client.reply(), (33, Reply::Refused { pause: true }));
    // The writes use several connections, and the cache hands out the lines of different connections in any order.
    let fifth = open.iter_mut().find(|got| got.words[1] == trace(5)).expect("request 5 is forwarded");
    fifth.answer("200", "ver=a", b"ran");
    assert_eq!(client.reply(), (5, served(b"ran")));
    assert_eq!(cache.unread_lines(), Vec::<String>::new());
}

#[test]
fn malformed_input_gets_exception_or_close() {
    let (_cache, _parent, proxy) = start_with_one_cache("hostile");
    let bad_text =
        invoke(5, &[("route", "x")], b"").iter().map(|b| if *b == b'x' { 0xff } else { *b }).collect();
    let wild = message(1, "invoke", 5, &[14, 0, 9, 3, 0x7f, 0xff, 0xff, 0xff]);
    let deep = message(1, "ping", 5, &[12, 0, 1].repeat(400));
    let answered: [(Vec<u8>, &str); 8] = [
        (message(1, "nonsense", 5, &[]), "an unknown method"),
        (bad_text, "bad UTF-8"),
        (invoke(5, &[("route", "x")], b""), "fields that are missing"),
        (message(1, "invoke", 5, &[]), "no arguments"),
        (wild, "a count beyond the frame"),
        (deep, "endless nesting"),
        (message(1, "invoke", 5, &[8, 0, 1, 0, 0, 0, 1]), "a field of another type"),
        (request_with_oversized_body(5), "a body that is too long"),
    ];
    for (bytes, what) in answered {
        let mut client = Client::new(&proxy);
        client.send(&bytes);
        assert_eq!(client.reply(), (5, Reply::Exception), "{what}");
        assert!(client.ping(6), "{what}");
    }
    let closed: [(Vec<u8>, &str); 7] = [
        ((-1i32).to_be_bytes().to_vec(), "bad-message"),
        (i32::MAX.to_be_bytes().to_vec(), "oversize"),
        (vec![0, 0, 0, 4, 1, 2, 3, 4], "bad-message"),
        (vec![0, 0, 0, 0], "bad-message"),
        ([&[0, 0, 0, 8, 0x80, 1, 0, 1][..], &i32::MAX.to_be_bytes()].concat(), "bad-message"),
        (message(4, "abort", 5, &[]), "bad-message"),
        ([request(7, "replay"), request(7, "replay")].concat(), "duplicate-seqid"),
    ];
    for (bytes, code) in closed {
        let mut client = Client::new(&proxy);
        client.send(&bytes);
        assert!(client.is_closed(), "{code}");
        proxy.wait_for_log(&format!("end={code} "));
    }
    assert!(Client::new(&proxy).ping(1));
}

#[test]
fn sigterm_answers_open_and_new_requests() {
    let (cache, _parent, mut proxy) = start_with_one_cache("term");
    let mut old = Client::new(&proxy);
    old.send(&request(1, "replay"));
    let mut open = cache.next_line();
    proxy.signal("-TERM");
    proxy.wait_for_log("stopping");
    let mut new = Client::new(&proxy);
    new.send(&request(2, "replay"));
    cache.next_line().answer("200", "ver=a", b"new");
    assert_eq!(new.reply(), (2, served(b"new")));
    open.answer("200", "ver=a", b"old");
    assert_eq!(old.reply(), (1, served(b"old")));
    assert!(proxy.child.wait().expect("wait for the exit").success());
}

/// Starts a feed at another address that continues the same event numbers, and configures it for the next reload.
fn move_feed(proxy: &Proxy, hosts: &[String]) -> Feed {
    let next = Feed::default();
    next.publish(&members_event(true, hosts));
    let addr = next.serve();
    proxy.rewrite_config(|text| {
        let (before, rest) = text.split_once("\"feed\":\"").expect("an entry for the feed");
        format!("{before}\"feed\":\"{addr}{}", &rest[rest.find('"').expect("a closing quote")..])
    });
    next
}

#[test]
fn sighup_moves_feed_without_disturbing_requests() {
    let (cache, parent, mut proxy) = start_with_one_cache("hup");
    let hosts = [host_entry(&cache, "up"), host_entry(&parent, "up")];
    let mut client = Client::new(&proxy);
    client.send(&request(1, "result"));
    let mut open = cache.next_line();
    let second = move_feed(&proxy, &hosts);
    proxy.signal("-HUP");
    proxy.wait_for_log("reloaded: feed ");
    second.publish(&members_event(false, &hosts));
    proxy.wait_for_log("event 2: "); // published only by the feed at the new address
    proxy.rewrite_config(|text| text[1..].to_owned());
    proxy.signal("-HUP");
    proxy.wait_for_log("the old configuration stays");
    second.publish(&members_event(false, &hosts));
    proxy.wait_for_log("event 3: ");
    proxy.rewrite_config(|text| format!("{{{}", text.replace("\"my_zone\": 1", "\"my_zone\": 0")));
    proxy.signal("-HUP");
    assert!(proxy
        .wait_for_log("reloaded: feed ")
        .ends_with("the other changes take effect at the next start"));
    proxy.signal("-TERM");
    proxy.wait_for_log("stopping");
    let third = move_feed(&proxy, &[hosts.to_vec(), hosts.to_vec()].concat());
    proxy.signal("-HUP");
    proxy.wait_for_log("reloaded: feed ");
    third.publish(&members_event(false, &hosts));
    third.publish(&members_event(false, &hosts));
    third.publish(&members_event(false, &hosts));
    proxy.wait_for_log("event 4: "); // events (drains, purges) are applied during a shutdown, too
    open.answer("200", "ver=a", b"ran");
    assert_eq!(
        client.reply(),
        (1, served(b"ran")),
        "the request is answered on its connection, by the attempt that was open before"
    );
    assert!(proxy.child.wait().expect("wait for the exit").success());
}

#[test]
fn invalid_config_exits_with_one_line_and_code_2() {
    let folder = folder("bad-config");
    for (text, wanted) in
        [("{", "EOF"), ("{\"name\":1}", "name"), ("{\"name\":\"n\",\"listen\":\"nowhere\"}", "listen")]
    {
        let path = folder.join("config.json");
        std::fs::write(&path, text).expect("write the file");
        for command in ["serve", "check-config"] {
            let program = env!("CARGO_BIN_EXE_dahliatrack");
            let output = Command::new(program)
                .args([command, "--config"])
                .arg(&path)
                .output()
                .expect("run the program");
            let error = String::from_utf8(output.stderr).expect("the output is UTF-8");
            assert_eq!((output.status.code(), error.lines().count()), (Some(2), 1), "{error}");
            assert!(error.contains(wanted), "{error}");
        }
    }
}

/// Guards against many unfinished messages that together exceed the memory limit, for which the process is killed. Usual
/// clients are served meanwhile, and each bad client is closed.
#[test]
fn unfinished_messages_of_many_clients_stay_within_memory_limit() {
    const MEMORY_MB: u64 = 8;
    const PIECE_BYTES: usize = 2000;
    let (cache, parent) = (Cache::new("s-00000001"), Cache::new("s-0000000p"));
    let small = |config: &str| config.replace("\"memory_mb\":192", &format!("\"memory_mb\":{MEMORY_MB}"));
    let proxy = Proxy::start("unfinished", &[&cache, &parent], small, &[]);
    let memory_kib = || {
        let status = std::fs::read_to_string(format!("/proc/{}/status", proxy.child.id()));
        let status = status.expect("read the state of the process");
        let line =
            status.lines().find_map(|line| line.strip_prefix("RssAnon:")).expect("a line for the memory");
        line.trim().trim_end_matches(" kB").parse::<u64>().expect("a number")
    };
    let mut usual = Client::new(&proxy);
    let mut bad: Vec<Client> = (0..200).map(|_| Client::new(&proxy)).collect();
    let mut unfinished = invoke(1, &[("route", "result")], &[1; 65_000]);
    unfinished.pop();
    for (seqid, piece) in (1..).zip(unfinished.chunks(PIECE_BYTES)) {
        for client in &mut bad {
            let _ = client.0.write_all(piece); // it may have been closed
        }
        usual.send(&request(seqid, "replay"));
        cache.next_line().answer("200", "ver=a", b"x");
        assert_eq!(usual.reply(), (seqid, served(b"x")));
        assert!(memory_kib() <= MEMORY_MB * 1024, "{} KiB", memory_kib());
    }
    assert!(bad.iter_mut().all(Client::is_closed));
    assert!(memory_kib() <= MEMORY_MB * 1024, "{} KiB", memory_kib());
    assert!(usual.ping(1000));
}

/// Sends messages that are shorter than their length says, on a new connection each time the last one was closed.
fn send_unfinished_messages(addr: SocketAddr, is_over: &AtomicBool) {
    let mut message = invoke(2, &[("route", "result")], &[1; 64_000]);
    message[..4].copy_from_slice(&65_500_i32.to_be_bytes());
    while !is_over.load(Ordering::Relaxed) {
        let Ok(mut stream) = TcpStream::connect(addr) else { continue };
        stream.set_read_timeout(Some(Duration::from_millis(100))).expect("set the read timeout");
        let mut is_open = stream.write_all(&message).is_ok();
        while is_open && !is_over.load(Ordering::Relaxed) {
            let is_waiting =
                |error: &Error| matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut);
            is_open = stream.read(&mut [0; 64]).map_or_else(|error| is_waiting(&error), |count| count > 0);
        }
    }
}

/// Guards against writes that are sent in full and closed without an answer, since unfinished messages of other clients
/// hold the memory for input.
#[test]
fn complete_writes_are_answered_while_input_memory_is_short() {
    const BAD_CLIENTS: usize = 150;
    let (cache, parent) = (Cache::new("s-00000001"), Cache::new("s-0000000p"));
    let small = |config: &str| config.replace("\"memory_mb\":192", "\"memory_mb\":8");
    let proxy = Proxy::start("short-of-memory", &[&cache, &parent], small, &[]);
    thread::spawn(move || cache.lines.iter().for_each(|mut line| line.answer("200", "ver=a", b"ran")));
    let mut usual = Client::new(&proxy);
    assert!(usual.ping(1));
    let (is_over, addr) = (AtomicBool::new(false), proxy.addr);
    thread::scope(|scope| {
        for _ in 0..BAD_CLIENTS {
            scope.spawn(|| send_unfinished_messages(addr, &is_over));
        }
        let replies = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| {
            proxy.wait_for_log("head-timeout");
            for seqid in 2..12 {
                let trace = trace(seqid);
                let fields = [
                    ("route", "result"),
                    ("trace", &trace[..]),
                    ("patience", "3000"),
                    ("entity", "7f3a9c21e0b4d655"),
                ];
                usual.send(&invoke(seqid, &fields, &[1; 40_000]));
                let (answered, reply) = usual.reply();
                assert_eq!(answered, seqid);
                assert!(matches!(reply, Reply::Served { .. } | Reply::Refused { .. }), "{reply:?}");
            }
        }));
        is_over.store(true, Ordering::Relaxed);
        replies.expect("every write is answered");
    });
}

/// Guards against a request that is lost since its client was still reading earlier answers, which the system held, as
/// its connection was closed as idle.
#[test]
fn request_of_client_that_still_reads_answers_is_answered() {
    let (cache, _parent, proxy) = start_with_one_cache("reading");
    let body = vec![7; 235_000];
    let (mut slow, mut idle) = (Client::new(&proxy), Client::new(&proxy));
    slow.send(&request(1, "replay"));
    cache.next_line().answer("200", "ver=a", &body);
    slow.0.peek(&mut [0]).expect("the answer has begun");
    assert!(idle.ping(1));
    assert!(idle.is_closed(), "it is closed as idle");
    slow.send(&request(2, "result"));
    cache.next_line().answer("200", "ver=a", b"ran");
    assert_eq!(slow.reply(), (1, served(&body)));
    assert_eq!(slow.reply(), (2, served(b"ran")));
}

/// Returns the next line of a cache that is not a cancellation.
fn next_fetch(cache: &Cache) -> ReceivedLine {
    let mut line = cache.next_line();
    while line.words[0] == "abort" {
        line = cache.next_line();
    }
    line
}

/// Guards against a write that runs twice, since its client has left or cancelled it and sends it again under its trace ID
/// while the first one may still run.
#[test]
fn write_is_not_forwarded_again_under_its_trace_id() {
    let (cache, _parent, proxy) = start_with_one_cache("write-again");
    let mut first = Client::new(&proxy);
    first.send(&request(1, "result"));
    let written = cache.next_line();
    drop(first);
    proxy.wait_for_log("end=peer-closed");
    let mut again = Client::new(&proxy);
    again.send(&request(1, "result"));
    assert_eq!(again.reply(), (1, Reply::Exception));
    again.send(&request(2, "result"));
    assert_eq!(next_fetch(&cache).words[1], trace(2), "the first write was forwarded once");
    again.send(&cancel(3, 2));
    again.send(&request(2, "result"));
    assert_eq!(again.reply(), (2, Reply::Exception));
    again.send(&request(4, "result"));
    let mut open = next_fetch(&cache);
    assert_eq!(open.words[1], trace(4));
    open.answer("200", "ver=a", b"ran");
    assert_eq!(again.reply(), (4, served(b"ran")));
    drop(written);
}

//! Race conditions, each forced: signals, closed connections, answers and cancellations that arrive in the same turn of
//! the program's event loop, or between two steps of one request. A process that was stopped (SIGSTOP) handles in one
//! turn all that arrived meanwhile.

use crate::stand_ins::*;
use crate::thrift_front::{cancel, invoke, message, request, served, trace, Client, Reply};
use socket2::{Domain, Socket, Type};
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};

/// An edge proxy with two caches and a parent.
struct Setup {
    caches: [Cache; 2],
    _parent: Cache,
    proxy: Proxy,
}

fn setup(name: &str) -> Setup {
    setup_with_changes(name, str::to_owned)
}

fn setup_with_changes(name: &str, change: impl Fn(&str) -> String) -> Setup {
    let caches = [Cache::new("s-00000001"), Cache::new("s-00000002")];
    let parent = Cache::new("s-0000000p");
    let proxy = Proxy::start(name, &[&caches[0], &caches[1], &parent], change, &[]);
    Setup { caches, _parent: parent, proxy }
}

impl Setup {
    /// Waits for the next line that either cache receives.
    fn next_line(&self) -> ReceivedLine {
        loop {
            if let Some(got) = self.caches.iter().find_map(Cache::try_next_line) {
                return got;
            }
            std::thread::yield_now();
        }
    }

    /// Sends a later request, waits until it is served, and returns how many attempts for request `seqid` the caches
    /// had received by then, beside those that the test has taken.
    fn attempts_after_probe(&self, seqid: i32) -> usize {
        let mut later = Client::new(&self.proxy);
        later.send(&request(900, "replay"));
        let mut attempts = 0;
        loop {
            let mut got = self.next_line();
            if got.words[1] == trace(900) {
                got.answer("200", "ver=a", b"later");
                break;
            }
            attempts += usize::from(got.words[0] == "fetch" && got.words[1] == trace(seqid));
        }
        assert_eq!(later.reply(), (900, served(b"later")));
        attempts
    }
}

/// Connects a client with a small receive buffer.
fn client_with_small_buffer(addr: SocketAddr) -> Client {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("create a socket");
    socket.set_recv_buffer_size(4096).expect("set the buffer size");
    socket.connect(&addr.into()).expect("connect");
    let stream = TcpStream::from(socket);
    stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("set the read timeout");
    Client(stream)
}

/// A listener that accepts nothing until [`Self::accept_other`]. Its queue is full, so the system completes no further
/// connection.
struct FullListener {
    listener: TcpListener,
    fillers: Vec<TcpStream>,
}

impl FullListener {
    fn new() -> Self {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("create a socket");
        let any: SocketAddr = "127.0.0.1:0".parse().expect("a valid address");
        socket.bind(&any.into()).expect("bind a port");
        socket.listen(0).expect("listen");
        let listener = TcpListener::from(socket);
        let fillers = vec![TcpStream::connect(listener.local_addr().expect("get the local address"))
            .expect("connection is queued")];
        FullListener { listener, fillers }
    }

    fn addr(&self) -> SocketAddr {
        self.listener.local_addr().expect("get the local address")
    }

    /// Accepts connections until one arrives that is not from this listener's own fillers, and returns it.
    fn accept_other(&self) -> TcpStream {
        let own: Vec<SocketAddr> = self.fillers.iter().filter_map(|s| s.local_addr().ok()).collect();
        loop {
            let (stream, peer) = self.listener.accept().expect("accept a connection");
            if !own.contains(&peer) {
                stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("set the read timeout");
                return stream;
            }
        }
    }
}

/// Returns everything that is received on a connection until it ends.
fn read_until_closed(mut stream: TcpStream) -> String {
    let mut bytes = Vec::new();
    let _ = stream.read_to_end(&mut bytes);
    String::from_utf8_lossy(&bytes).into_owned()
}

// ---- Shutdown.

#[test]
fn last_answer_arrives_whole_while_client_writes_at_shutdown() {
    let mut setup = setup("end-unread");
    let mut client = client_with_small_buffer(setup.proxy.addr);
    client.send(&request(1, "replay"));
    let body = [7; 240_000];
    let mut got = setup.next_line();
    setup.proxy.signal("-TERM");
    setup.proxy.wait_for_log("stopping");
    got.answer("200", "ver=a", &body);
    setup.proxy.wait_for_log("closing gracefully: ");
    client.send(&request(2, "replay"));
    assert_eq!(client.reply(), (1, served(&body)));
    assert!(client.is_closed());
    assert!(setup.proxy.child.wait().expect("wait for the exit").success());
    assert!(
        setup.caches.iter().all(|cache| cache.unread_lines().is_empty()),
        "a request that arrives while the connection is being closed is not forwarded"
    );
}

#[test]
fn unread_requests_at_sigterm_are_answered_despite_more_signals() {
    let mut setup = setup("term-unread");
    let mut idle = Client::new(&setup.proxy);
    assert!(idle.ping(1));
    setup.proxy.suspend();
    idle.send(&request(2, "replay"));
    let mut unaccepted: Vec<Client> = (0..5).map(|_| Client::new(&setup.proxy)).collect();
    for (seqid, client) in (10..).zip(&mut unaccepted) {
        client.send(&request(seqid, "replay"));
    }
    setup.proxy.signal("-TERM");
    setup.proxy.signal("-HUP");
    setup.proxy.signal("-CONT");
    setup.proxy.wait_for_log("stopping");
    setup.proxy.signal("-TERM");
    setup.proxy.signal("-HUP");
    for _ in 0..6 {
        setup.next_line().answer("200", "ver=a", b"x");
    }
    assert_eq!(idle.reply(), (2, served(b"x")));
    for (seqid, client) in (10..).zip(&mut unaccepted) {
        assert_eq!(client.reply(), (seqid, served(b"x")));
    }
    assert!(setup.proxy.child.wait().expect("wait for the exit").success());
}

#[test]
fn process_exits_with_its_clients_before_time_limit() {
    let mut setup = setup("end-idle");
    let since = std::time::Instant::now();
    let (mut asked, mut silent) = (Client::new(&setup.proxy), Client::new(&setup.proxy));
    assert!(asked.ping(1));
    setup.proxy.signal("-TERM");
    assert!(asked.is_closed() && silent.is_closed());
    drop((asked, silent));
    assert!(setup.proxy.child.wait().expect("wait for the exit").success());
    // The longest deadline of these settings is 6 s, and the time limit of the shutdown 30 s.
    assert!(since.elapsed() < std::time::Duration::from_secs(5), "{:?}", since.elapsed());
}

// ---- Clients that leave.

#[test]
fn closed_client_gets_no_retry() {
    check_no_retry_after_client_leaves("left-closed", |client| {
        client.0.shutdown(Shutdown::Both).expect("shut down the connection")
    });
}

#[test]
fn cancelled_request_gets_no_retry() {
    check_no_retry_after_client_leaves("left-cancelled", |client| client.send(&cancel(2, 1)));
}

/// The answer causes a retry on another server, but it arrives in the same turn as the end or cancellation of its
/// client's request. No further attempt may be sent.
fn check_no_retry_after_client_leaves(name: &str, leave: impl Fn(&mut Client)) {
    let setup = setup(name);
    let mut client = Client::new(&setup.proxy);
    client.send(&request(1, "replay"));
    let mut got = setup.next_line();
    setup.proxy.suspend();
    got.answer("503", "-", b"");
    leave(&mut client);
    setup.proxy.signal("-CONT");
    assert_eq!(setup.attempts_after_probe(1), 0);
}

#[test]
fn requests_of_client_that_closed_are_not_forwarded() {
    let setup = setup("left-flood");
    let mut client = Client::new(&setup.proxy);
    assert!(client.ping(100));
    setup.proxy.suspend();
    let many: Vec<u8> = (1..=20).flat_map(|seqid| request(seqid, "replay")).collect();
    client.send(&many);
    client.0.shutdown(Shutdown::Both).expect("shut down the connection");
    setup.proxy.signal("-CONT");
    let attempts: usize = setup.attempts_after_probe(1);
    assert_eq!(attempts, 0);
}

#[test]
fn request_is_not_sent_if_client_leaves_during_connect() {
    let full = FullListener::new();
    let cache = Cache { addr: full.addr(), ..Cache::new("s-00000001") };
    let parent = Cache::new("s-0000000p");
    let long_connect_timeout =
        |text: &str| text.replace("\"connect_timeout\": 400.0", "\"connect_timeout\": 5000.0");
    let proxy = Proxy::start("left-dialling", &[&cache, &parent], long_connect_timeout, &[]);
    let mut client = Client::new(&proxy);
    client.send(&request(1, "replay"));
    client.send(&message(1, "ping", 2, &[2, 0, 1, 0]));
    assert_eq!(client.reply(), (2, Reply::Pong(true)), "the request before the ping has been read");
    drop(client);
    proxy.wait_for_log("end=peer-closed");
    let connection = full.accept_other();
    drop(proxy);
    assert_eq!(read_until_closed(connection), "");
}

// ---- Endpoint list.

#[test]
fn cache_that_drains_during_connect_is_sent_nothing() {
    let parent = Cache::new("s-0000000p");
    let long_connect_timeout =
        |text: &str| text.replace("\"connect_timeout\": 400.0", "\"connect_timeout\": 5000.0");
    for health in ["draining", "removed"] {
        // Each round needs its own listener: after `accept_other` its queue has room for the next connection.
        let full = FullListener::new();
        let cache = Cache { addr: full.addr(), ..Cache::new("s-00000001") };
        let proxy = Proxy::start(&format!("dial-{health}"), &[&cache, &parent], long_connect_timeout, &[]);
        let mut client = Client::new(&proxy);
        client.send(&request(1, "result"));
        client.send(&message(1, "ping", 2, &[2, 0, 1, 0]));
        assert_eq!(client.reply(), (2, Reply::Pong(true)), "the request before the ping has been read");
        proxy.feed.publish(&members_event(false, &[host_entry(&cache, health)]));
        proxy.wait_for_log("event 2: ");
        if health == "draining" {
            let connection = full.accept_other();
            assert!(
                matches!(client.reply(), (1, Reply::Refused { .. })),
                "the request never ran, since it was not sent"
            );
            drop(proxy);
            assert_eq!(read_until_closed(connection), "");
        } else {
            assert!(
                matches!(client.reply(), (1, Reply::Refused { .. })),
                "the request is refused at once, not when the connect ends"
            );
        }
    }
}

#[test]
fn cache_missing_from_full_list_is_replaced() {
    let setup = setup("whole-list");
    let mut client = Client::new(&setup.proxy);
    client.send(&request(1, "result"));
    let mut open = setup.next_line();
    let (left, other) = match open.cache_name == setup.caches[0].name {
        true => (&setup.caches[0], &setup.caches[1]),
        false => (&setup.caches[1], &setup.caches[0]),
    };
    let parent = host_entry(&setup._parent, "up");
    setup.proxy.feed.publish(&members_event(true, &[host_entry(other, "up"), parent]));
    setup.proxy.wait_for_log("event 2: ");
    open.answer("200", "ver=a", b"ran");
    assert_eq!(client.reply(), (1, served(b"ran")), "the removed cache finishes its open request");
    for seqid in 2..8 {
        client.send(&request(seqid, "replay"));
        other.next_line().answer("200", "ver=a", b"x");
        assert_eq!(client.reply(), (seqid, served(b"x")));
    }
    assert_eq!(left.unread_lines(), Vec::<String>::new());
}

#[test]
fn serves_from_known_hosts_when_feed_is_down_or_silent() {
    let silent = TcpListener::bind("127.0.0.1:0").expect("bind a port");
    let full = FullListener::new();
    let unreachable: SocketAddr = "127.0.0.1:1".parse().expect("a valid address");
    for (name, feed) in [
        ("feed-down", unreachable),
        ("feed-silent", silent.local_addr().expect("get the local address")),
        ("feed-held", full.addr()),
    ] {
        let setup = setup_with_changes(name, |text| {
            let (before, rest) = text.split_once("\"feed\":\"").expect("an entry for the feed");
            format!("{before}\"feed\":\"{feed}{}", &rest[rest.find('"').expect("a closing quote")..])
        });
        let mut client = Client::new(&setup.proxy);
        assert!(client.ping(1), "{name}: the edge proxy is ready");
        client.send(&request(2, "replay"));
        setup.next_line().answer("200", "ver=a", b"x");
        assert_eq!(client.reply(), (2, served(b"x")), "{name}");
    }
}

// ---- Malformed messages, descriptors and idempotency keys.

#[test]
fn idle_clients_leave_descriptors_for_caches_and_feed() {
    let low_socket_limit = |text: &str| text.replace("\"sockets\":1024", "\"sockets\":96");
    let caches = [Cache::new("s-00000001"), Cache::new("s-00000002")];
    let parent = Cache::new("s-0000000p");
    let known = [&caches[0], &caches[1], &parent];
    let proxy = Proxy::start_with_descriptor_limit(96, "descriptors", &known, low_socket_limit);
    let setup = Setup { caches, _parent: parent, proxy };
    // They connect before any connection to a cache is open, and each has sent a message.
    let mut idle: Vec<Client> = (0..150).map(|_| Client::new(&setup.proxy)).collect();
    for client in &mut idle {
        let _ = client.0.write_all(&message(1, "ping", 1, &[2, 0, 1, 0]));
    }
    let mut client = Client::new(&setup.proxy);
    assert!(client.ping(1));
    client.send(&request(2, "replay"));
    setup.next_line().answer("200", "ver=a", b"x");
    assert_eq!(client.reply(), (2, served(b"x")));
    setup.proxy.feed.publish(&members_event(false, &[host_entry(&setup.caches[0], "up")]));
    setup.proxy.wait_for_log("event 2: ");
    drop(idle);
}

#[test]
fn malformed_message_does_not_affect_earlier_requests() {
    let setup = setup("bad-behind");
    for (seqid, bad) in
        [(1, vec![0, 0, 0, 4, 1, 2, 3, 4]), (2, i32::MAX.to_be_bytes().to_vec()), (3, vec![0xff; 8])]
    {
        let mut client = Client::new(&setup.proxy);
        client.send(&request(seqid, "result"));
        let mut got = setup.next_line();
        client.send(&bad);
        client.send(&request(seqid + 10, "replay"));
        got.answer("200", "ver=a", b"ran");
        assert_eq!(client.reply(), (seqid, served(b"ran")));
        assert!(client.is_closed(), "nothing after the malformed message is read");
    }
    assert!(setup.caches.iter().all(|cache| cache.unread_lines().is_empty()));
}

/// Servers recognize a repeated request by its idempotency key, so every attempt carries the client's key unchanged.
#[test]
fn retry_carries_idempotency_key_of_request() {
    let token = |text: &str| text.replace("\"side_effect\"", "\"token\"");
    let setup = setup_with_changes("idempotency-key", token);
    let mut client = Client::new(&setup.proxy);
    let trace = trace(1);
    let fields = [
        ("route", "result"),
        ("trace", &trace[..]),
        ("patience", "4000"),
        ("entity", "7f3a9c21e0b4d655"),
        ("nonce", "4be0c1927d55a6f3"),
    ];
    client.send(&invoke(1, &fields, b"won"));
    let mut first = setup.next_line();
    assert_eq!(first.field("nonce"), Some("4be0c1927d55a6f3"));
    first.close_connection();
    let mut repeat = setup.next_line();
    assert_eq!((repeat.field("nonce"), &repeat.body[..]), (Some("4be0c1927d55a6f3"), &b"won"[..]));
    repeat.answer("200", "ver=a", b"ran");
    assert_eq!(client.reply(), (1, served(b"ran")));
}

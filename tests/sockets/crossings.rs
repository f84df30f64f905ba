//! Rare moments, each forced: signals, ends, answers and cancellations that meet in one wake-up of the program, or
//! between two steps of one request. A stopped process (SIGSTOP) takes in at once what came meanwhile.

use crate::platform::{cancel, invoke, message, request, served, trace, Client, Reply};
use crate::stand_ins::*;
use socket2::{Domain, Socket, Type};
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};

/// Two caches, a parent and the edge proxy before them.
struct Site {
    caches: [Cache; 2],
    _parent: Cache,
    proxy: Proxy,
}

fn site(name: &str) -> Site {
    site_with(name, str::to_owned)
}

fn site_with(name: &str, change: impl Fn(&str) -> String) -> Site {
    let caches = [Cache::new("s-00000001"), Cache::new("s-00000002")];
    let parent = Cache::new("s-0000000p");
    let proxy = Proxy::start(name, &[&caches[0], &caches[1], &parent], change, &[]);
    Site { caches, _parent: parent, proxy }
}

impl Site {
    /// The next attempt that a cache is sent.
    fn next(&self) -> Got {
        loop {
            if let Some(got) = self.caches.iter().find_map(Cache::try_next) {
                return got;
            }
            std::thread::yield_now();
        }
    }

    /// The attempts for a request that caches were sent and nobody looked at, once a later request has passed through
    /// the whole program.
    fn attempts_after_probe(&self, seqid: i32) -> usize {
        let mut later = Client::new(&self.proxy);
        later.send(&request(900, "replay"));
        let mut attempts = 0;
        loop {
            let mut got = self.next();
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

/// A client whose system takes few bytes before it reads them.
fn slow_reader(addr: SocketAddr) -> Client {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    socket.set_recv_buffer_size(4096).expect("a small buffer");
    socket.connect(&addr.into()).expect("a connection");
    let stream = TcpStream::from(socket);
    stream.set_read_timeout(Some(LONG)).expect("a time-out");
    Client(stream)
}

/// A listener that takes no connection until it is released: its queue is full, so the system answers no further dial.
struct HeldListener {
    listener: TcpListener,
    fillers: Vec<TcpStream>,
}

impl HeldListener {
    fn new() -> Self {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
        let any: SocketAddr = "127.0.0.1:0".parse().expect("an address");
        socket.bind(&any.into()).expect("a port");
        socket.listen(0).expect("listens");
        let listener = TcpListener::from(socket);
        let fillers = vec![TcpStream::connect(listener.local_addr().expect("an address")).expect("queued")];
        HeldListener { listener, fillers }
    }

    fn addr(&self) -> SocketAddr {
        self.listener.local_addr().expect("an address")
    }

    /// Takes what waits, until a connection comes from somebody else; gives that one.
    fn release(&self) -> TcpStream {
        let own: Vec<SocketAddr> = self.fillers.iter().filter_map(|s| s.local_addr().ok()).collect();
        loop {
            let (stream, peer) = self.listener.accept().expect("a connection");
            if !own.contains(&peer) {
                stream.set_read_timeout(Some(LONG)).expect("a time-out");
                return stream;
            }
        }
    }
}

/// What a connection brings up to its end.
fn all_of(mut stream: TcpStream) -> String {
    let mut bytes = Vec::new();
    let _ = stream.read_to_end(&mut bytes);
    String::from_utf8_lossy(&bytes).into_owned()
}

// ---- Shutdown.

#[test]
fn the_last_answer_is_read_whole_though_its_client_writes_as_the_process_ends() {
    let mut site = site("end-unread");
    let mut client = slow_reader(site.proxy.addr);
    client.send(&request(1, "replay"));
    let body = [7; 240_000];
    let mut got = site.next();
    site.proxy.signal("-TERM");
    site.proxy.logged("stopping");
    got.answer("200", "ver=a", &body);
    site.proxy.logged("closing gracefully: ");
    client.send(&request(2, "replay"));
    assert_eq!(client.reply(), (1, served(&body)));
    assert!(client.is_closed());
    assert!(site.proxy.child.wait().expect("an end").success());
    assert!(site.caches.iter().all(|cache| cache.rest().is_empty()), "what crosses the end is not sent on");
}

#[test]
fn what_waits_unread_as_the_signal_comes_is_answered_and_further_signals_change_nothing() {
    let mut site = site("term-unread");
    let mut resting = Client::new(&site.proxy);
    assert!(resting.ping(1));
    site.proxy.stall();
    resting.send(&request(2, "replay"));
    let mut behind_accept: Vec<Client> = (0..5).map(|_| Client::new(&site.proxy)).collect();
    for (seqid, client) in (10..).zip(&mut behind_accept) {
        client.send(&request(seqid, "replay"));
    }
    site.proxy.signal("-TERM");
    site.proxy.signal("-HUP");
    site.proxy.signal("-CONT");
    site.proxy.logged("stopping");
    site.proxy.signal("-TERM");
    site.proxy.signal("-HUP");
    for _ in 0..6 {
        site.next().answer("200", "ver=a", b"x");
    }
    assert_eq!(resting.reply(), (2, served(b"x")));
    for (seqid, client) in (10..).zip(&mut behind_accept) {
        assert_eq!(client.reply(), (seqid, served(b"x")));
    }
    assert!(site.proxy.child.wait().expect("an end").success());
}

#[test]
fn the_process_ends_with_its_clients_and_not_at_the_time_limit() {
    let mut site = site("end-idle");
    let since = std::time::Instant::now();
    let (mut asked, mut silent) = (Client::new(&site.proxy), Client::new(&site.proxy));
    assert!(asked.ping(1));
    site.proxy.signal("-TERM");
    assert!(asked.is_closed() && silent.is_closed());
    drop((asked, silent));
    assert!(site.proxy.child.wait().expect("an end").success());
    // The longest deadline of these settings is 6 s, and the limit of the end 30 s.
    assert!(since.elapsed() < std::time::Duration::from_secs(5), "{:?}", since.elapsed());
}

// ---- Clients that leave.

#[test]
fn a_client_that_closed_behind_an_answer_has_no_further_attempt() {
    client_leaves_behind_an_answer("left-closed", |client| {
        client.0.shutdown(Shutdown::Both).expect("closed")
    });
}

#[test]
fn a_client_that_cancelled_behind_an_answer_has_no_further_attempt() {
    client_leaves_behind_an_answer("left-cancelled", |client| client.send(&cancel(2, 1)));
}

/// The answer would have its request tried elsewhere, and is ready in the same wake-up as the client's leaving.
fn client_leaves_behind_an_answer(name: &str, leave: impl Fn(&mut Client)) {
    let site = site(name);
    let mut client = Client::new(&site.proxy);
    client.send(&request(1, "replay"));
    let mut got = site.next();
    site.proxy.stall();
    got.answer("503", "-", b"");
    leave(&mut client);
    site.proxy.signal("-CONT");
    assert_eq!(site.attempts_after_probe(1), 0);
}

#[test]
fn of_what_a_client_sent_at_once_before_it_closed_nothing_is_sent_on() {
    let site = site("left-flood");
    let mut client = Client::new(&site.proxy);
    assert!(client.ping(100));
    site.proxy.stall();
    let many: Vec<u8> = (1..=20).flat_map(|seqid| request(seqid, "replay")).collect();
    client.send(&many);
    client.0.shutdown(Shutdown::Both).expect("closed");
    site.proxy.signal("-CONT");
    let attempts: usize = site.attempts_after_probe(1);
    assert_eq!(attempts, 0);
}

#[test]
fn a_client_that_left_while_its_attempt_waited_for_a_connection_is_not_sent_on() {
    let held = HeldListener::new();
    let cache = Cache { addr: held.addr(), ..Cache::new("s-00000001") };
    let parent = Cache::new("s-0000000p");
    let patient = |text: &str| text.replace("\"connect_timeout\": 400.0", "\"connect_timeout\": 5000.0");
    let proxy = Proxy::start("left-dialling", &[&cache, &parent], patient, &[]);
    let mut client = Client::new(&proxy);
    client.send(&request(1, "replay"));
    client.send(&message(1, "ping", 2, &[2, 0, 1, 0]));
    assert_eq!(client.reply(), (2, Reply::Pong(true)), "the request was taken in before");
    drop(client);
    proxy.logged("end=peer-closed");
    let connection = held.release();
    drop(proxy);
    assert_eq!(all_of(connection), "");
}

// ---- The list.

#[test]
fn a_cache_that_drains_while_it_is_dialled_is_sent_nothing() {
    let parent = Cache::new("s-0000000p");
    let patient = |text: &str| text.replace("\"connect_timeout\": 400.0", "\"connect_timeout\": 5000.0");
    for health in ["draining", "removed"] {
        // Of its own each time: one that was released takes the next dial at once.
        let held = HeldListener::new();
        let cache = Cache { addr: held.addr(), ..Cache::new("s-00000001") };
        let proxy = Proxy::start(&format!("dial-{health}"), &[&cache, &parent], patient, &[]);
        let mut client = Client::new(&proxy);
        client.send(&request(1, "result"));
        client.send(&message(1, "ping", 2, &[2, 0, 1, 0]));
        assert_eq!(client.reply(), (2, Reply::Pong(true)), "the request was taken in before");
        proxy.feed.tell(&members(false, &[host(&cache, health)]));
        proxy.logged("event 2: ");
        if health == "draining" {
            let connection = held.release();
            assert!(matches!(client.reply(), (1, Reply::Refused { .. })), "it never ran");
            drop(proxy);
            assert_eq!(all_of(connection), "");
        } else {
            assert!(
                matches!(client.reply(), (1, Reply::Refused { .. })),
                "at once, and not as its dial ends"
            );
        }
    }
}

#[test]
fn a_cache_that_a_whole_list_lacks_is_gone_and_its_heir_gets_what_comes() {
    let site = site("whole-list");
    let mut client = Client::new(&site.proxy);
    client.send(&request(1, "result"));
    let mut open = site.next();
    let (left, other) = match open.by == site.caches[0].name {
        true => (&site.caches[0], &site.caches[1]),
        false => (&site.caches[1], &site.caches[0]),
    };
    let parent = host(&site._parent, "up");
    site.proxy.feed.tell(&members(true, &[host(other, "up"), parent]));
    site.proxy.logged("event 2: ");
    open.answer("200", "ver=a", b"ran");
    assert_eq!(client.reply(), (1, served(b"ran")), "what it has is finished");
    for seqid in 2..8 {
        client.send(&request(seqid, "replay"));
        other.next().answer("200", "ver=a", b"x");
        assert_eq!(client.reply(), (seqid, served(b"x")));
    }
    assert_eq!(left.rest(), Vec::<String>::new());
}

#[test]
fn with_the_feed_down_or_silent_what_is_known_is_enough_to_serve() {
    let silent = TcpListener::bind("127.0.0.1:0").expect("a port");
    let held = HeldListener::new();
    let nobody: SocketAddr = "127.0.0.1:1".parse().expect("an address");
    for (name, feed) in [
        ("feed-down", nobody),
        ("feed-silent", silent.local_addr().expect("an address")),
        ("feed-held", held.addr()),
    ] {
        let site = site_with(name, |text| {
            let (before, rest) = text.split_once("\"feed\":\"").expect("a feed");
            format!("{before}\"feed\":\"{feed}{}", &rest[rest.find('"').expect("its end")..])
        });
        let mut client = Client::new(&site.proxy);
        assert!(client.ping(1), "{name}: ready");
        client.send(&request(2, "replay"));
        site.next().answer("200", "ver=a", b"x");
        assert_eq!(client.reply(), (2, served(b"x")), "{name}");
    }
}

// ---- Ends and descriptors.

#[test]
fn idle_clients_that_hold_all_they_can_leave_room_for_caches_and_the_feed() {
    let few = |text: &str| text.replace("\"sockets\":1024", "\"sockets\":96");
    let caches = [Cache::new("s-00000001"), Cache::new("s-00000002")];
    let parent = Cache::new("s-0000000p");
    let known = [&caches[0], &caches[1], &parent];
    let proxy = Proxy::start_with_descriptors(96, "descriptors", &known, few);
    let site = Site { caches, _parent: parent, proxy };
    // They come before any connection to a cache is open, and each has asked.
    let mut idle: Vec<Client> = (0..150).map(|_| Client::new(&site.proxy)).collect();
    for client in &mut idle {
        let _ = client.0.write_all(&message(1, "ping", 1, &[2, 0, 1, 0]));
    }
    let mut client = Client::new(&site.proxy);
    assert!(client.ping(1));
    client.send(&request(2, "replay"));
    site.next().answer("200", "ver=a", b"x");
    assert_eq!(client.reply(), (2, served(b"x")));
    site.proxy.feed.tell(&members(false, &[host(&site.caches[0], "up")]));
    site.proxy.logged("event 2: ");
    drop(idle);
}

#[test]
fn a_message_that_cannot_be_read_harms_no_request_that_is_open_before_it() {
    let site = site("bad-behind");
    for (seqid, bad) in
        [(1, vec![0, 0, 0, 4, 1, 2, 3, 4]), (2, i32::MAX.to_be_bytes().to_vec()), (3, vec![0xff; 8])]
    {
        let mut client = Client::new(&site.proxy);
        client.send(&request(seqid, "result"));
        let mut got = site.next();
        client.send(&bad);
        client.send(&request(seqid + 10, "replay"));
        got.answer("200", "ver=a", b"ran");
        assert_eq!(client.reply(), (seqid, served(b"ran")));
        assert!(client.is_closed(), "and nothing behind it is read");
    }
    assert!(site.caches.iter().all(|cache| cache.rest().is_empty()));
}

/// Servers know a repeat by its idempotency key: it goes with every attempt as the client gave it.
#[test]
fn a_keyed_request_is_repeated_under_its_idempotency_key() {
    let token = |text: &str| text.replace("\"side_effect\"", "\"token\"");
    let site = site_with("idempotency-key", token);
    let mut client = Client::new(&site.proxy);
    let trace = trace(1);
    let fields = [
        ("route", "result"),
        ("trace", &trace[..]),
        ("patience", "4000"),
        ("entity", "7f3a9c21e0b4d655"),
        ("nonce", "4be0c1927d55a6f3"),
    ];
    client.send(&invoke(1, &fields, b"won"));
    let mut first = site.next();
    assert_eq!(first.field("nonce"), Some("4be0c1927d55a6f3"));
    first.reset();
    let mut repeat = site.next();
    assert_eq!((repeat.field("nonce"), &repeat.body[..]), (Some("4be0c1927d55a6f3"), &b"won"[..]));
    repeat.answer("200", "ver=a", b"ran");
    assert_eq!(client.reply(), (1, served(b"ran")));
}

//! Special results of system calls on sockets: signals during a wait, clients that reset before they are accepted,
//! short reads and writes, exhausted descriptors, and peers that send without end.

use crate::admission::{open_descriptors, set_descriptor_limit};
use crate::stand_ins::*;
use crate::thrift_front::{request, served, Client, Reply};
use socket2::{Domain, Socket, Type};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

fn start_with_one_cache(name: &str, change: impl Fn(&str) -> String) -> (Cache, Cache, Proxy) {
    let (cache, parent) = (Cache::new("s-00000001"), Cache::new("s-0000000p"));
    let proxy = Proxy::start(name, &[&cache, &parent], change, &[]);
    (cache, parent, proxy)
}

/// Lowers the limit on sockets from 1024 to 64.
fn low_socket_limit(config: &str) -> String {
    config.replace("\"sockets\":1024", "\"sockets\":64")
}

/// Closes a connection with a reset.
fn close_with_reset(stream: TcpStream) {
    let socket = Socket::from(stream);
    socket.set_linger(Some(Duration::ZERO)).expect("set the linger time");
    drop(socket);
}

#[test]
fn signals_during_wait_change_nothing() {
    let (cache, _parent, proxy) = start_with_one_cache("signals", str::to_owned);
    let mut client = Client::new(&proxy);
    client.send(&request(1, "result"));
    let mut open = cache.next_line();
    for seqid in 2..12 {
        proxy.signal("-HUP");
        proxy.signal("-STOP");
        proxy.signal("-CONT");
        proxy.signal("-WINCH");
        client.send(&request(seqid, "replay"));
        cache.next_line().answer("200", "ver=a", b"x");
        assert_eq!(client.reply(), (seqid, served(b"x")));
    }
    open.answer("200", "ver=a", b"ran");
    assert_eq!(client.reply(), (1, served(b"ran")));
}

#[test]
fn clients_reset_before_accept_do_not_affect_others() {
    let (cache, _parent, proxy) = start_with_one_cache("reset-before-accept", str::to_owned);
    let mut client = Client::new(&proxy);
    assert!(client.ping(1));
    proxy.suspend();
    for n in 0..40 {
        let mut gone = Client::new(&proxy);
        if n % 2 == 0 {
            gone.send(&request(100 + n, "replay"));
        }
        close_with_reset(gone.0);
    }
    client.send(&request(2, "replay"));
    proxy.signal("-CONT");
    let mut got = cache.next_line();
    assert_eq!(got.words[1], crate::thrift_front::trace(2), "nothing is forwarded for clients that reset");
    got.answer("200", "ver=a", b"x");
    assert_eq!(client.reply(), (2, served(b"x")));
    assert!(Client::new(&proxy).ping(3));
    assert_eq!(cache.unread_lines(), Vec::<String>::new());
}

/// Returns a listener whose connections have a small receive buffer.
fn small_buffer_listener() -> TcpListener {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("create a socket");
    socket.set_recv_buffer_size(2048).expect("set the buffer size");
    let any: SocketAddr = "127.0.0.1:0".parse().expect("a valid address");
    socket.bind(&any.into()).expect("bind a port");
    socket.listen(16).expect("listen");
    socket.into()
}

/// Serves connections with a send buffer as small as the system allows. Reads byte by byte, and writes the first 200
/// bytes of an answer one by one and the rest in pieces of 3000.
fn serve_byte_by_byte(listener: TcpListener, body: Vec<u8>) {
    for stream in listener.incoming().flatten() {
        let body = body.clone();
        std::thread::spawn(move || {
            let socket = Socket::from(stream);
            socket.set_send_buffer_size(2048).expect("set the buffer size");
            socket.set_tcp_nodelay(true).expect("set TCP_NODELAY");
            let stream = TcpStream::from(socket);
            let mut reader = BufReader::with_capacity(1, stream.try_clone().expect("duplicate the socket"));
            let (mut writer, mut line) = (stream, String::new());
            while reader.read_line(&mut line).is_ok_and(|read| read > 0) {
                let words: Vec<String> = line.trim_end().split(' ').map(str::to_owned).collect();
                line.clear();
                if words[0] != "fetch" {
                    continue;
                }
                let mut sent = vec![0; words[3].parse::<usize>().expect("a length") + 2];
                reader.read_exact(&mut sent).expect("a body");
                sent.truncate(sent.len() - 2);
                let answer = if sent.is_empty() { &body } else { &sent };
                let head = format!("{} 200 ver=a {}\r\n", words[1], answer.len());
                let bytes = [head.as_bytes(), answer, b"\r\n"].concat();
                let (first, rest) = bytes.split_at(200.min(bytes.len()));
                first.iter().for_each(|byte| drop(writer.write_all(&[*byte])));
                rest.chunks(3000).for_each(|part| drop(writer.write_all(part)));
            }
        });
    }
}

#[test]
fn short_reads_and_writes_lose_no_bytes() {
    let listener = small_buffer_listener();
    let addr = listener.local_addr().expect("get the local address");
    let body: Vec<u8> = (0..240_000).map(|i| (i % 251) as u8).collect();
    let serving = body.clone();
    std::thread::spawn(move || serve_byte_by_byte(listener, serving));
    let (cache, parent) = (Cache { addr, ..Cache::new("s-00000001") }, Cache::new("s-0000000p"));
    let proxy = Proxy::start("short", &[&cache, &parent], str::to_owned, &[]);
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("create a socket");
    socket.set_recv_buffer_size(2048).expect("set the buffer size");
    socket.set_send_buffer_size(2048).expect("set the buffer size");
    socket.connect(&proxy.addr.into()).expect("connect");
    let stream = TcpStream::from(socket);
    stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("set the read timeout");
    let mut client = Client(stream);
    client.send(&request(1, "replay"));
    assert_eq!(client.reply(), (1, served(&body)));
    let trace = crate::thrift_front::trace(2);
    let fields =
        [("route", "result"), ("trace", &trace[..]), ("patience", "4000"), ("entity", "7f3a9c21e0b4d655")];
    let long: Vec<u8> = (0..48_000).map(|i| (i % 241) as u8).collect();
    client.send(&crate::thrift_front::invoke(2, &fields, &long));
    assert_eq!(client.reply(), (2, served(&long)));
}

/// The server sends answers that belong to no request, as fast as it can and without end.
#[test]
fn flooding_server_does_not_block_other_clients() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind a port");
    let addr = listener.local_addr().expect("get the local address");
    let (asked, was_asked) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let asked = asked.clone();
            std::thread::spawn(move || {
                let (mut stream, noise) = (stream, b"zz 503 - 0\r\n".repeat(8192));
                let _ = stream.read(&mut [0; 1]);
                let _ = asked.send(());
                while stream.write_all(&noise).is_ok() {}
            });
        }
    });
    let (cache, parent) = (Cache { addr, ..Cache::new("s-00000001") }, Cache::new("s-0000000p"));
    let proxy = Proxy::start("without-end", &[&cache, &parent], str::to_owned, &[]);
    let mut client = Client::new(&proxy);
    client.send(&crate::thrift_front::request_within(1, "result", 1500));
    was_asked.recv_timeout(TEST_TIMEOUT).expect("the server received nothing");
    let mut other = Client::new(&proxy);
    for seqid in 2..20 {
        assert!(other.ping(seqid));
    }
    let (seqid, reply) = client.reply();
    assert!(seqid == 1 && matches!(reply, Reply::Failed | Reply::Refused { .. }), "{reply:?}");
}

/// The server sends one byte of an answer every 50 ms. The connection must be closed although bytes keep arriving.
#[test]
fn trickling_answer_gets_its_connection_closed() {
    let (cache, _parent, proxy) = start_with_one_cache("trickle", str::to_owned);
    let mut client = Client::new(&proxy);
    client.send(&request(1, "replay"));
    let mut got = cache.next_line();
    got.answer_raw(format!("{} 200 ver=a 200000\r\n", crate::thrift_front::trace(1)).as_bytes());
    let since = Instant::now();
    while cache.closed_connections.try_recv().is_err() {
        assert!(since.elapsed() < TEST_TIMEOUT, "the connection was not closed");
        got.answer_raw(b"x");
        std::thread::sleep(Duration::from_millis(50));
    }
    assert_eq!(client.reply().0, 1);
}

/// The server closes an idle connection just when it is to be used again: the request is sent on another one.
#[test]
fn request_is_served_when_idle_connection_closes_meanwhile() {
    let (cache, _parent, proxy) = start_with_one_cache("idle-crossing", str::to_owned);
    let mut client = Client::new(&proxy);
    for seqid in 1..8 {
        client.send(&request(seqid, "replay"));
        let mut got = cache.next_line();
        got.answer("200", "ver=a", b"x");
        assert_eq!(client.reply(), (seqid, served(b"x")));
        proxy.suspend();
        got.close_connection();
        client.send(&request(100 + seqid, "replay"));
        proxy.signal("-CONT");
        cache.next_line().answer("200", "ver=a", b"y");
        assert_eq!(client.reply(), (100 + seqid, served(b"y")));
    }
}

/// While all connections that may be held are busy, the request of a new one is refused with a pause; the connection is
/// not closed without an answer.
#[test]
fn request_beyond_connection_budget_is_refused_not_closed() {
    let (cache, _parent, proxy) = start_with_one_cache("beyond-budget", low_socket_limit);
    // One at a time, so that each has sent its request before the next one connects.
    let mut clients = Vec::new();
    let mut refused = 0;
    for seqid in 1..=60 {
        let mut client = Client::new(&proxy);
        client.send(&request(seqid, "result"));
        client.0.set_read_timeout(Some(Duration::from_millis(1))).expect("set the read timeout");
        let open = loop {
            if let Some(got) = cache.try_next_line() {
                break Some(got);
            }
            if client.0.peek(&mut [0]).is_ok() {
                break None;
            }
        };
        client.0.set_read_timeout(Some(TEST_TIMEOUT)).expect("set the read timeout");
        match open {
            Some(got) => clients.push((seqid, client, got)),
            None => {
                assert_eq!(client.reply(), (seqid, Reply::Refused { pause: true }));
                refused += 1;
            }
        }
    }
    assert!(refused > 20, "{refused}");
    for (seqid, client, got) in &mut clients {
        got.answer("200", "ver=a", b"ran");
        assert_eq!(client.reply(), (*seqid, served(b"ran")), "the requests that were accepted are answered");
    }
}

/// More connections than may be held arrive at once, each with an unread request. Each request gets an answer.
#[test]
fn every_connection_of_a_request_flood_is_answered() {
    let (cache, parent, proxy) = start_with_one_cache("flood-asked", low_socket_limit);
    proxy.suspend();
    let mut clients: Vec<Client> = (0..100).map(|_| Client::new(&proxy)).collect();
    for (seqid, client) in (1..).zip(&mut clients) {
        client.send(&request(seqid, "replay"));
    }
    proxy.signal("-CONT");
    let serving = std::thread::spawn(move || {
        while let Ok(mut got) = cache.lines.recv_timeout(Duration::from_millis(500)) {
            got.answer("200", "ver=a", b"x");
        }
        drop(parent);
    });
    for (seqid, client) in (1..).zip(&mut clients) {
        let (answered, reply) = client.reply();
        assert_eq!(answered, seqid);
        assert!(matches!(reply, Reply::Served { .. } | Reply::Refused { .. }), "{reply:?}");
    }
    serving.join().expect("the serving thread does not panic");
}

/// With `most_refusing = 0` admission holds no refused connection open. A request that was already sent on it still
/// gets its refusal.
#[test]
fn request_on_connection_shed_by_admission_is_answered() {
    let (cache, parent) = (Cache::new("s-00000001"), Cache::new("s-0000000p"));
    let hcl = "admission {\n per_address = 1\n per_prefix = 0\n rate_per_s = 0\n most_refusing = 0\n}\n";
    let path = folder("shed").join("admission.hcl");
    std::fs::write(&path, hcl).expect("write the file");
    let extra_args = ["--admission", path.to_str().expect("the path is UTF-8")];
    let proxy = Proxy::start("shed", &[&cache, &parent], str::to_owned, &extra_args);
    let held = Client::new(&proxy);
    // The connections and their requests arrive before any of them is accepted.
    proxy.suspend();
    let mut clients: Vec<Client> = (0..5).map(|_| Client::new(&proxy)).collect();
    for (seqid, client) in (1..).zip(&mut clients) {
        client.send(&request(seqid, "replay"));
    }
    proxy.signal("-CONT");
    for (seqid, client) in (1..).zip(&mut clients) {
        assert_eq!(client.reply(), (seqid, Reply::Refused { pause: true }));
        assert!(client.is_closed());
    }
    assert_eq!(cache.unread_lines(), Vec::<String>::new());
    drop(held);
}

/// While no descriptor is left, new connections wait, neither read nor closed. They are served once descriptors are
/// available.
#[test]
fn connections_wait_for_descriptors_and_are_then_served() {
    let (cache, _parent, proxy) = start_with_one_cache("no-descriptors", str::to_owned);
    let mut old = Client::new(&proxy);
    old.send(&request(1, "replay"));
    let mut open = cache.next_line();
    set_descriptor_limit(&proxy, open_descriptors(&proxy) - 2);
    let mut waiting: Vec<Client> = (0..5).map(|_| Client::new(&proxy)).collect();
    for (seqid, client) in (10..).zip(&mut waiting) {
        client.send(&request(seqid, "replay"));
    }
    proxy.wait_for_log("accept: ");
    open.answer("200", "ver=a", b"x");
    assert_eq!(old.reply(), (1, served(b"x")), "the open request is answered");
    set_descriptor_limit(&proxy, 1024);
    for _ in 0..5 {
        cache.next_line().answer("200", "ver=a", b"y");
    }
    for (seqid, client) in (10..).zip(&mut waiting) {
        assert_eq!(client.reply(), (seqid, served(b"y")));
    }
}

/// If nothing can be sent to a server because no local port or descriptor is left, this does not count as a failure of
/// the server. The request is refused, which promises that it never ran, and the server is used again as soon as
/// there is one.
#[test]
fn write_is_refused_when_no_descriptor_is_left_for_connect() {
    let (cache, _parent, proxy) = start_with_one_cache("no-dial", str::to_owned);
    let mut client = Client::new(&proxy);
    assert!(client.ping(1));
    set_descriptor_limit(&proxy, open_descriptors(&proxy) - 2);
    client.send(&request(2, "result"));
    assert!(matches!(client.reply(), (2, Reply::Refused { .. })));
    set_descriptor_limit(&proxy, 1024);
    client.send(&request(3, "result"));
    cache.next_line().answer("200", "ver=a", b"ran");
    assert_eq!(client.reply(), (3, served(b"ran")));
}

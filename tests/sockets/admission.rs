//! Connection admission on real sockets: a flood from one address, several clients behind one address, exhausted
//! descriptors (by lowering RLIMIT_NOFILE of the process), and settings changed by SIGHUP.

use crate::stand_ins::*;
use crate::thrift_front::{request, served, Client, Reply};
use std::net::{SocketAddr, TcpStream};

/// Opens a connection from a given loopback address.
fn connect_from(local: &str, to: SocketAddr) -> TcpStream {
    let socket =
        socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).expect("create a socket");
    let local: SocketAddr = format!("{local}:0").parse().expect("a valid address");
    socket.bind(&local.into()).expect("bind the local address");
    socket.connect(&to.into()).expect("connect");
    let stream: TcpStream = socket.into();
    stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("set the read timeout");
    stream
}

fn start_with_admission(name: &str, caches: &[&Cache], hcl: &str) -> Proxy {
    let path = folder(name).join("admission.hcl");
    std::fs::write(&path, hcl).expect("write the file");
    Proxy::start(
        name,
        caches,
        |config| config.to_owned(),
        &["--admission", path.to_str().expect("the path is UTF-8")],
    )
}

/// Sends reads, which the caches answer, until one is served, and returns whether one of at most 20 was. Several
/// tries are needed since the policy module may refuse a read now and then, and only admission is tested here.
fn read_is_served(client: &mut Client, caches: &[&Cache], seqid: i32) -> bool {
    (0..20).any(|n| {
        let seqid = seqid * 100 + n;
        client.send(&request(seqid, "replay"));
        client.0.set_read_timeout(Some(std::time::Duration::from_millis(5))).expect("set the read timeout");
        while client.0.peek(&mut [0]).is_err() {
            for cache in caches {
                if let Some(mut got) = cache.try_next_line() {
                    got.answer("200", "ver=a", b"x");
                }
            }
        }
        client.0.set_read_timeout(Some(TEST_TIMEOUT)).expect("set the read timeout");
        client.reply() == (seqid, served(b"x"))
    })
}

#[test]
fn flood_from_one_address_is_refused_and_known_clients_served() {
    let (cache, parent) = (Cache::new("s-00000001"), Cache::new("s-0000000p"));
    let hcl = "admission {\n per_address = 4\n per_prefix = 0\n rate_per_s = 0\n}\n";
    let proxy = start_with_admission("admission-flood", &[&cache, &parent], hcl);
    // Known clients behind one shared address: each sends a message as soon as it connects, so each is in good
    // standing.
    let known = (0..8).map(|n| {
        let mut client = Client(connect_from("127.0.0.2", proxy.addr));
        assert!(client.ping(1), "client {n} behind the shared address");
        client
    });
    let mut known: Vec<Client> = known.collect();
    // A flood of connections from another address that send nothing: four are admitted, the rest refused.
    let flood: Vec<TcpStream> = (0..40).map(|_| connect_from("127.0.0.3", proxy.addr)).collect();
    let mut refused = Client(connect_from("127.0.0.3", proxy.addr));
    // A ping on a refused connection is answered as on any other, and the connection stays open for the request
    // that follows.
    assert!(refused.ping(1));
    refused.send(&request(2, "replay"));
    assert_eq!(
        refused.reply(),
        (2, Reply::Refused { pause: true }),
        "a refused connection gets a refusal with a pause, not a reset"
    );
    assert!(refused.is_closed(), "the connection is closed after the refusal");
    proxy.wait_for_log("refused: address from 127.0.0.3");
    // The known clients are still served, and one more from their address is admitted.
    assert!(known.iter_mut().enumerate().all(|(n, client)| read_is_served(
        client,
        &[&cache, &parent],
        10 + n as i32
    )));
    let mut newcomer = Client(connect_from("127.0.0.2", proxy.addr));
    assert!(read_is_served(&mut newcomer, &[&cache, &parent], 1));
    drop(flood);
}

#[test]
fn sighup_changes_admission_caps_and_bad_file_changes_nothing() {
    let (cache, parent) = (Cache::new("s-00000001"), Cache::new("s-0000000p"));
    let proxy =
        start_with_admission("admission-sighup", &[&cache, &parent], "admission {\n per_address = 2\n}\n");
    let path = folder("admission-sighup").join("admission.hcl");
    let held: Vec<TcpStream> = (0..2).map(|_| connect_from("127.0.0.4", proxy.addr)).collect();
    let mut third = Client(connect_from("127.0.0.4", proxy.addr));
    third.send(&request(1, "replay"));
    assert_eq!(third.reply(), (1, Reply::Refused { pause: true }));
    // A file with an error: the old caps stay, and the log names the file.
    std::fs::write(&path, "admission {\n per_address = -3\n}\n").expect("write the file");
    proxy.signal("-HUP");
    assert!(proxy.wait_for_log("reload: ").contains("admission.hcl"));
    let mut fourth = Client(connect_from("127.0.0.4", proxy.addr));
    fourth.send(&request(1, "replay"));
    assert_eq!(fourth.reply(), (1, Reply::Refused { pause: true }));
    // A valid file raises the cap for new connections; the connections that are open still count.
    std::fs::write(&path, "admission {\n per_address = 3\n}\n").expect("write the file");
    proxy.signal("-HUP");
    proxy.wait_for_log("reloaded: ");
    let mut fifth = Client(connect_from("127.0.0.4", proxy.addr));
    assert!(read_is_served(&mut fifth, &[&cache, &parent], 1));
    let mut sixth = Client(connect_from("127.0.0.4", proxy.addr));
    sixth.send(&request(1, "replay"));
    assert_eq!(
        sixth.reply(),
        (1, Reply::Refused { pause: true }),
        "the two held and the fifth reach the cap of three"
    );
    drop(held);
}

/// Sets the soft limit on open descriptors of the process.
pub fn set_descriptor_limit(proxy: &Proxy, limit: u64) {
    let pid = rustix::process::Pid::from_raw(proxy.child.id() as i32).expect("pid is not zero");
    // The process inherited its hard limit from this one.
    let maximum = rustix::process::getrlimit(rustix::process::Resource::Nofile).maximum;
    let nofile = rustix::process::Rlimit { current: Some(limit), maximum };
    rustix::process::prlimit(Some(pid), rustix::process::Resource::Nofile, nofile).expect("prlimit");
}

/// Returns the number of descriptors that the process has open.
pub fn open_descriptors(proxy: &Proxy) -> u64 {
    std::fs::read_dir(format!("/proc/{}/fd", proxy.child.id())).expect("list the descriptors").count() as u64
}

#[test]
fn descriptor_shortage_keeps_open_requests_and_upstream_reserve() {
    let (cache, parent) = (Cache::new("s-00000001"), Cache::new("s-0000000p"));
    let hcl = "admission {\n per_address = 0\n per_prefix = 0\n rate_per_s = 0\n reserve_upstream = 8\n}\n";
    let proxy = start_with_admission("admission-descriptors", &[&cache, &parent], hcl);
    let mut client = Client::new(&proxy);
    assert!(client.ping(1));
    client.send(&request(2, "replay"));
    let mut open = cache.next_line();
    set_descriptor_limit(&proxy, open_descriptors(&proxy) + 12);
    let flood: Vec<TcpStream> = (0..60).map(|_| connect_from("127.0.0.5", proxy.addr)).collect();
    proxy.wait_for_log("refused: descriptors from 127.0.0.5");
    // The write needs a new connection to its cache, for which the reserve keeps a descriptor.
    client.send(&request(3, "result"));
    let started = std::time::Instant::now();
    let mut write = loop {
        assert!(
            started.elapsed() < TEST_TIMEOUT,
            "the write reached no server: {:#?}",
            proxy.unread_log_lines()
        );
        let got = [&cache, &parent].iter().find_map(|server| server.try_next_line());
        match got {
            Some(got) if got.body == b"won" => break got,
            _ => std::thread::yield_now(),
        }
    };
    write.answer("200", "ver=a", b"");
    open.answer("200", "ver=a", b"x");
    let mut replies = [client.reply(), client.reply()];
    replies.sort_by_key(|(seqid, _)| *seqid);
    assert_eq!(
        replies[0],
        (2, served(b"x")),
        "the request that was open before the shortage gets one answer"
    );
    assert_eq!(replies[1].0, 3);
    drop(flood);
}

#[test]
fn without_reserve_descriptor_exhaustion_is_logged_and_recovers() {
    let (cache, parent) = (Cache::new("s-00000001"), Cache::new("s-0000000p"));
    let hcl = "admission {\n per_address = 0\n per_prefix = 0\n rate_per_s = 0\n reserve_upstream = 0\n most_refusing = 1000\n}\n";
    let proxy = start_with_admission("admission-spare", &[&cache, &parent], hcl);
    let mut client = Client::new(&proxy);
    client.send(&request(1, "replay"));
    let mut open = cache.next_line();
    // A limit below the number of open descriptors: a new one is available only by closing the spare one.
    set_descriptor_limit(&proxy, open_descriptors(&proxy) - 2);
    let flood: Vec<TcpStream> = (0..30).map(|_| connect_from("127.0.0.6", proxy.addr)).collect();
    assert!(proxy.wait_for_log("descriptors: exhausted").contains("accepting pauses"));
    open.answer("200", "ver=a", b"x");
    assert_eq!(
        client.reply(),
        (1, served(b"x")),
        "the request that was open before the shortage gets one answer"
    );
    drop(flood);
    set_descriptor_limit(&proxy, 1024);
    assert!(proxy.wait_for_log("descriptors: no longer exhausted").contains("accepts failed"));
    let mut later = Client::new(&proxy);
    assert!(later.ping(1), "connections are accepted once descriptors are available again");
}

#[test]
fn upgrade_keeps_addresses_of_handed_over_connections_known() {
    let (cache, parent) = (Cache::new("s-00000001"), Cache::new("s-0000000p"));
    // Of 64 descriptors 25 are left for clients, and nine tenths of these are reserved for known addresses.
    let hcl = "admission {\n reserve_known = 0.9\n rate_per_s = 0\n}\n";
    let path = folder("admission-upgrade").join("admission.hcl");
    std::fs::write(&path, hcl).expect("write the file");
    let extra_args = ["--admission", path.to_str().expect("the path is UTF-8")];
    let low_socket_limit = |config: &str| config.replace("\"sockets\":1024", "\"sockets\":64");
    let old = Proxy::start("admission-upgrade", &[&cache, &parent], low_socket_limit, &extra_args);
    let mut clients: Vec<Client> = (0..2).map(|_| Client(connect_from("127.0.0.7", old.addr))).collect();
    assert!(clients.iter_mut().all(|client| client.ping(1)));
    let new = old.start_newer(&extra_args);
    old.wait_for_log("a newer process takes over");
    old.signal("-TERM");
    old.wait_for_log("listeners closed: the newer process accepts clients");
    assert!(
        clients.iter_mut().all(|client| client.ping(2)),
        "connections that were handed over are still served"
    );
    let mut old = old;
    assert!(old.child.wait().expect("wait for the exit").success());
    new.wait_for_log("the older process has ended");
    // The newer process received the two connections in good standing: it knows their address, but not that of
    // another client.
    let mut unknown_client = Client(connect_from("127.0.0.8", new.addr));
    unknown_client.send(&request(1, "replay"));
    assert_eq!(unknown_client.reply(), (1, Reply::Refused { pause: true }));
    let mut third = Client(connect_from("127.0.0.7", new.addr));
    assert!(read_is_served(&mut third, &[&cache, &parent], 1), "the address is known from the older process");
}

//! Connection admission on real sockets: a flood from one address, clients behind one address, descriptors that
//! run out for real (the child's RLIMIT_NOFILE is lowered), and admission changed by SIGHUP.

use crate::stand_ins::*;
use crate::thrift_front::{request, served, Client, Reply};
use std::net::{SocketAddr, TcpStream};

/// A connection from a loopback address of the test's choice.
fn connect_from(local: &str, to: SocketAddr) -> TcpStream {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).expect("a socket");
    let local: SocketAddr = format!("{local}:0").parse().expect("an address");
    socket.bind(&local.into()).expect("bound");
    socket.connect(&to.into()).expect("a connection");
    let stream: TcpStream = socket.into();
    stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("a time-out");
    stream
}

fn start_with_admission(name: &str, caches: &[&Cache], hcl: &str) -> Proxy {
    let path = folder(name).join("admission.hcl");
    std::fs::write(&path, hcl).expect("a file");
    Proxy::start(name, caches, |config| config.to_owned(), &["--admission", path.to_str().expect("a path")])
}

/// Asks for a read, with the caches serving what they are sent, until one is served (20 tries at most): the
/// module may refuse a read now and then, admission is what is tested here.
fn read_is_served(client: &mut Client, caches: &[&Cache], seqid: i32) -> bool {
    (0..20).any(|n| {
        let seqid = seqid * 100 + n;
        client.send(&request(seqid, "replay"));
        client.0.set_read_timeout(Some(std::time::Duration::from_millis(5))).expect("a time-out");
        while client.0.peek(&mut [0]).is_err() {
            for cache in caches {
                if let Some(mut got) = cache.try_next_line() {
                    got.answer("200", "ver=a", b"x");
                }
            }
        }
        client.0.set_read_timeout(Some(TEST_TIMEOUT)).expect("a time-out");
        client.reply() == (seqid, served(b"x"))
    })
}

#[test]
fn flood_from_one_address_is_refused_and_known_clients_served() {
    let (cache, parent) = (Cache::new("s-00000001"), Cache::new("s-0000000p"));
    let hcl = "admission {\n per_address = 4\n per_prefix = 0\n rate_per_s = 0\n}\n";
    let proxy = start_with_admission("admission-flood", &[&cache, &parent], hcl);
    // Known clients behind one shared address: each asks as it comes, so each is in good standing.
    let known = (0..8).map(|n| {
        let mut client = Client(connect_from("127.0.0.2", proxy.addr));
        assert!(client.ping(1), "client {n} behind the shared address");
        client
    });
    let mut known: Vec<Client> = known.collect();
    // A flood from another address of connections that say nothing: four are taken, the rest refused.
    let flood: Vec<TcpStream> = (0..40).map(|_| connect_from("127.0.0.3", proxy.addr)).collect();
    let mut refused = Client(connect_from("127.0.0.3", proxy.addr));
    // A ping is answered there as anywhere, and the connection stays for the request that follows.
    assert!(refused.ping(1));
    refused.send(&request(2, "replay"));
    assert_eq!(
        refused.reply(),
        (2, Reply::Refused { pause: true }),
        "a refusal with a pause, never a silent reset"
    );
    assert!(refused.is_closed(), "then its end");
    proxy.wait_for_log("refused: address from 127.0.0.3");
    // The known clients keep playing, and one more behind their address still comes in.
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
    // A file with an error: the old caps stay, and the log says why.
    std::fs::write(&path, "admission {\n per_address = -3\n}\n").expect("a file");
    proxy.signal("-HUP");
    assert!(proxy.wait_for_log("reload: ").contains("admission.hcl"));
    let mut fourth = Client(connect_from("127.0.0.4", proxy.addr));
    fourth.send(&request(1, "replay"));
    assert_eq!(fourth.reply(), (1, Reply::Refused { pause: true }));
    // A good one raises the cap for what comes from then on; what is open stays counted.
    std::fs::write(&path, "admission {\n per_address = 3\n}\n").expect("a file");
    proxy.signal("-HUP");
    proxy.wait_for_log("reloaded: ");
    let mut fifth = Client(connect_from("127.0.0.4", proxy.addr));
    assert!(read_is_served(&mut fifth, &[&cache, &parent], 1));
    let mut sixth = Client(connect_from("127.0.0.4", proxy.addr));
    sixth.send(&request(1, "replay"));
    assert_eq!(sixth.reply(), (1, Reply::Refused { pause: true }), "two held and the fifth make three");
    drop(held);
}

/// The child's soft limit of descriptors, lowered for real.
pub fn set_descriptor_limit(proxy: &Proxy, limit: u64) {
    let pid = rustix::process::Pid::from_raw(proxy.child.id() as i32).expect("a pid");
    // The child's hard limit is the one it had from this process.
    let maximum = rustix::process::getrlimit(rustix::process::Resource::Nofile).maximum;
    let nofile = rustix::process::Rlimit { current: Some(limit), maximum };
    rustix::process::prlimit(Some(pid), rustix::process::Resource::Nofile, nofile).expect("prlimit");
}

pub fn open_descriptors(proxy: &Proxy) -> u64 {
    std::fs::read_dir(format!("/proc/{}/fd", proxy.child.id())).expect("its descriptors").count() as u64
}

#[test]
fn descriptor_shortage_keeps_open_requests_and_upstream_reserve() {
    let (cache, parent) = (Cache::new("s-00000001"), Cache::new("s-0000000p"));
    let hcl = "admission {\n per_address = 0\n per_prefix = 0\n rate_per_s = 0\n reserve_upstream = 8\n}\n";
    let proxy = start_with_admission("admission-descriptors", &[&cache, &parent], hcl);
    let mut player = Client::new(&proxy);
    assert!(player.ping(1));
    player.send(&request(2, "replay"));
    let mut open = cache.next_line();
    set_descriptor_limit(&proxy, open_descriptors(&proxy) + 12);
    let flood: Vec<TcpStream> = (0..60).map(|_| connect_from("127.0.0.5", proxy.addr)).collect();
    proxy.wait_for_log("refused: descriptors from 127.0.0.5");
    // A write takes a fresh connection to its cache: the reserve keeps one for it.
    player.send(&request(3, "result"));
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
    let mut replies = [player.reply(), player.reply()];
    replies.sort_by_key(|(seqid, _)| *seqid);
    assert_eq!(replies[0], (2, served(b"x")), "the item taken before is answered once");
    assert_eq!(replies[1].0, 3);
    drop(flood);
}

#[test]
fn without_reserve_descriptor_exhaustion_is_logged_and_recovers() {
    let (cache, parent) = (Cache::new("s-00000001"), Cache::new("s-0000000p"));
    let hcl = "admission {\n per_address = 0\n per_prefix = 0\n rate_per_s = 0\n reserve_upstream = 0\n most_refusing = 1000\n}\n";
    let proxy = start_with_admission("admission-spare", &[&cache, &parent], hcl);
    let mut player = Client::new(&proxy);
    player.send(&request(1, "replay"));
    let mut open = cache.next_line();
    // Below what it holds: no new descriptor can be had, but by giving the spare up.
    set_descriptor_limit(&proxy, open_descriptors(&proxy) - 2);
    let flood: Vec<TcpStream> = (0..30).map(|_| connect_from("127.0.0.6", proxy.addr)).collect();
    assert!(proxy.wait_for_log("descriptors: exhausted").contains("accepting pauses"));
    open.answer("200", "ver=a", b"x");
    assert_eq!(player.reply(), (1, served(b"x")), "the item taken before gets its one answer");
    drop(flood);
    set_descriptor_limit(&proxy, 1024);
    assert!(proxy.wait_for_log("descriptors: no longer exhausted").contains("accepts failed"));
    let mut later = Client::new(&proxy);
    assert!(later.ping(1), "once descriptors are back, connections are taken again");
}

#[test]
fn upgrade_keeps_addresses_of_handed_over_connections_known() {
    let (cache, parent) = (Cache::new("s-00000001"), Cache::new("s-0000000p"));
    // 64 descriptors leave 25 for clients; nine tenths of them are kept for known addresses.
    let hcl = "admission {\n reserve_known = 0.9\n rate_per_s = 0\n}\n";
    let path = folder("admission-upgrade").join("admission.hcl");
    std::fs::write(&path, hcl).expect("a file");
    let more = ["--admission", path.to_str().expect("a path")];
    let few = |config: &str| config.replace("\"sockets\":1024", "\"sockets\":64");
    let old = Proxy::start("admission-upgrade", &[&cache, &parent], few, &more);
    let mut players: Vec<Client> = (0..2).map(|_| Client(connect_from("127.0.0.7", old.addr))).collect();
    assert!(players.iter_mut().all(|player| player.ping(1)));
    let new = old.start_newer(&more);
    old.wait_for_log("a newer process takes over");
    old.signal("-TERM");
    old.wait_for_log("listeners closed: the newer process accepts clients");
    assert!(players.iter_mut().all(|player| player.ping(2)), "handed on, they go on");
    let mut old = old;
    assert!(old.child.wait().expect("an end").success());
    new.wait_for_log("the older process has ended");
    // The newer process took the two in good standing: their address is known there, a stranger's is not.
    let mut stranger = Client(connect_from("127.0.0.8", new.addr));
    stranger.send(&request(1, "replay"));
    assert_eq!(stranger.reply(), (1, Reply::Refused { pause: true }));
    let mut third = Client(connect_from("127.0.0.7", new.addr));
    assert!(read_is_served(&mut third, &[&cache, &parent], 1), "an address known from the older process");
}

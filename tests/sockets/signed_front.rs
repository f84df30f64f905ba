//! The signed front: HTTP requests with signed URLs and tokens. Each request gets exactly one correct final answer.

use crate::stand_ins::*;
use crate::thrift_front;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::Command;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::channel;
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::{SystemTime, UNIX_EPOCH};

const OBJECT: &str = "7f3a9c21e0b4d655";
const SIGNED_CONFIG: &str = r#"
listen = "127.0.0.1:0"
scheme = "https"
hosts = ["replays.example.org"]
head_timeout_ms = 10000
[[key]]
name = "links"
algorithm = "url-hmac-sha1"
secret_file = "links.secret"
[[key]]
name = "tables"
algorithm = "HS256"
secret_file = "tables.secret"
issuers = ["games"]
[[route]]
path = "/replays/{group}/{object}/{part}"
class = "replay"
[[route]]
path = "/short/{object}"
class = "replay"
patience_ms = 50
"#;

struct Setup {
    cache: Cache,
    _parent: Cache,
    proxy: Proxy,
    addr: SocketAddr,
    file: PathBuf,
}

fn setup(name: &str) -> Setup {
    setup_with_config(name, SIGNED_CONFIG)
}

fn setup_with_config(name: &str, signed_config: &str) -> Setup {
    setup_with_changes(name, signed_config, str::to_owned)
}

fn setup_with_changes(name: &str, signed_config: &str, change: impl Fn(&str) -> String) -> Setup {
    setup_with_args(name, signed_config, change, &[])
}

fn setup_with_args(
    name: &str,
    signed_config: &str,
    change: impl Fn(&str) -> String,
    extra_args: &[&str],
) -> Setup {
    let folder = folder(name);
    let file = folder.join("signed.toml");
    std::fs::write(&file, signed_config).expect("write the file");
    std::fs::write(folder.join("links.secret"), "AAECAwQFBgcICQoLDA0ODw==\n").expect("write the file");
    std::fs::write(folder.join("tables.secret"), "Dw4NDAsKCQgHBgUEAwIBAA\n").expect("write the file");
    let (cache, parent) = (Cache::new("s-00000001"), Cache::new("s-0000000p"));
    let args = [&["--signed", file.to_str().expect("the path is UTF-8")][..], extra_args].concat();
    let proxy = Proxy::start(name, &[&cache, &parent], change, &args);
    let addr = proxy.wait_for_log("signed front: listening on ").parse().expect("a valid address");
    Setup { cache, _parent: parent, proxy, addr, file }
}

fn now() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).expect("the time is after 1970").as_secs()
}

/// Waits until the wall clock, by which links expire, has reached a Unix time.
fn wait_for_second(second: u64) {
    while now() < second {
        std::thread::yield_now();
    }
}

impl Setup {
    /// Runs `dahliatrack sign` and returns what it prints.
    fn sign(&self, arguments: &[&str]) -> String {
        let program = env!("CARGO_BIN_EXE_dahliatrack");
        let output =
            Command::new(program).arg("sign").args(arguments).arg("--signed").arg(&self.file).output();
        let output = output.expect("run the program");
        assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
        String::from_utf8(output.stdout).expect("the output is UTF-8").trim().to_owned()
    }

    /// Signs a path that expires at a Unix time, in s.
    fn signed_path(&self, path: &str, expires: u64) -> String {
        let url = format!("https://replays.example.org{path}");
        let signed = self.sign(&["url", "--key", "links", "--expires", &expires.to_string(), &url]);
        signed.strip_prefix("https://replays.example.org").expect("the URL starts with the host").to_owned()
    }

    fn signed_replay_path(&self, part: u32, expires: u64) -> String {
        self.signed_path(&format!("/replays/17/{OBJECT}/{part}"), expires)
    }

    fn client(&self) -> Client {
        let stream = TcpStream::connect(self.addr).expect("connect");
        stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("set the read timeout");
        Client(stream)
    }
}

struct Client(TcpStream);

#[derive(Debug)]
struct Answer {
    status: u16,
    head: String,
    body: Vec<u8>,
}

impl Client {
    fn send(&mut self, method: &str, path: &str, headers: &str) {
        let text = format!("{method} {path} HTTP/1.1\r\nHost: replays.example.org\r\n{headers}\r\n");
        self.0.write_all(text.as_bytes()).expect("write to the connection");
    }

    fn get(&mut self, path: &str) {
        self.send("GET", path, "");
    }

    fn head(&mut self) -> (u16, String) {
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            let mut byte = [0];
            self.0.read_exact(&mut byte).expect("read the response head");
            head.push(byte[0]);
        }
        let head = String::from_utf8(head).expect("the head is UTF-8");
        (head[9..12].parse().expect("a status code"), head)
    }

    fn answer(&mut self) -> Answer {
        let (status, head) = self.head();
        let length = header(&head, "Content-Length").map_or(0, |length| length.parse().expect("a length"));
        let mut body = vec![0; length];
        self.0.read_exact(&mut body).expect("read the body");
        Answer { status, head, body }
    }

    /// Returns the remaining bytes until the edge proxy closes the connection.
    fn read_until_closed(&mut self) -> Vec<u8> {
        let mut rest = Vec::new();
        self.0.read_to_end(&mut rest).expect("read until closed");
        rest
    }
}

fn header<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    head.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(": "))
}

/// A client that pipelines requests without a credential as fast as it can, and reads its answers.
struct Flood {
    is_over: Arc<AtomicBool>,
    sender: JoinHandle<()>,
    reader: JoinHandle<()>,
}

impl Flood {
    /// Starts the client, and waits until it is answered.
    fn start(client: Client) -> Self {
        let (mut answers, mut requests) = (client.0.try_clone().expect("clone the stream"), client.0);
        let is_over = Arc::new(AtomicBool::new(false));
        let is_sender_over = Arc::clone(&is_over);
        let request = format!("GET /replays/17/{OBJECT}/3 HTTP/1.1\r\nHost: replays.example.org\r\n\r\n");
        let sender = thread::spawn(move || {
            let batch = request.repeat(500);
            while !is_sender_over.load(Ordering::Relaxed) && requests.write_all(batch.as_bytes()).is_ok() {}
            let _ = requests.shutdown(Shutdown::Write);
        });
        let (first, is_answered) = channel();
        let reader = thread::spawn(move || {
            let mut buffer = vec![0; 1 << 20];
            while let Ok(1..) = answers.read(&mut buffer) {
                let _ = first.send(());
            }
        });
        is_answered.recv_timeout(TEST_TIMEOUT).expect("an answer");
        Flood { is_over, sender, reader }
    }

    /// Stops sending; returns whether the client was still connected.
    fn stop(self) -> bool {
        let was_connected = !self.sender.is_finished();
        self.is_over.store(true, Ordering::Relaxed);
        self.sender.join().expect("the sender ends");
        self.reader.join().expect("the reader ends");
        was_connected
    }
}

/// Guards against a client of this front that keeps the event loop to itself: no other client was served, no signal
/// handled, and the process ended when its stack was full.
#[test]
fn fast_client_of_signed_front_does_not_starve_others() {
    let mut setup = setup("signed-turns");
    let flood = Flood::start(setup.client());
    let (mut thrift, mut signed) = (thrift_front::Client::new(&setup.proxy), setup.client());
    for seqid in 1..=50 {
        assert!(thrift.ping(seqid));
        signed.get(&format!("/replays/17/{OBJECT}/3"));
        assert_eq!(signed.answer().status, 403);
    }
    assert!(flood.stop(), "the client that sends fast is served, too");
    setup.proxy.signal("-TERM");
    assert!(setup.proxy.child.wait().expect("the process ends").success());
}

#[test]
fn valid_forged_expired_and_missing_links_get_one_answer_each() {
    let setup = setup("links");
    let mut client = setup.client();
    let good = setup.signed_replay_path(3, now() + 60);
    client.get(&good);
    let mut got = setup.cache.next_line();
    assert_eq!((got.field("item"), got.field("chunk")), (Some(OBJECT), Some("3")));
    got.answer("200", "ver=a1,born=5", b"a game");
    let served = client.answer();
    assert_eq!((served.status, &served.body[..]), (200, &b"a game"[..]));
    assert_eq!(header(&served.head, "ETag"), Some("\"a1\""));
    for (path, status, what) in [
        (good.replace("/17/", "/18/"), 403, "for another group"),
        (good.replace("Expires=1", "Expires=2"), 403, "with a longer life"),
        (setup.signed_replay_path(3, now() - 1), 403, "expired"),
        (format!("/replays/17/{OBJECT}/3"), 403, "without a credential"),
        (format!("{good}&URISigningPackage=x"), 400, "with two credentials"),
        (good.replace('?', "?Expires=1&"), 400, "with a parameter twice"),
        (setup.signed_path("/elsewhere", now() + 60), 404, "to no route"),
    ] {
        let mut client = setup.client();
        client.get(&path);
        assert_eq!(client.answer().status, status, "{what}");
    }
    assert_eq!(setup.cache.unread_lines(), Vec::<String>::new(), "no attempt is sent for any of these");
}

#[test]
fn token_opens_only_its_object_or_table() {
    let setup = setup("tokens");
    let end = (now() + 60).to_string();
    let issue = |bound: &str, url: &str| {
        let url = format!("https://replays.example.org{url}");
        setup.sign(&["token", "--key", "tables", "--issuer", "games", "--expires", &end, bound, &url])
    };
    let (path, other) = (format!("/replays/17/{OBJECT}/3"), format!("/replays/18/{OBJECT}/3"));
    for token in [issue("--object", &path), issue("--table", "/replays/17/")] {
        let mut client = setup.client();
        client.get(&format!("{path}?URISigningPackage={token}"));
        setup.cache.next_line().answer("200", "ver=a1", b"a game");
        assert_eq!(client.answer().status, 200);
        client.send("GET", &path, &format!("Cookie: URISigningPackage={token}\r\n"));
        setup.cache.next_line().answer("200", "ver=a1", b"a game");
        assert_eq!(client.answer().status, 200);
        client.get(&format!("{other}?URISigningPackage={token}"));
        assert_eq!(client.answer().status, 403);
        client.get(&format!("{path}?URISigningPackage={token}A"));
        assert_eq!(client.answer().status, 403);
    }
    assert_eq!(setup.cache.unread_lines(), Vec::<String>::new());
}

#[test]
fn link_expiring_during_fill_is_denied_and_fill_aborted() {
    let setup = setup("mid-fill");
    let mut client = setup.client();
    client.get(&setup.signed_replay_path(3, now() + 3));
    let mut got = setup.cache.next_line();
    assert_eq!(client.answer().status, 403, "denied while the fill is in flight");
    assert_eq!(setup.cache.next_line().words[0], "abort");
    got.answer("200", "ver=a1", b"too late");
    client.get(&setup.signed_replay_path(4, now() + 60));
    setup.cache.next_line().answer("200", "ver=a1", b"next");
    assert_eq!(client.answer().body, b"next", "the late copy is discarded");
}

#[test]
fn link_expiring_while_answer_is_queued_sends_no_body() {
    let setup = setup("chosen");
    let mut client = setup.client();
    let end = now() + 3;
    client.get(&setup.signed_replay_path(1, now() + 60));
    let mut first = setup.cache.next_line();
    // The second copy has arrived, but its answer is queued behind the first.
    client.get(&setup.signed_replay_path(2, end));
    setup.cache.next_line().answer("200", "ver=b2", b"leaked");
    client.get(&setup.signed_replay_path(3, now() + 60));
    let mut third = setup.cache.next_line();
    wait_for_second(end);
    first.answer("200", "ver=b1", b"first");
    third.answer("200", "ver=b3", b"third");
    let answers = [client.answer(), client.answer(), client.answer()];
    let said = answers.map(|answer| (answer.status, answer.body));
    assert_eq!(said, [(200, b"first".to_vec()), (403, vec![]), (200, b"third".to_vec())]);
    assert_eq!(setup.cache.unread_lines(), Vec::<String>::new());
}

#[test]
fn body_in_progress_continues_past_link_expiry() {
    let setup = setup("begun");
    let mut client = setup.client();
    let end = now() + 3;
    let body = vec![7; 240_000];
    client.get(&setup.signed_replay_path(1, end));
    setup.cache.next_line().answer("200", "ver=a", &body);
    let (status, _) = client.head();
    wait_for_second(end);
    let mut rest = vec![0; body.len()];
    client.0.read_exact(&mut rest).expect("read the body");
    assert_eq!((status, rest == body), (200, true));
}

#[test]
fn fill_is_aborted_when_client_leaves() {
    let setup = setup("gone");
    let mut client = setup.client();
    client.get(&setup.signed_replay_path(1, now() + 60));
    let trace = setup.cache.next_line().words[1].clone();
    drop(client);
    assert_eq!(setup.cache.next_line().words, ["abort", &trace]);
}

#[test]
fn head_has_no_body_and_matching_etag_gets_304() {
    let setup = setup("head");
    let mut client = setup.client();
    client.send("HEAD", &setup.signed_replay_path(1, now() + 60), "");
    setup.cache.next_line().answer("200", "ver=a", b"12345");
    let (status, head) = client.head();
    assert_eq!((status, header(&head, "Content-Length")), (200, Some("5")));
    client.send("GET", &setup.signed_replay_path(1, now() + 60), "If-None-Match: \"a\"\r\n");
    let mut got = setup.cache.next_line();
    assert_eq!(got.field("seen"), Some("a"));
    got.answer("304", "ver=a", b"");
    let same = client.answer();
    assert_eq!((same.status, header(&same.head, "ETag")), (304, Some("\"a\"")));
    client.send("GET", &setup.signed_replay_path(1, now() + 60), "If-None-Match: \"z\", \"a\"\r\n");
    setup.cache.next_line().answer("200", "ver=a", b"12345");
    assert_eq!(
        client.answer().status,
        304,
        "the answer's tag is compared with each of several tags in If-None-Match"
    );
}

#[test]
fn each_outcome_has_its_http_status() {
    let setup = setup("status");
    let mut client = setup.client();
    // Each attempt is answered with an error; the policy module may retry before it gives up.
    client.get(&setup.signed_replay_path(1, now() + 60));
    let mut failed = setup.cache.next_line();
    failed.answer("503", "tell=turned_away", b"");
    let answer = std::thread::scope(|scope| {
        let rest = scope.spawn(|| client.answer());
        while !rest.is_finished() {
            if let Some(mut again) = setup.cache.try_next_line().filter(|again| again.words[0] == "fetch") {
                again.answer("503", "tell=turned_away", b"");
            }
        }
        rest.join().expect("an answer")
    });
    assert_eq!((answer.status, header(&answer.head, "Retry-After")), (503, Some("2")), "1.5 s, rounded up");
    client.get(&setup.signed_path(&format!("/short/{OBJECT}"), now() + 60));
    assert_eq!(client.answer().status, 504, "the deadline has passed");
    client.send("POST", &setup.signed_replay_path(1, now() + 60), "");
    assert_eq!(client.answer().status, 405);
    let mut other = setup.client();
    let path = setup.signed_replay_path(1, now() + 60);
    other
        .0
        .write_all(format!("GET {path} HTTP/1.1\r\nHost: h\r\n\r\n").as_bytes())
        .expect("write to the connection");
    assert_eq!(other.answer().status, 421);
    for (text, status) in [
        ("GET / HTTP/1.1\r\n\r\n".to_owned(), 400),
        ("GET / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nx".to_owned(), 400),
        (format!("GET /{} HTTP/1.1\r\n", "x".repeat(20_000)), 431),
    ] {
        let mut client = setup.client();
        client.0.write_all(text.as_bytes()).expect("write to the connection");
        assert_eq!(client.answer().status, status);
        assert!(client.read_until_closed().is_empty(), "the connection is closed");
    }
    let mut many = setup.client();
    (0..40).for_each(|part| many.get(&format!("/replays/17/{OBJECT}/{part}")));
    (0..40).for_each(|_| {
        assert_eq!(many.answer().status, 403, "requests beyond the limit on open ones are read later")
    });
}

#[test]
fn incomplete_request_head_times_out() {
    let setup = setup_with_config("slow-head", &SIGNED_CONFIG.replace("10000", "100"));
    let mut client = setup.client();
    client.0.write_all(b"GET / HTTP/1.1\r\nHost").expect("write to the connection");
    assert_eq!(client.answer().status, 408);
    assert!(client.read_until_closed().is_empty());
    assert!(
        setup.client().read_until_closed().is_empty(),
        "a connection that sends nothing is closed without an answer"
    );
}

#[test]
fn sighup_changes_keys_and_bad_file_changes_none() {
    let setup = setup("rotate");
    let (mut waits, mut client) = (setup.client(), setup.client());
    let (old, open) = (setup.signed_replay_path(1, now() + 1000), setup.signed_replay_path(2, now() + 1000));
    waits.get(&open);
    let mut fill = setup.cache.next_line();
    let secret = setup.file.with_file_name("links.secret");
    std::fs::write(&secret, "too short\n").expect("write the file");
    setup.proxy.signal("-HUP");
    setup.proxy.wait_for_log("the old configuration stays");
    client.get(&old);
    setup.cache.next_line().answer("200", "ver=a", b"x");
    assert_eq!(client.answer().status, 200, "the old key is still valid");
    std::fs::write(&secret, "DwAODwAODwAODwAODwAODw==\n").expect("write the file");
    setup.proxy.signal("-HUP");
    setup.proxy.wait_for_log("reloaded: feed ");
    client.get(&old);
    assert_eq!(client.answer().status, 403, "a link signed with the replaced key is denied");
    client.get(&setup.signed_replay_path(3, now() + 1000));
    setup.cache.next_line().answer("200", "ver=a", b"z");
    assert_eq!(client.answer().body, b"z", "a link signed with the new key is served");
    fill.answer("200", "ver=a", b"y");
    assert_eq!(waits.answer().body, b"y", "a request that was admitted with the old key is still answered");
}

/// A flood of connections that send nothing must neither keep out a client with a link nor close a connection that
/// waits for its answer.
#[test]
fn idle_connection_flood_does_not_block_a_link() {
    let setup =
        setup_with_changes("link-flood", SIGNED_CONFIG, |c| c.replace("\"sockets\":1024", "\"sockets\":64"));
    let (mut old, path) = (setup.client(), setup.signed_replay_path(1, now() + 1000));
    old.get(&path);
    let mut open = setup.cache.next_line();
    let flood: Vec<Client> = (0..100).map(|_| setup.client()).collect();
    let mut new = setup.client();
    new.get(&setup.signed_replay_path(2, now() + 1000));
    setup.cache.next_line().answer("200", "ver=a", b"new");
    assert_eq!(new.answer().body, b"new");
    open.answer("200", "ver=a", b"old");
    assert_eq!(old.answer().body, b"old");
    drop(flood);
}

#[test]
fn request_head_may_arrive_in_pieces() {
    let setup = setup("cut-head");
    let path = setup.signed_replay_path(3, now() + 60);
    let mut client = setup.client();
    client.0.set_nodelay(true).expect("set TCP_NODELAY");
    let text = format!("GET {path} HTTP/1.1\r\nHost: replays.example.org\r\n\r\n");
    text.bytes().for_each(|byte| client.0.write_all(&[byte]).expect("write to the connection"));
    setup.cache.next_line().answer("200", "ver=a", b"x");
    assert_eq!(client.answer().status, 200);
    client.0.write_all(&text.as_bytes()[..text.len() / 2]).expect("write to the connection");
    client.0.shutdown(std::net::Shutdown::Write).expect("shut down the sending side");
    assert_eq!(client.read_until_closed(), b"", "a connection that ends within a head gets no answer");
}

#[test]
fn sighup_updates_classes_of_routes() {
    let setup = setup("link-classes");
    let path = setup.signed_replay_path(3, now() + 60);
    let mut client = setup.client();
    client.get(&path);
    let mut open = setup.cache.next_line();
    let rename_class = |text: &str| text.replace("\"name\": \"replay\"", "\"name\": \"table\"");
    setup.proxy.rewrite_config(rename_class);
    setup.proxy.signal("-HUP");
    setup.proxy.wait_for_log(
        "class \"replay\" is not defined in the settings or is never cached; the old configuration stays",
    );
    std::fs::write(&setup.file, SIGNED_CONFIG.replace("class = \"replay\"", "class = \"table\""))
        .expect("write the file");
    setup.proxy.signal("-HUP");
    setup.proxy.wait_for_log("reloaded: ");
    open.answer("200", "ver=a", b"old");
    assert_eq!(client.answer().body, b"old");
    client.get(&path);
    let mut got = setup.cache.next_line();
    assert_eq!(got.field("cls"), Some("table"));
    got.answer("200", "ver=a", b"new");
    assert_eq!(client.answer().body, b"new");
}

#[test]
fn upgrade_answers_open_links_then_newer_process_serves() {
    let mut setup = setup("link-upgrade");
    let path = setup.signed_replay_path(3, now() + 60);
    let (mut idle, mut busy) = (setup.client(), setup.client());
    idle.get(&path);
    setup.cache.next_line().answer("200", "ver=a", b"x");
    assert_eq!(idle.answer().status, 200);
    busy.get(&path);
    let mut open = setup.cache.next_line();
    let signed_config = SIGNED_CONFIG.replace("127.0.0.1:0", &setup.addr.to_string());
    std::fs::write(&setup.file, signed_config).expect("write the file");
    let new = setup.proxy.start_newer(&["--signed", setup.file.to_str().expect("the path is UTF-8")]);
    new.wait_for_log("signed front: listening on ");
    setup.proxy.wait_for_log("a newer process takes over");
    setup.proxy.signal("-TERM");
    setup.proxy.wait_for_log("listeners closed: the newer process accepts clients");
    assert_eq!(idle.read_until_closed(), b"", "the idle connection is closed");
    open.answer("200", "ver=a", b"open");
    let last = busy.answer();
    assert_eq!((last.status, &last.body[..]), (200, &b"open"[..]));
    assert_eq!((header(&last.head, "Connection"), busy.read_until_closed()), (Some("close"), Vec::new()));
    assert!(setup.proxy.child.wait().expect("wait for the exit").success());
    let mut next = setup.client();
    next.get(&path);
    setup.cache.next_line().answer("200", "ver=a", b"new");
    assert_eq!(next.answer().body, b"new");
    // Without a newer process, requests that are open at SIGTERM are answered, too.
    next.get(&path);
    let mut open = setup.cache.next_line();
    new.signal("-TERM");
    new.wait_for_log("stopping");
    open.answer("200", "ver=a", b"last");
    assert_eq!(next.answer().body, b"last");
}

#[test]
fn signed_prefix_opens_only_its_table() {
    let setup = setup("prefix");
    let end = (now() + 60).to_string();
    let table = "https://replays.example.org/replays/17/";
    let signed = setup.sign(&["prefix", "--key", "links", "--expires", &end, table]);
    let mut client = setup.client();
    for part in [3, 4] {
        client.get(&format!("/replays/17/{OBJECT}/{part}?{signed}"));
        setup.cache.next_line().answer("200", "ver=a", b"a game");
        assert_eq!(client.answer().status, 200);
    }
    client.get(&format!("/replays/18/{OBJECT}/3?{signed}"));
    assert_eq!(client.answer().status, 403);
    assert_eq!(setup.cache.unread_lines(), Vec::<String>::new(), "no attempt is sent for another table");
}

#[test]
fn link_refused_by_admission_gets_503_with_retry_after() {
    let path = folder("links-admission").join("admission.hcl");
    std::fs::write(&path, "admission {\n per_address = 1\n rate_per_s = 0\n pause_ms = 1500\n}\n")
        .expect("write the file");
    let setup = setup_with_args(
        "links-admission",
        SIGNED_CONFIG,
        str::to_owned,
        &["--admission", path.to_str().expect("the path is UTF-8")],
    );
    let _held = TcpStream::connect(setup.addr).expect("connect");
    let mut refused = TcpStream::connect(setup.addr).expect("connect");
    refused.set_read_timeout(Some(TEST_TIMEOUT)).expect("set the read timeout");
    let mut answer = String::new();
    refused.read_to_string(&mut answer).expect("read until the connection is closed");
    assert!(answer.starts_with("HTTP/1.1 503 Service Unavailable\r\n"), "{answer}");
    // 1.5 s, rounded up to whole seconds.
    assert_eq!((header(&answer, "Retry-After"), header(&answer, "Connection")), (Some("2"), Some("close")));
}

/// Guards against a request that is lost since its client was still reading an earlier answer, which the system held, as
/// its connection was closed as idle.
#[test]
fn request_of_client_that_still_reads_answers_is_answered() {
    let config = SIGNED_CONFIG.replace("head_timeout_ms = 10000", "idle_timeout_ms = 300");
    let setup = setup_with_config("signed-reading", &config);
    let path = setup.signed_replay_path(3, now() + 3600);
    let body = vec![7; 235_000];
    let mut slow = setup.client();
    slow.get(&path);
    setup.cache.next_line().answer("200", "ver=a", &body);
    slow.0.peek(&mut [0]).expect("the answer has begun");
    for _ in 0..2 {
        let mut idle = setup.client();
        idle.get("/");
        assert_eq!(idle.answer().status, 403);
        assert!(idle.read_until_closed().is_empty(), "it is closed as idle");
    }
    slow.get(&path);
    setup.cache.next_line().answer("200", "ver=a", b"second");
    assert_eq!(slow.answer().body, body);
    assert_eq!(slow.answer().body, b"second");
}

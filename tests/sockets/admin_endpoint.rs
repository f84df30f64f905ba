//! The admin endpoint: its calls and the values of `/stats`; SIGHUP and the log.

use crate::stand_ins::*;
use crate::thrift_front::{request, served, Client, Reply};
use serde_json::Value;
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::SocketAddr;

/// Starts a proxy with an admin endpoint. Returns its cache, its parent, the proxy and the endpoint's address.
pub fn start_with_admin(name: &str, change: impl Fn(&str) -> String) -> (Cache, Cache, Proxy, SocketAddr) {
    let (cache, parent) = (Cache::new("s-00000001"), Cache::new("s-0000000p"));
    let with_admin_endpoint = |text: &str| change(text).replacen('{', "{\"admin\":\"127.0.0.1:0\",", 1);
    let proxy = Proxy::start(name, &[&cache, &parent], with_admin_endpoint, &[]);
    let addr = proxy.wait_for_log("admin endpoint: listening on ").parse().expect("a valid address");
    (cache, parent, proxy, addr)
}

/// Sends a raw HTTP request to the admin endpoint and returns the status and body of the response.
pub fn call(proxy: &Proxy, addr: SocketAddr, text: &str) -> (u16, String) {
    let mut stream = proxy.connect(addr);
    stream.write_all(text.as_bytes()).expect("write to the connection");
    let mut answer = String::new();
    stream.read_to_string(&mut answer).expect("read until the connection is closed");
    let status = answer.split(' ').nth(1).expect("a status").parse().expect("a number");
    (status, answer.split_once("\r\n\r\n").expect("a body").1.to_owned())
}

pub fn get(proxy: &Proxy, addr: SocketAddr, path: &str) -> (u16, String) {
    call(proxy, addr, &format!("GET {path} HTTP/1.1\r\nHost: admin\r\n\r\n"))
}

/// Returns all keys and values of `/stats`.
pub fn stats(proxy: &Proxy, addr: SocketAddr) -> BTreeMap<String, u64> {
    let (status, body) = get(proxy, addr, "/stats");
    assert_eq!(status, 200);
    let pair = |line: &str| line.split_once('=').map(|(key, value)| (key.to_owned(), value.parse().ok()));
    body.lines()
        .map(|line| pair(line).and_then(|(key, value)| Some((key, value?))).expect("key=value"))
        .collect()
}

/// Returns the values of the given keys of `/stats`.
pub fn stat_values<const N: usize>(proxy: &Proxy, addr: SocketAddr, keys: [&str; N]) -> [u64; N] {
    let stats = stats(proxy, addr);
    keys.map(|key| *stats.get(key).unwrap_or_else(|| panic!("no {key} in {stats:?}")))
}

#[test]
fn each_final_answer_and_attempt_is_counted_once() {
    let (cache, parent, proxy, addr) = start_with_admin("figures", str::to_owned);
    assert_eq!(get(&proxy, addr, "/healthcheck").0, 200);
    let mut client = Client::new(&proxy);
    client.send(&request(1, "replay"));
    cache.next_line().answer("200", "ver=a", b"x");
    assert_eq!(client.reply(), (1, served(b"x")));
    client.send(&request(2, "result"));
    cache.next_line().answer("500", "-", b"");
    assert_eq!(client.reply(), (2, Reply::Failed));
    // One more than may be open: the last is refused before it reaches the core.
    for seqid in 3..=35 {
        client.send(&request(seqid, "replay"));
    }
    assert_eq!(client.reply(), (35, Reply::Refused { pause: true }));
    let mut open: Vec<ReceivedLine> = (3..35).map(|_| cache.next_line()).collect();
    let keys = ["replies.replay.success", "replies.replay.overload", "replies.result.error", "concurrent"];
    assert_eq!(stat_values(&proxy, addr, keys), [1, 1, 1, 32]);
    let keys = ["dispatches", "replies.replay.dispatches", "replies.result.dispatches"];
    assert_eq!(stat_values(&proxy, addr, keys), [34, 33, 1]);
    // Requests of a client that leaves are not counted.
    drop(client);
    // Waits for the end of the connection: if both were sent at once, the answers could arrive first, which is the
    // case of the next test.
    proxy.wait_for_log("end=peer-closed");
    open.drain(..).for_each(|mut got| got.answer("200", "ver=a", b"late"));
    let keys = ["replies.replay.success", "replies.replay.error", "concurrent"];
    assert_eq!(stat_values(&proxy, addr, keys), [1, 0, 0]);
    let mut client = Client::new(&proxy);
    client.send(&request(99, "unheard-of"));
    assert_eq!(client.reply(), (99, Reply::Exception));
    assert_eq!(stat_values(&proxy, addr, ["targets", "targets_disabled"]), [1, 0]);
    proxy.feed.publish(&members_event(false, &[host_entry(&cache, "draining")]));
    proxy.wait_for_log("event 2: ");
    assert_eq!(stat_values(&proxy, addr, ["targets", "targets_disabled"]), [1, 1]);
    assert_eq!(parent.unread_lines(), [""; 0], "attempts go to the cache");
}

/// The answer and the end of its client's connection arrive in the same turn, the answer first.
#[test]
fn answer_to_departed_client_is_not_counted() {
    let (cache, _parent, proxy, addr) = start_with_admin("left-with-answer", str::to_owned);
    let mut client = Client::new(&proxy);
    client.send(&request(1, "replay"));
    let mut got = cache.next_line();
    proxy.suspend();
    got.answer("200", "ver=a", b"x");
    client.0.shutdown(std::net::Shutdown::Both).expect("shut down the connection");
    proxy.signal("-CONT");
    proxy.wait_for_log("end=peer-closed");
    assert_eq!(stat_values(&proxy, addr, ["replies.replay.success", "concurrent"]), [0, 0]);
}

#[test]
fn idle_admin_connections_do_not_block_others() {
    let (_cache, _parent, proxy, addr) = start_with_admin("callers", str::to_owned);
    let idle: Vec<_> = (0..40)
        .map(|i| {
            let mut stream = proxy.connect(addr);
            stream
                .write_all(if i % 2 == 0 { b"" } else { b"GET /stats HTTP/1.1\r\nHo" })
                .expect("write to the connection");
            stream
        })
        .collect();
    assert_eq!(get(&proxy, addr, "/healthcheck"), (200, "ok\n".into()));
    assert_eq!(get(&proxy, addr, "/elsewhere").0, 404);
    assert_eq!(call(&proxy, addr, "POST /stats HTTP/1.1\r\nHost: h\r\n\r\n").0, 405);
    assert_eq!(call(&proxy, addr, "nonsense\r\n\r\n").0, 400);
    drop(idle);
    proxy.wait_for_log("role=Admin");
}

/// Guards against callers that keep the event loop to themselves: each that was answered called again at once, and
/// accepting ended only when no caller was waiting.
#[test]
fn callers_that_call_again_at_once_do_not_block_clients() {
    let (_cache, _parent, proxy, addr) = start_with_admin("again", str::to_owned);
    let is_over = std::sync::atomic::AtomicBool::new(false);
    std::thread::scope(|scope| {
        for _ in 0..32 {
            scope.spawn(|| {
                while !is_over.load(std::sync::atomic::Ordering::Relaxed) {
                    let Ok(mut stream) = std::net::TcpStream::connect(addr) else { continue };
                    let _ = stream.write_all(b"GET /stats HTTP/1.1\r\nHost: admin\r\n\r\n");
                    let _ = stream.read_to_end(&mut Vec::new());
                }
            });
        }
        let pings = std::panic::catch_unwind(|| {
            let mut client = Client::new(&proxy);
            (1..=50).for_each(|seqid| assert!(client.ping(seqid)));
        });
        is_over.store(true, std::sync::atomic::Ordering::Relaxed);
        assert!(pings.is_ok(), "the client is answered");
    });
}

#[test]
fn healthcheck_fails_during_shutdown() {
    let (cache, _parent, mut proxy, addr) = start_with_admin("admin-stops", str::to_owned);
    let mut client = Client::new(&proxy);
    client.send(&request(1, "replay"));
    let mut open = cache.next_line();
    proxy.signal("-TERM");
    proxy.wait_for_log("stopping");
    assert_eq!(get(&proxy, addr, "/healthcheck").0, 503);
    assert_eq!(stat_values(&proxy, addr, ["concurrent"]), [1]);
    open.answer("200", "ver=a", b"x");
    assert_eq!(client.reply(), (1, served(b"x")));
    assert!(proxy.child.wait().expect("wait for the exit").success());
}

fn edit_config(proxy: &Proxy, change: impl Fn(&mut Value)) {
    proxy.rewrite_config(|text| {
        let mut config: Value = serde_json::from_str(text).expect("JSON");
        change(&mut config);
        config.to_string()
    });
}

/// Removes class `result`, adds class `table`, makes `replay` a write, and allows only one attempt.
fn change_settings(config: &mut Value) {
    let settings = &mut config["settings"];
    let mut table = settings["grades"][0].clone();
    table["name"] = "table".into();
    settings["grades"][0]["effect"] = "side_effect".into();
    settings["grades"][1] = table;
    settings["domain"]["goes_through"] = serde_json::json!([false, false]);
    settings["limits"]["max_attempts"] = 1.into();
}

#[test]
fn sighup_applies_new_classes_but_open_requests_keep_old_rules() {
    let (cache, _parent, proxy, addr) = start_with_admin("reload", str::to_owned);
    let mut client = Client::new(&proxy);
    client.send(&request(1, "replay"));
    let mut open = cache.next_line();
    edit_config(&proxy, change_settings);
    proxy.signal("-HUP");
    proxy.wait_for_log("reloaded: feed ");
    open.answer("500", "-", b"");
    let mut again = cache.next_line();
    assert_eq!(again.words[1], open.words[1], "the request is retried by the rules of when it arrived");
    again.answer("200", "ver=a", b"old");
    assert_eq!(client.reply(), (1, served(b"old")));
    client.send(&request(2, "table"));
    let mut got = cache.next_line();
    assert_eq!(got.field("cls"), Some("table"));
    got.answer("200", "ver=a", b"new");
    assert_eq!(client.reply(), (2, served(b"new")));
    client.send(&request(3, "replay"));
    cache.next_line().answer("500", "-", b"");
    assert_eq!(client.reply(), (3, Reply::Failed), "under the new rules the request is not retried");
    client.send(&request(4, "result"));
    assert_eq!(client.reply(), (4, Reply::Exception), "class `result` no longer exists");
    let keys = ["replies.replay.success", "replies.replay.error", "replies.table.success", "reload_success"];
    assert_eq!(stat_values(&proxy, addr, keys), [1, 1, 1, 1]);
}

#[test]
fn invalid_config_is_rejected_and_counted() {
    let (cache, _parent, proxy, addr) = start_with_admin("broken", str::to_owned);
    let original = std::cell::RefCell::new(String::new());
    proxy.rewrite_config(|text| {
        *original.borrow_mut() = text.to_owned();
        text.to_owned()
    });
    let mut broken = vec![String::new(), original.borrow()[..original.borrow().len() / 2].to_owned()];
    let mut add_broken = |change: &dyn Fn(&mut Value)| {
        let mut config: Value = serde_json::from_str(&original.borrow()).expect("JSON");
        change_settings(&mut config);
        change(&mut config);
        broken.push(config.to_string());
    };
    let paths = [
        "feed",
        "seed",
        "known",
        "settings",
        "limits/cores",
        "settings/skus",
        "settings/grades",
        "settings/report/names",
        "settings/limits/conn_idle",
        "settings/limits/max_attempts",
        "settings/domain/fresh_for",
        "settings/grades/0/name",
        "settings/grades/1/deadline",
    ];
    for path in paths {
        let (parent, key) = path.rsplit_once('/').unwrap_or(("", path));
        let pointer = if parent.is_empty() { String::new() } else { format!("/{parent}") };
        add_broken(&|config| {
            let parent = config.pointer_mut(&pointer).and_then(Value::as_object_mut).expect("an object");
            parent.remove(key).expect("the key exists");
        });
    }
    for value in [Value::from(0), Value::from(-1), Value::Null] {
        add_broken(&|config| config["settings"]["grades"][0]["deadline"] = value.clone());
        add_broken(&|config| config["settings"]["limits"]["max_attempts"] = value.clone());
    }
    add_broken(&|config| config["settings"]["grades"][0]["name"] = "table".into());
    for text in &broken {
        proxy.rewrite_config(|_| text.clone());
        proxy.signal("-HUP");
        proxy.wait_for_log("the old configuration stays");
    }
    assert_eq!(stat_values(&proxy, addr, ["reload_success", "reload_failure"]), [0, broken.len() as u64]);
    let mut client = Client::new(&proxy);
    client.send(&request(1, "result"));
    cache.next_line().answer("200", "ver=a", b"ran");
    assert_eq!(client.reply(), (1, served(b"ran")));
}

/// With `--log-format json` each event is one JSON line, and the end of a connection has its reason as a field.
#[test]
fn log_format_json_writes_fields() {
    let cache = Cache::new("s-00000001");
    let proxy = Proxy::start("json-log", &[&cache], str::to_owned, &["--log-format", "json"]);
    drop(Client(proxy.connect(proxy.addr)));
    let rest = proxy.wait_for_log("\"role\":\"Thrift\"");
    assert!(
        rest.contains("\"end\":\"peer-closed\"") && rest.contains("\"target\":\"dahliatrack::net\""),
        "{rest}"
    );
}

/// The process keeps serving if the reader of its log has gone.
#[test]
fn closed_log_pipe_does_not_stop_serving() {
    let cache = Cache::new("s-00000001");
    let mut proxy = Proxy::start("mute-log", &[&cache], str::to_owned, &[]);
    proxy.close_log_reader();
    // Each end of a connection is logged. The reading thread stops at the first of these lines, since the test no
    // longer receives it; from then on no line can be written.
    for n in 0..20 {
        let mut client = Client(proxy.connect(proxy.addr));
        assert!(client.ping(1), "ping on connection {n} is answered");
    }
}

//! Graceful shutdown by SIGTERM must be over before the kill time. SIGKILL may follow SIGTERM as early as after the
//! longest deadline (counted up to 3 s) plus 0.7 s.

use crate::stand_ins::*;
use crate::thrift_front::{message, request, request_within, served, Client, Reply};
use std::io::{Read, Write};
use std::net::{Shutdown, TcpStream};
use std::process::ExitStatus;
use std::time::{Duration, Instant};

/// Time from SIGTERM to the earliest SIGKILL, in addition to the longest deadline.
const KILL_DELAY: Duration = Duration::from_millis(700);

/// Returns a change of the configuration that replaces deadlines of 6 s by `ms`.
fn with_deadline(ms: u32) -> impl Fn(&str) -> String {
    move |text: &str| text.replace("\"deadline\": 6000.0", &format!("\"deadline\": {ms}.0"))
}

/// Waits for the exit of a process that received SIGTERM at `since`. Fails if it still runs at its kill time.
fn wait_for_exit_before_kill(proxy: &mut Proxy, since: Instant, longest: Duration) -> ExitStatus {
    let kill_after = longest.min(Duration::from_secs(3)) + KILL_DELAY;
    loop {
        if let Some(status) = proxy.child.try_wait().expect("query the state of the process") {
            let took = since.elapsed();
            assert!(took < kill_after, "the exit took {took:?}, the kill time is {kill_after:?}");
            return status;
        }
        assert!(since.elapsed() < kill_after, "the process still runs after {kill_after:?}");
        std::thread::sleep(Duration::from_millis(2));
    }
}

/// The requests of a client that sent until its connection ended: numbers and times of those sent, and the numbers
/// of those answered.
struct SentAndAnswered {
    sent: Vec<(i32, Instant)>,
    answered: Vec<i32>,
}

/// Sends a request every 5 ms until the connection ends, so that some are always open. Runs in a thread of its own.
fn send_until_closed(proxy: &Proxy, patience_ms: u32) -> std::thread::JoinHandle<SentAndAnswered> {
    let client = Client::new(proxy);
    let stream = client.0.try_clone().expect("duplicate the socket");
    std::thread::spawn(move || {
        let reader = std::thread::spawn(move || reply_numbers_until_closed(client.0));
        let (mut stream, mut sent) = (stream, Vec::new());
        for seqid in 1.. {
            if stream.write_all(&request_within(seqid, "replay", patience_ms)).is_err()
                || reader.is_finished()
            {
                break;
            }
            sent.push((seqid, Instant::now()));
            std::thread::sleep(Duration::from_millis(5));
        }
        SentAndAnswered { sent, answered: reader.join().expect("the reading thread does not panic") }
    })
}

/// Returns the numbers of the replies that are received until the connection ends.
fn reply_numbers_until_closed(mut stream: TcpStream) -> Vec<i32> {
    let mut bytes = Vec::new();
    let _ = stream.read_to_end(&mut bytes);
    let (mut rest, mut numbers) = (&bytes[..], Vec::new());
    while let Some((length, behind)) = rest.split_first_chunk::<4>() {
        let length = i32::from_be_bytes(*length) as usize;
        let Some(frame) = behind.get(..length) else { break };
        let name = i32::from_be_bytes(frame[4..8].try_into().expect("4 bytes")) as usize;
        numbers.push(i32::from_be_bytes(frame[8 + name..12 + name].try_into().expect("4 bytes")));
        rest = &behind[length..];
    }
    numbers
}

/// Connects and sends what cannot be read, and the same again as soon as the connection is closed, until connecting is
/// refused. Runs in a thread of its own.
fn reconnect_until_refused(addr: std::net::SocketAddr) -> std::thread::JoinHandle<()> {
    std::thread::spawn(move || {
        while let Ok(mut stream) = TcpStream::connect(addr) {
            let _ = stream.write_all(b"not a frame of the protocol");
            let _ = stream.read_to_end(&mut Vec::new());
        }
    })
}

/// Guards against a shutdown that accepts connections for ever, since their clients connect again as they are evicted:
/// the requests that were open were never answered.
#[test]
fn reconnecting_clients_do_not_delay_exit_past_sigkill() {
    let (cache, parent) = (Cache::new("s-00000001"), Cache::new("s-0000000p"));
    let change = |text: &str| with_deadline(2000)(text).replace("\"sockets\":1024", "\"sockets\":64");
    let mut proxy = Proxy::start("reconnects", &[&cache, &parent], change, &[]);
    let mut usual = Client::new(&proxy);
    assert!(usual.ping(1));
    let crowd: Vec<_> = (0..100).map(|_| reconnect_until_refused(proxy.addr)).collect();
    usual.send(&request_within(2, "replay", 1000));
    let _unanswered = cache.next_line();
    proxy.signal("-TERM");
    let since = Instant::now();
    let (seqid, _) = usual.reply();
    assert_eq!(seqid, 2, "the open request gets its final answer");
    drop(usual);
    assert!(wait_for_exit_before_kill(&mut proxy, since, Duration::from_secs(2)).success());
    crowd.into_iter().for_each(|client| client.join().expect("the thread ends"));
}

#[test]
fn sending_clients_do_not_delay_exit_past_sigkill() {
    for longest_ms in [60, 400, 3000, 6000] {
        let caches = [Cache::new("s-00000001"), Cache::new("s-0000000p")];
        let name = format!("on-and-on-{longest_ms}");
        let mut proxy = Proxy::start(&name, &[&caches[0], &caches[1]], with_deadline(longest_ms), &[]);
        // The caches never answer.
        let clients: Vec<_> = (0..3).map(|_| send_until_closed(&proxy, longest_ms)).collect();
        caches[0].next_line();
        let since = Instant::now();
        proxy.signal("-TERM");
        let status = wait_for_exit_before_kill(&mut proxy, since, Duration::from_millis(longest_ms.into()));
        assert!(status.success());
        for client in clients {
            let SentAndAnswered { sent, answered } = client.join().expect("the client thread does not panic");
            let mut once = answered.clone();
            once.sort_unstable();
            once.dedup();
            assert_eq!(once.len(), answered.len(), "no request has two answers");
            let in_time = sent.iter().filter(|(_, at)| *at < since + Duration::from_millis(400));
            let lost: Vec<i32> =
                in_time.map(|(seqid, _)| *seqid).filter(|seqid| !answered.contains(seqid)).collect();
            assert_eq!(
                lost,
                Vec::<i32>::new(),
                "unanswered, of {} sent, with deadline {longest_ms} ms",
                sent.len()
            );
        }
    }
}

#[test]
fn requests_to_hanging_servers_are_answered_at_shutdown() {
    for longest_ms in [100, 900] {
        let (cache, parent) = (Cache::new("s-00000001"), Cache::new("s-0000000p"));
        let name = format!("hang-{longest_ms}");
        let mut proxy = Proxy::start(&name, &[&cache, &parent], with_deadline(longest_ms), &[]);
        let mut clients = [Client::new(&proxy), Client::new(&proxy), Client::new(&proxy)];
        for (client, (seqid, route)) in clients.iter_mut().zip([(1, "replay"), (2, "result"), (3, "result")])
        {
            client.send(&request_within(seqid, route, longest_ms));
        }
        cache.next_line();
        let since = Instant::now();
        proxy.signal("-TERM");
        for (client, seqid) in clients.iter_mut().zip([1, 2, 3]) {
            let (answered, reply) = client.reply();
            assert_eq!(answered, seqid);
            assert!(matches!(reply, Reply::Refused { .. } | Reply::Failed), "{reply:?}");
        }
        let status = wait_for_exit_before_kill(&mut proxy, since, Duration::from_millis(longest_ms.into()));
        assert!(status.success());
    }
}

/// Guards against a shutdown that outlasts its kill time since it counts the deadline of classes that a reload has dropped
/// or changed: the requests that were open at SIGKILL were lost.
#[test]
fn classes_of_earlier_configurations_do_not_delay_exit_past_sigkill() {
    let longest_ms = 400;
    let without_replay = |text: &str| with_deadline(longest_ms)(text).replace("\"replay\"", "\"other\"");
    let changes: [&dyn Fn(&str) -> String; 2] = [&with_deadline(longest_ms), &without_replay];
    for (change, name) in changes.into_iter().zip(["shortened", "dropped"]) {
        let (cache, parent) = (Cache::new("s-00000001"), Cache::new("s-0000000p"));
        let mut proxy = Proxy::start(name, &[&cache, &parent], str::to_owned, &[]);
        let mut clients = [Client::new(&proxy), Client::new(&proxy)];
        let [old, new] = &mut clients;
        old.send(&request_within(1, "replay", 6000));
        let _unanswered = cache.next_line();
        proxy.rewrite_config(change);
        proxy.signal("-HUP");
        proxy.wait_for_log("reloaded: feed ");
        new.send(&request_within(2, "result", longest_ms));
        let since = Instant::now();
        proxy.signal("-TERM");
        for (client, seqid) in clients.iter_mut().zip([1, 2]) {
            assert_eq!(client.reply().0, seqid, "the request is answered, class {name}");
        }
        let status = wait_for_exit_before_kill(&mut proxy, since, Duration::from_millis(longest_ms.into()));
        assert!(status.success());
    }
}

/// New requests are accepted for 0.6 s after the signal, whatever the deadlines are.
#[test]
fn new_requests_after_sigterm_are_answered_with_short_deadlines() {
    let (cache, parent) = (Cache::new("s-00000001"), Cache::new("s-0000000p"));
    let mut proxy = Proxy::start("short", &[&cache, &parent], with_deadline(50), &[]);
    let since = Instant::now();
    proxy.signal("-TERM");
    proxy.wait_for_log("stopping");
    let mut seqid = 0;
    while since.elapsed() < Duration::from_millis(500) {
        seqid += 1;
        let mut client = Client::new(&proxy);
        client.send(&request_within(seqid, "replay", 50));
        assert_eq!(client.reply().0, seqid);
    }
    assert!(wait_for_exit_before_kill(&mut proxy, since, Duration::from_millis(50)).success());
}

#[test]
fn client_that_does_not_read_does_not_delay_exit() {
    let (cache, parent) = (Cache::new("s-00000001"), Cache::new("s-0000000p"));
    let mut proxy = Proxy::start("takes-none", &[&cache, &parent], with_deadline(500), &[]);
    let mut client = Client::new(&proxy);
    // The answers are more than the system's buffers hold, and further requests are not read until the client
    // reads some of them.
    for seqid in 1..=30 {
        client.send(&request_within(seqid, "replay", 500));
    }
    while let Ok(mut got) = cache.lines.recv_timeout(Duration::from_millis(200)) {
        got.answer("200", "ver=a", &[7; 240_000]);
    }
    let since = Instant::now();
    proxy.signal("-TERM");
    assert!(wait_for_exit_before_kill(&mut proxy, since, Duration::from_millis(500)).success());
}

/// The system has completed these clients' connections, but the process is killed before it accepts them. The clients
/// see a closed connection, and nothing was forwarded.
#[test]
fn process_killed_before_accept_has_forwarded_nothing() {
    let (cache, parent) = (Cache::new("s-00000001"), Cache::new("s-0000000p"));
    let mut proxy = Proxy::start("killed", &[&cache, &parent], str::to_owned, &[]);
    proxy.suspend();
    let mut clients: Vec<Client> = (0..5).map(|_| Client::new(&proxy)).collect();
    for (seqid, client) in (1..).zip(&mut clients) {
        client.send(&request(seqid, "result"));
    }
    proxy.signal("-KILL");
    proxy.child.wait().expect("wait for the exit");
    for client in &mut clients {
        assert!(client.is_closed(), "the connection ends or is reset, without an answer");
    }
    assert_eq!((cache.unread_lines(), parent.unread_lines()), (vec![], vec![]));
    // The next process serves the same request, and forwards it once.
    let next = proxy.start_newer(&[]);
    let mut client = Client::new(&next);
    client.send(&request(1, "result"));
    cache.next_line().answer("200", "ver=a", b"ran");
    assert_eq!(client.reply(), (1, served(b"ran")));
    assert_eq!(cache.unread_lines(), Vec::<String>::new());
}

/// An older process is killed beside a newer one. The newer one does not forward the requests that the killed one had
/// read.
#[test]
fn killed_older_process_loses_only_its_own_connections() {
    let (cache, parent) = (Cache::new("s-00000001"), Cache::new("s-0000000p"));
    let mut old = Proxy::start("killed-beside", &[&cache, &parent], str::to_owned, &[]);
    let mut open = Client::new(&old);
    open.send(&request(1, "result"));
    let first = cache.next_line();
    assert_eq!(first.words[1], crate::thrift_front::trace(1));
    let new = old.start_newer(&[]);
    old.wait_for_log("a newer process takes over");
    old.signal("-KILL");
    old.child.wait().expect("wait for the exit");
    assert!(open.is_closed(), "the client sees the end, and may repeat the request if that is safe");
    new.wait_for_log("the older process has ended");
    for seqid in 2..6 {
        let mut client = Client::new(&new);
        client.send(&request(seqid, "replay"));
        cache.next_line().answer("200", "ver=a", b"x");
        assert_eq!(client.reply(), (seqid, served(b"x")));
    }
    assert_eq!(cache.unread_lines(), Vec::<String>::new(), "the write was sent once");
}

/// A restarted process must be ready within 10 s.
#[test]
fn restarted_process_is_ready_in_time() {
    let (cache, parent) = (Cache::new("s-00000001"), Cache::new("s-0000000p"));
    let mut proxy = Proxy::start("again", &[&cache, &parent], str::to_owned, &[]);
    for _ in 0..3 {
        proxy.signal("-KILL");
        proxy.child.wait().expect("wait for the exit");
        let since = Instant::now();
        let next = proxy.start_newer(&[]);
        let mut client = Client::new(&next);
        assert!(client.ping(1), "the first ping is answered as ready");
        assert!(since.elapsed() < Duration::from_secs(10), "{:?}", since.elapsed());
        client.send(&request(2, "replay"));
        cache.next_line().answer("200", "ver=a", b"x");
        assert_eq!(client.reply(), (2, served(b"x")));
        proxy = next;
    }
}

/// Clients that only shut down their sending side, or send a ping during the shutdown, do not delay the exit.
#[test]
fn half_closed_and_pinging_clients_do_not_delay_exit() {
    let (cache, parent) = (Cache::new("s-00000001"), Cache::new("s-0000000p"));
    let mut proxy = Proxy::start("half-closed", &[&cache, &parent], with_deadline(300), &[]);
    let mut pinging = Client::new(&proxy);
    let half = Client::new(&proxy);
    assert!(pinging.ping(1));
    half.0.shutdown(Shutdown::Write).expect("shut down the sending side");
    let since = Instant::now();
    proxy.signal("-TERM");
    proxy.wait_for_log("stopping");
    pinging.send(&message(1, "ping", 2, &[2, 0, 1, 0]));
    let (seqid, reply) = pinging.reply();
    assert!(seqid == 2 && matches!(reply, Reply::Pong(_)));
    assert!(wait_for_exit_before_kill(&mut proxy, since, Duration::from_millis(300)).success());
}

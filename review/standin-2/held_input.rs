//! Clients that send half a message hold the memory for input; requests of usual clients that are written whole
//! must still get their final answer.

use crate::world::*;
use crate::Outcome;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const USUAL_CLIENTS: usize = 6;
const BAD_CLIENTS: usize = 480;
/// How long usual clients ask.
const PLAY: Duration = Duration::from_secs(20);
/// The length of a usual write's body; the protocol allows 48,000.
const WRITE_BYTES: usize = 40_000;
const PATIENCE_MS: u64 = 3000;
/// The slack after a request's time in which its answer only earns nothing.
const SLACK_MS: u64 = 500;

#[derive(Default)]
struct Counts {
    served: u64,
    refused: u64,
    failed: u64,
    lost: u64,
    other: u64,
}

pub fn run(record: &Arc<Record>, has_trouble: bool) -> Outcome {
    let space = Workspace::new();
    let servers = deployment(record, 20, 20_000);
    let feed = Feed::start(whole_list(&servers));
    let site = Site {
        classes: vec![REPLAY, PIECE, RESULT],
        memory_mb: 32,
        sockets: 1024,
        listen: free_address(),
        feed: feed.address,
        admin: free_address(),
        flow_bytes_per_s: 1_000_000,
        known: feed.known(),
    };
    let mut proxy = Proxy::start(&space, "edge proxy", &site, record)?;
    let (stop, counts) = (Switch::default(), Arc::new(Mutex::new(Counts::default())));
    let usual: Vec<_> = (0..USUAL_CLIENTS)
        .map(|number| {
            let (record, stop, counts, listen) = (record.clone(), stop.clone(), counts.clone(), site.listen);
            thread::spawn(move || usual_client(number, listen, &record, &stop, &counts))
        })
        .collect();
    thread::sleep(ms(2000));
    let mut bad = Vec::new();
    if has_trouble {
        record.note(format!("{BAD_CLIENTS} clients begin to send messages of a wrong length"));
        for _ in 0..BAD_CLIENTS {
            let (stop, listen) = (stop.clone(), site.listen);
            bad.push(thread::spawn(move || bad_client(listen, &stop)));
        }
    }
    thread::sleep(PLAY);
    stop.turn_on();
    for client in usual.into_iter().chain(bad) {
        let _ = client.join();
    }
    let crashed = proxy.has_ended();
    note_runs(&servers, record);
    let counts = lock(&counts);
    let Counts { served, refused, failed, lost, other } = *counts;
    record.note(format!(
        "usual writes: served {served}, refused {refused}, failed {failed}, lost {lost}, other {other}"
    ));
    // The bad clients' connections are written nothing.
    let log = proxy.log_text();
    let is_usual = |line: &&str| line.contains("role=Thrift") && !line.contains(" wrote=0");
    for line in log.lines().filter(|line| is_usual(line) || line.contains("closing gracefully")) {
        record.note(format!("log: {line}"));
    }
    if crashed {
        return Err("the edge proxy ended".into());
    }
    if served == 0 {
        return Err("no usual request was served".into());
    }
    Ok(lost > 0)
}

/// Sends one write after the other on one connection, and each only after the answer to the one before.
fn usual_client(number: usize, listen: SocketAddr, record: &Record, stop: &Switch, counts: &Mutex<Counts>) {
    while !stop.is_on() {
        let Ok(mut stream) = TcpStream::connect(listen) else {
            thread::sleep(ms(50));
            continue;
        };
        let _ = stream.set_nodelay(true);
        let _ = stream.set_read_timeout(Some(ms(PATIENCE_MS + SLACK_MS)));
        if stream.write_all(&ping(1)).is_err() || read_frame(&mut stream).is_err() {
            continue;
        }
        let mut seqid = 1;
        while !stop.is_on() {
            seqid += 1;
            let end = write_request(number, seqid, &mut stream, record, counts);
            if !matches!(end, Some(End::Served | End::Refused | End::Failed)) {
                break;
            }
            thread::sleep(ms(150));
        }
    }
}

/// Sends a write and waits for its answer; `None` if the connection ended before it was written whole.
fn write_request(
    number: usize,
    seqid: u32,
    stream: &mut TcpStream,
    record: &Record,
    counts: &Mutex<Counts>,
) -> Option<End> {
    let (id, patience) = (trace(), PATIENCE_MS.to_string());
    let fields = request_fields(RESULT.name, &id, &patience, "7f3a9c21e0b4d655");
    let frame = invoke(seqid, &fields, &vec![b'r'; WRITE_BYTES]);
    let begun = Instant::now();
    if stream.write_all(&frame).is_err() {
        record.note(format!("client {number}: {id} was not written whole"));
        lock(counts).other += 1;
        return None;
    }
    let written = Instant::now();
    let answer = read_frame(stream);
    let waited = written.elapsed();
    let end = match &answer {
        Ok(frame) => parse_answer(frame)
            .map_or(End::Wrong, |(answered, end, _)| if answered == seqid { end } else { End::Wrong }),
        Err(error)
            if matches!(error.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut) =>
        {
            End::Unanswered
        }
        Err(_) => End::ConnectionEnded,
    };
    // A request that crosses a close within 50 ms is sent once more, which is not lost.
    let crossed = end == End::ConnectionEnded && waited < ms(50);
    let mut counts = lock(counts);
    match end {
        End::Served => counts.served += 1,
        End::Refused => counts.refused += 1,
        End::Failed => counts.failed += 1,
        End::ConnectionEnded if crossed => counts.other += 1,
        End::ConnectionEnded | End::Unanswered | End::Wrong => counts.lost += 1,
    }
    record.note(format!(
        "client {number}: request {seqid} of its connection, trace {id}, written whole in {} ms, {end:?} after {} ms{}",
        (written - begun).as_millis(),
        waited.as_millis(),
        if crossed { " (crossed a close)" } else { "" }
    ));
    Some(end)
}

/// Sends a message that is shorter than its length says, reads what comes, and does the same again once it is
/// turned away.
fn bad_client(listen: SocketAddr, stop: &Switch) {
    let mut frame = invoke(2, &[("route", RESULT.name), ("trace", &trace())], &vec![b'x'; 64_000]);
    let wrong_length = 65_500u32;
    frame[..4].copy_from_slice(&wrong_length.to_be_bytes());
    while !stop.is_on() {
        let Ok(mut stream) = TcpStream::connect(listen) else {
            thread::sleep(ms(20));
            continue;
        };
        let _ = stream.set_nodelay(true);
        let _ = stream.set_read_timeout(Some(ms(200)));
        if stream.write_all(&frame).is_err() {
            continue;
        }
        let mut buffer = [0; 4096];
        while !stop.is_on() {
            match stream.read(&mut buffer) {
                Ok(0) => break,
                Ok(_) => {}
                Err(error)
                    if matches!(
                        error.kind(),
                        std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut
                    ) => {}
                Err(_) => break,
            }
        }
    }
}

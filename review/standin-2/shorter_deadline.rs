//! An upgrade after a reload that dropped the class with the longest deadline.

use crate::world::*;
use crate::Outcome;
use std::collections::BTreeMap;
use std::io::Write;
use std::net::TcpStream;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// The longest deadline of the classes that stay.
const DEADLINE_MS: u64 = 1000;
/// How long the caches take for an answer.
const SERVICE_MS: u64 = 300;
/// Requests that the front's connection keeps open.
const OPEN: usize = 8;

struct Sent {
    at: Duration,
    answer: Option<(Duration, End)>,
    entity: String,
}

pub fn run(record: &Arc<Record>, has_trouble: bool) -> Outcome {
    let space = Workspace::new();
    let servers = deployment(record, SERVICE_MS, 20_000);
    let feed = Feed::start(whole_list(&servers));
    let piece = Class { deadline: DEADLINE_MS, ..PIECE };
    let result = Class { deadline: DEADLINE_MS, ..RESULT };
    let all = vec![REPLAY, piece.clone(), result.clone()];
    let fewer = vec![piece, result];
    let site = |classes: &[Class], listen, admin| Site {
        classes: classes.to_vec(),
        memory_mb: 64,
        sockets: 512,
        listen,
        feed: feed.address,
        admin,
        flow_bytes_per_s: 1_000_000,
        known: feed.known(),
    };
    let (listen, admin) = (free_address(), free_address());
    let config = space.0.join("config.json");
    let first = site(if has_trouble { &all } else { &fewer }, listen, admin);
    let mut old = Proxy::start(&space, "old process", &first, record)?;
    thread::sleep(ms(1500));
    if has_trouble {
        // Written beside it, then renamed, as an operator does.
        let beside = space.0.join("config.new");
        std::fs::write(&beside, site(&fewer, listen, admin).json()).map_err(|error| error.to_string())?;
        std::fs::rename(&beside, &config).map_err(|error| error.to_string())?;
        record.note("platform: the new configuration has no class replay any more; SIGHUP");
        old.signal(SIGHUP);
        thread::sleep(ms(3000));
        if !old.log_text().contains("reloaded: feed") {
            return Err(format!("the configuration was not taken: {}", old.log_text()));
        }
    }
    let sent: Arc<Mutex<BTreeMap<u32, Sent>>> = Arc::default();
    let (stop, ended) = (Switch::default(), Switch::default());
    let stream = TcpStream::connect(listen).map_err(|error| error.to_string())?;
    let _ = stream.set_nodelay(true);
    let reader = {
        let (mut stream, record, sent, ended) = (
            stream.try_clone().map_err(|error| error.to_string())?,
            record.clone(),
            sent.clone(),
            ended.clone(),
        );
        thread::spawn(move || {
            while let Ok(frame) = read_frame(&mut stream) {
                let Some((seqid, end, body)) = parse_answer(&frame) else { break };
                if let Some(sent) = lock(&sent).get_mut(&seqid) {
                    let is_right = end != End::Served || body == object_bytes(&sent.entity, PIECE_BYTES);
                    sent.answer.get_or_insert((record.now(), if is_right { end } else { End::Wrong }));
                }
            }
            record.note("the front's connection has ended");
            ended.turn_on();
        })
    };
    let writer = {
        let (mut stream, record, sent, stop, ended) = (
            stream.try_clone().map_err(|error| error.to_string())?,
            record.clone(),
            sent.clone(),
            stop.clone(),
            ended.clone(),
        );
        thread::spawn(move || front(&mut stream, &record, &sent, &stop, &ended))
    };
    thread::sleep(ms(1500));
    let new_admin = free_address();
    let new_config = space.0.join("config-2.json");
    std::fs::write(&new_config, site(&fewer, listen, new_admin).json()).map_err(|error| error.to_string())?;
    let mut new = Proxy::start_with(&space, "new process", &new_config, listen, new_admin, record)?;
    thread::sleep(ms(1000));
    let told_to_end = record.now();
    record.note("platform: SIGTERM to the old process");
    old.signal(SIGTERM);
    let kill_at = told_to_end + ms(DEADLINE_MS + 700);
    while record.now() < kill_at && !old.has_ended() {
        thread::sleep(ms(5));
    }
    if old.has_ended() {
        record.note("the old process has ended by itself");
    } else {
        record.note(format!(
            "platform: SIGKILL to the old process, {} ms after SIGTERM",
            (record.now() - told_to_end).as_millis()
        ));
        old.signal(SIGKILL);
    }
    let killed_at = record.now();
    thread::sleep(ms(2500));
    stop.turn_on();
    let _ = writer.join();
    thread::sleep(ms(1600));
    let _ = stream.shutdown(std::net::Shutdown::Both);
    let _ = reader.join();
    let new_ended = new.has_ended();
    note_runs(&servers, record);
    let (mut lost, mut answered) = (0, BTreeMap::new());
    for (seqid, request) in lock(&sent).iter() {
        let after_term = request.at.as_secs_f64() - told_to_end.as_secs_f64();
        match &request.answer {
            Some((at, end)) => {
                *answered.entry(format!("{end:?}")).or_insert(0) += 1;
                if *end == End::Wrong {
                    lost += 1;
                }
                record.note(format!(
                    "request {seqid}: sent {after_term:.3} s after SIGTERM, {end:?} after {} ms",
                    (*at - request.at).as_millis()
                ));
            }
            None => {
                // What came within 0.7 s of SIGTERM is not counted, nor what crossed the end within 50 ms.
                let counts = request.at > told_to_end + ms(700) && request.at + ms(50) < killed_at;
                lost += u64::from(counts);
                record.note(format!(
                    "request {seqid}: sent {after_term:.3} s after SIGTERM, no answer{}",
                    if counts { ": lost" } else { "" }
                ));
            }
        }
    }
    record.note(format!(
        "answers {answered:?}, lost {lost}; handed on: {}",
        old.log_text().matches("end=handed-on").count()
    ));
    if new_ended {
        return Err(format!("the new process ended: {}", new.log_text()));
    }
    if !answered.contains_key("Served") {
        return Err("nothing was served".into());
    }
    Ok(lost > 0)
}

/// Keeps [`OPEN`] requests open on the connection.
fn front(
    stream: &mut TcpStream,
    record: &Record,
    sent: &Mutex<BTreeMap<u32, Sent>>,
    stop: &Switch,
    ended: &Switch,
) {
    let mut seqid = 0u32;
    while !stop.is_on() && !ended.is_on() {
        let open = lock(sent).values().filter(|sent| sent.answer.is_none()).count();
        if open >= OPEN {
            thread::sleep(ms(2));
            continue;
        }
        seqid += 1;
        let (id, patience) = (trace(), DEADLINE_MS.to_string());
        let entity = format!("{:016x}", u64::from(seqid % 40) * 0x1_0001 + 7);
        let fields = request_fields(PIECE.name, &id, &patience, &entity);
        lock(sent).insert(seqid, Sent { at: record.now(), answer: None, entity: entity.clone() });
        if stream.write_all(&invoke(seqid, &fields, &[])).is_err() {
            lock(sent).remove(&seqid);
            return;
        }
        if let Some(sent) = lock(sent).get_mut(&seqid) {
            sent.at = record.now();
        }
        // Spread over the service time, as the requests of many players are.
        thread::sleep(ms(SERVICE_MS / OPEN as u64));
    }
}

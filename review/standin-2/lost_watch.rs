//! A control feed whose answers come late, but long before what it tells counts as told.

use crate::world::*;
use crate::Outcome;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// How late each answer of the feed is while it is slow.
const LATE_MS: u64 = 2000;
/// "Whatever the control feed has to tell counts as told 7 s later at the latest".
const TOLD_AFTER: Duration = Duration::from_secs(7);
/// `rules.drain_grace`, and 50 ms as on sockets every time limit is longer.
const GRACE: Duration = Duration::from_millis(1050);
/// How long the play goes on after the drain.
const PLAY_AFTER: Duration = Duration::from_secs(16);

pub fn run(record: &Arc<Record>, has_trouble: bool) -> Outcome {
    let space = Workspace::new();
    let servers = deployment(record, 20, 20_000);
    let feed = Feed::start(whole_list(&servers), record);
    let site = Site {
        classes: vec![REPLAY, PIECE, RESULT],
        memory_mb: 64,
        sockets: 512,
        listen: free_address(),
        feed: feed.address,
        admin: free_address(),
        flow_bytes_per_s: 1_000_000,
        known: feed.known(),
    };
    let mut proxy = Proxy::start(&space, "edge proxy", &site, record)?;
    let stop = Switch::default();
    let client = {
        let (record, stop, listen) = (record.clone(), stop.clone(), site.listen);
        thread::spawn(move || client(listen, &record, &stop))
    };
    thread::sleep(ms(3000));
    if has_trouble {
        record.note(format!(
            "the feed is slow from now on: each answer is written {LATE_MS} ms later than it could be"
        ));
        feed.late_ms.store(LATE_MS, Ordering::Relaxed);
    }
    thread::sleep(ms(3000));
    let drained = &servers[0];
    let drained_at = record.now();
    feed.tell(format!(r#""members":{{"seq":2,"whole":false,"hosts":[{}]}}"#, drained.entry("draining")));
    thread::sleep(PLAY_AFTER);
    stop.turn_on();
    let answers = client.join().map_err(|_| "the client failed")?;
    if proxy.has_ended() {
        return Err("the edge proxy ended".into());
    }
    let bound = drained_at + TOLD_AFTER + GRACE;
    let (mut before, mut in_grace, mut late) = (0, 0, 0);
    for server in &servers {
        for fetch in lock(&server.fetches).iter() {
            let names = server.name == drained.name || fetch.from.as_deref() == Some(drained.name.as_str());
            if !names {
                continue;
            }
            match fetch.at {
                at if at < drained_at => before += 1,
                at if at <= bound => in_grace += 1,
                at => {
                    late += 1;
                    record.note(format!(
                        "{} got {} of class {} {:.3} s after the drain was in the feed",
                        server.name,
                        fetch.id,
                        fetch.class,
                        (at - drained_at).as_secs_f64()
                    ));
                }
            }
        }
    }
    record.note(format!(
        "requests that name {}: {before} before the drain, {in_grace} until {:.2} s after it, {late} later; answers: {answers}",
        drained.name, (bound - drained_at).as_secs_f64()
    ));
    if before == 0 || answers == 0 {
        return Err("the draining cache was never used, or nothing was answered".into());
    }
    Ok(late > 0)
}

/// Asks for pieces, 25 a second, one after the other; returns how many were served.
fn client(listen: SocketAddr, record: &Record, stop: &Switch) -> u64 {
    let (mut served, mut number) = (0, 0u64);
    while !stop.is_on() {
        let Ok(mut stream) = TcpStream::connect(listen) else { continue };
        let _ = stream.set_nodelay(true);
        let _ = stream.set_read_timeout(Some(ms(4000)));
        let mut seqid = 0;
        while !stop.is_on() {
            (seqid, number) = (seqid + 1, number + 1);
            let (id, entity) = (trace(), format!("{:016x}", (number % 40) * 0x1_0001 + 7));
            let fields = [
                ("route", PIECE.name),
                ("trace", id.as_str()),
                ("patience", "3000"),
                ("entity", entity.as_str()),
                ("slice", "0"),
                ("set", "17"),
            ];
            if stream.write_all(&invoke(seqid, &fields, &[])).is_err() {
                break;
            }
            match read_frame(&mut stream).ok().and_then(|frame| parse_answer(&frame)) {
                Some((_, End::Served, body)) if body == object_bytes(&entity, 20_000) => served += 1,
                Some((_, end, _)) => record.note(format!("client: {id} {end:?}")),
                None => {
                    record.note(format!("client: {id} got no answer"));
                    break;
                }
            }
            thread::sleep(ms(20));
        }
    }
    served
}

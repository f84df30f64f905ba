//! A client that reads slowly still has answers on the way when it asks again on the same connection.

use crate::world::*;
use crate::Outcome;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// Slow clients read "no more than 1 MB a second".
const BYTES_PER_S: usize = 180_000;
const OBJECT_BYTES: usize = 235_000;
/// Objects that a client asks for at once: 1.41 MB, which take it 7.8 s to read.
const OBJECTS: u32 = 6;
/// How long it waits for a whole answer: longer than it needs to read all of them.
const PATIENCE_MS: u64 = 10_000;
/// When it asks again, after its first requests.
const ASKS_AGAIN: Duration = Duration::from_millis(7200);
/// "Clients close a connection once it has been idle for 4 s."
const CLIENT_IDLE: Duration = Duration::from_secs(4);
const CLIENTS: usize = 4;
const WAIT: Duration = Duration::from_millis(3500);

pub fn run(record: &Arc<Record>, has_trouble: bool) -> Outcome {
    let space = Workspace::new();
    let servers = deployment(record, 20, OBJECT_BYTES);
    let feed = Feed::start(whole_list(&servers));
    let site = Site {
        classes: vec![Class { deadline: PATIENCE_MS, ..REPLAY }, PIECE, RESULT],
        memory_mb: 64,
        sockets: 512,
        listen: free_address(),
        feed: feed.address,
        admin: free_address(),
        flow_bytes_per_s: 1_000_000,
        known: feed.known(),
    };
    let mut proxy = Proxy::start(&space, "edge proxy", &site, record)?;
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (record, listen) = (record.clone(), site.listen);
            thread::spawn(move || {
                thread::sleep(ms(170 * number as u64));
                Client::new(number, listen, has_trouble)
                    .map_or(Err("no connection".into()), |client| client.play(&record))
            })
        })
        .collect();
    let mut lost = 0;
    for client in clients {
        lost += u32::from(client.join().map_err(|_| "a client failed")??);
    }
    for line in proxy.log_text().lines().filter(|line| line.contains("role=Thrift")) {
        record.note(format!("log: {line}"));
    }
    note_runs(&servers, record);
    record.note(format!("lost {lost} of {CLIENTS}"));
    if proxy.has_ended() {
        return Err("the edge proxy ended".into());
    }
    Ok(lost > 0)
}

struct Client {
    number: usize,
    listen: SocketAddr,
    stream: TcpStream,
    is_slow: bool,
    input: Vec<u8>,
    answers: Vec<(u32, End)>,
    last_byte: Instant,
    has_ended: Option<String>,
}

impl Client {
    fn new(number: usize, listen: SocketAddr, is_slow: bool) -> Option<Self> {
        let stream = TcpStream::connect(listen).ok()?;
        let _ = stream.set_nodelay(true);
        let _ = stream.set_read_timeout(Some(ms(10)));
        Some(Client {
            number,
            listen,
            stream,
            is_slow,
            input: Vec::new(),
            answers: Vec::new(),
            last_byte: Instant::now(),
            has_ended: None,
        })
    }

    /// Returns whether the second request was lost.
    fn play(mut self, record: &Record) -> Result<bool, String> {
        let name = format!("client {}", self.number);
        let begun = Instant::now();
        for seqid in 1..=OBJECTS {
            let entity = format!("{:016x}", (self.number as u64 * 100 + u64::from(seqid)) * 0x1_0001);
            self.send(seqid, REPLAY.name, &entity, &PATIENCE_MS.to_string(), &[])
                .map_err(|error| error.to_string())?;
        }
        record.note(format!("{name}: asked for {OBJECTS} objects of {OBJECT_BYTES} bytes"));
        while begun.elapsed() < ASKS_AGAIN && self.has_ended.is_none() {
            self.read_some(record, &name);
            let is_idle = self.answers.len() == OBJECTS as usize && self.last_byte.elapsed() > CLIENT_IDLE;
            if is_idle {
                record.note(format!("{name}: its connection was idle for 4 s, so it closes it"));
                break;
            }
        }
        let is_waiting = self.answers.len() < OBJECTS as usize && self.has_ended.is_none();
        let had = self.answers.len();
        if !is_waiting {
            // An idle or ended connection is not used again.
            let _ = self.stream.shutdown(std::net::Shutdown::Both);
            if let Some(left) = ASKS_AGAIN.checked_sub(begun.elapsed()) {
                thread::sleep(left);
            }
            let is_slow = self.is_slow;
            self = Client::new(self.number, self.listen, is_slow).ok_or("no second connection")?;
        }
        let seqid = if is_waiting { OBJECTS + 1 } else { 1 };
        record.note(format!(
            "{name}: sends a result on {}",
            if is_waiting { format!("the same connection, on which {had} of {OBJECTS} answers were read whole and more bytes keep coming") }
            else { "a new connection".into() }
        ));
        let sent = Instant::now();
        let written = self.send(seqid, RESULT.name, "7f3a9c21e0b4d655", "3000", b"rating");
        if let Err(error) = written {
            record.note(format!("{name}: not written: {error}"));
            return Ok(false);
        }
        while sent.elapsed() < WAIT
            && self.has_ended.is_none()
            && !self.answers.iter().any(|(answered, _)| *answered == seqid)
        {
            self.read_some(record, &name);
        }
        let end = self.answers.iter().find(|(answered, _)| *answered == seqid).map(|(_, end)| *end);
        let after = sent.elapsed().as_millis();
        let read = self.answers.len();
        record.note(format!(
            "{name}: the result's request got {end:?} after {after} ms; the connection {}; {read} answers were read whole on it",
            self.has_ended.as_deref().unwrap_or("is open")
        ));
        Ok(!matches!(end, Some(End::Served | End::Refused | End::Failed)))
    }

    fn send(
        &mut self,
        seqid: u32,
        class: &str,
        entity: &str,
        patience: &str,
        body: &[u8],
    ) -> std::io::Result<()> {
        let id = trace();
        let fields = request_fields(class, &id, patience, entity);
        self.stream.write_all(&invoke(seqid, &fields, body))
    }

    /// Reads for about 20 ms, at the client's speed.
    fn read_some(&mut self, record: &Record, name: &str) {
        let pause = ms(20);
        let begun = Instant::now();
        let mut buffer = vec![0; if self.is_slow { BYTES_PER_S / 50 } else { 1 << 16 }];
        match self.stream.read(&mut buffer) {
            Ok(0) => self.has_ended = Some("was closed by the edge proxy".into()),
            Ok(count) => {
                self.last_byte = Instant::now();
                self.input.extend_from_slice(&buffer[..count]);
            }
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
            Err(error) => self.has_ended = Some(format!("was reset ({error})")),
        }
        while let Some(length) =
            self.input.first_chunk::<4>().map(|length| u32::from_be_bytes(*length) as usize)
        {
            if self.input.len() < 4 + length {
                break;
            }
            let frame: Vec<u8> = self.input.drain(..4 + length).skip(4).collect();
            if let Some((seqid, end, body)) = parse_answer(&frame) {
                record.note(format!("{name}: answer {seqid} read whole: {end:?}, {} bytes", body.len()));
                self.answers.push((seqid, end));
            }
        }
        if self.is_slow {
            thread::sleep(pause.saturating_sub(begun.elapsed()));
        }
    }
}

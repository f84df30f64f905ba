//! Usual clients: they send requests at a fixed rate, wait for each answer, and judge it by the protocol page.

use crate::record::Record;
use crate::server::content;
use crate::thrift::{decode_reply, encode_invoke, encode_ping, read_frame, Answer};
use std::collections::BTreeMap;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// A request that crosses the end of its connection within this time is sent once more, on a new connection.
const CROSSING: Duration = Duration::from_millis(50);
/// Up to this long after its time an answer only earns nothing; later, or never, the request is lost.
pub const LOST_AFTER: Duration = Duration::from_millis(500);
/// An idle connection is closed by its client after this time.
const IDLE: Duration = Duration::from_secs(4);

/// What usual clients ask for.
#[derive(Clone)]
pub struct Demand {
    pub class: &'static str,
    pub patience: Duration,
    pub interval: Duration,
    /// Length of a served answer.
    pub length: usize,
    /// Number of objects that are asked for in turn.
    pub objects: u64,
}

#[derive(Clone, Debug)]
pub enum Outcome {
    Open,
    Answered { after: Duration, answer: &'static str },
    Lost(String),
}

#[derive(Clone, Debug)]
pub struct Request {
    pub trace: String,
    pub sent: Duration,
    pub patience: Duration,
    pub outcome: Outcome,
    object: String,
    length: usize,
    was_repeated: bool,
    class: &'static str,
}

/// All requests of the usual clients.
#[derive(Clone, Default)]
pub struct Requests(pub Arc<Mutex<Vec<Request>>>);

struct OpenConnection {
    stream: TcpStream,
    next_seqid: i32,
    used_at: Instant,
    open: Arc<Mutex<BTreeMap<i32, usize>>>,
}

pub struct Client {
    addr: SocketAddr,
    requests: Requests,
    record: Record,
    connection: Option<OpenConnection>,
    ended: Arc<Mutex<Vec<usize>>>,
}

/// Asks an edge proxy for `ping` until it answers `good`; returns whether it did within `limit`.
pub fn wait_until_ready(addr: SocketAddr, limit: Duration) -> bool {
    let until = Instant::now() + limit;
    while Instant::now() < until {
        if ping(addr) == Some(true) {
            return true;
        }
        thread::sleep(Duration::from_millis(20));
    }
    false
}

fn ping(addr: SocketAddr) -> Option<bool> {
    let mut stream = TcpStream::connect_timeout(&addr, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(1))).ok()?;
    stream.write_all(&encode_ping(1)).ok()?;
    let (_, answer) = decode_reply(&read_frame(&mut stream)?)?;
    Some(matches!(answer, Answer::Served { is_good: true, .. }))
}

impl Client {
    pub fn new(addr: SocketAddr, requests: &Requests, record: &Record) -> Self {
        let (requests, record) = (requests.clone(), record.clone());
        Client { addr, requests, record, connection: None, ended: Arc::default() }
    }

    /// Sends requests until a time since the start of the case. `number` makes the client's requests its own.
    pub fn run(mut self, number: u64, demand: &Demand, until: Duration) {
        let mut count = 0;
        let mut next = Instant::now() + demand.interval * number as u32 / 7;
        while self.record.elapsed() < until {
            thread::sleep(next.saturating_duration_since(Instant::now()).min(Duration::from_millis(5)));
            self.repeat_crossed();
            if Instant::now() < next {
                continue;
            }
            next += demand.interval;
            count += 1;
            let object = (number * 7 + count) % demand.objects;
            self.send_new(number, count, object, demand);
        }
        // The last answers may still come.
        let until = Instant::now() + demand.patience + LOST_AFTER;
        while Instant::now() < until {
            thread::sleep(Duration::from_millis(5));
            self.repeat_crossed();
        }
    }

    fn send_new(&mut self, number: u64, count: u64, object: u64, demand: &Demand) {
        let request = Request {
            trace: format!("{:016x}", (number << 40 | count).wrapping_mul(0x9e37_79b9_7f4a_7c15)),
            sent: Duration::ZERO,
            patience: demand.patience,
            outcome: Outcome::Open,
            object: format!("{:016x}", object + 0x1000),
            length: demand.length,
            was_repeated: false,
            class: demand.class,
        };
        let index = {
            let mut requests = self.requests.0.lock().expect("no thread panics");
            requests.push(request);
            requests.len() - 1
        };
        self.send(index);
    }

    /// Sends the requests again that crossed the end of their connection.
    fn repeat_crossed(&mut self) {
        let crossed = std::mem::take(&mut *self.ended.lock().expect("no thread panics"));
        for index in crossed {
            self.send(index);
        }
    }

    fn send(&mut self, index: usize) {
        let (trace, object, patience, class) = {
            let requests = self.requests.0.lock().expect("no thread panics");
            let request = &requests[index];
            (request.trace.clone(), request.object.clone(), request.patience, request.class)
        };
        let fields = [
            ("route", class.to_owned()),
            ("trace", trace.clone()),
            ("patience", patience.as_millis().to_string()),
            ("entity", object.clone()),
            ("slice", "0".to_owned()),
            ("set", "1".to_owned()),
        ];
        let Some(connection) = self.usable_connection() else {
            // A request that was never written to a connection was not taken.
            self.record.add(format!("client: {trace} not sent, no connection"));
            self.set_outcome(index, Outcome::Answered { after: Duration::ZERO, answer: "never taken" });
            return;
        };
        let seqid = connection.next_seqid;
        connection.next_seqid += 1;
        connection.used_at = Instant::now();
        connection.open.lock().expect("no thread panics").insert(seqid, index);
        let message = encode_invoke(seqid, &fields, &[]);
        let (open, written) = (Arc::clone(&connection.open), connection.stream.write_all(&message));
        let now = self.record.elapsed();
        self.requests.0.lock().expect("no thread panics")[index].sent = now;
        self.record.add(format!("client: {trace} sent ({class} {object}), {written:?}"));
        if written.is_err() {
            self.connection = None;
            if open.lock().expect("no thread panics").remove(&seqid).is_some() {
                self.set_outcome(index, Outcome::Answered { after: Duration::ZERO, answer: "never taken" });
            }
        }
    }

    fn set_outcome(&self, index: usize, outcome: Outcome) {
        self.requests.0.lock().expect("no thread panics")[index].outcome = outcome;
    }

    /// Returns the connection, a new one if there is none that is fit for use.
    fn usable_connection(&mut self) -> Option<&mut OpenConnection> {
        let is_unfit = |c: &OpenConnection| {
            let is_idle = c.open.lock().expect("no thread panics").is_empty();
            (is_idle && c.used_at.elapsed() >= IDLE) || Arc::strong_count(&c.open) == 1
        };
        if self.connection.as_ref().is_none_or(is_unfit) {
            self.connection = self.connect();
        }
        self.connection.as_mut()
    }

    fn connect(&self) -> Option<OpenConnection> {
        let stream = TcpStream::connect_timeout(&self.addr, Duration::from_secs(2)).ok()?;
        stream.set_nodelay(true).ok()?;
        let reading = stream.try_clone().ok()?;
        let open: Arc<Mutex<BTreeMap<i32, usize>>> = Arc::default();
        let reader = Reader {
            open: Arc::clone(&open),
            requests: self.requests.clone(),
            record: self.record.clone(),
            ended: Arc::clone(&self.ended),
        };
        thread::spawn(move || reader.run(reading));
        Some(OpenConnection { stream, next_seqid: 1, used_at: Instant::now(), open })
    }
}

/// Reads the answers of one connection. It ends with the connection.
struct Reader {
    open: Arc<Mutex<BTreeMap<i32, usize>>>,
    requests: Requests,
    record: Record,
    ended: Arc<Mutex<Vec<usize>>>,
}

impl Reader {
    fn run(self, mut stream: TcpStream) {
        while let Some(message) = read_frame(&mut stream) {
            self.on_message(&message);
        }
        let now = self.record.elapsed();
        let open = std::mem::take(&mut *self.open.lock().expect("no thread panics"));
        for index in open.into_values() {
            let mut requests = self.requests.0.lock().expect("no thread panics");
            let request = &mut requests[index];
            if now - request.sent.min(now) <= CROSSING && !request.was_repeated {
                request.was_repeated = true;
                self.ended.lock().expect("no thread panics").push(index);
                continue;
            }
            let ms = (now - request.sent).as_millis();
            request.outcome = Outcome::Lost(format!("its connection ended {ms} ms after it was sent"));
            self.record.add(format!("client: {} LOST, its connection ended", request.trace));
        }
    }

    fn on_message(&self, message: &[u8]) {
        let now = self.record.elapsed();
        let Some((seqid, answer)) = decode_reply(message) else {
            self.record.say("client: an answer that cannot be read");
            return;
        };
        let Some(index) = self.open.lock().expect("no thread panics").remove(&seqid) else {
            self.record.say(format!("client: an answer to nothing, number {seqid}"));
            return;
        };
        let mut requests = self.requests.0.lock().expect("no thread panics");
        let request = &mut requests[index];
        let after = now - request.sent.min(now);
        self.record.add(format!(
            "client: {} {} after {} ms",
            request.trace,
            answer.name(),
            after.as_millis()
        ));
        let is_wrong = match &answer {
            Answer::Served { body, .. } => *body != content(&request.object, "0", request.length),
            _ => false,
        };
        request.outcome = match is_wrong {
            true => Outcome::Lost("served with other bytes".into()),
            false => Outcome::Answered { after, answer: answer.name() },
        };
    }
}

impl Requests {
    /// Returns what is wrong with the requests so far: lost ones, and ones answered too late or never.
    pub fn lost(&self) -> Vec<String> {
        let requests = self.0.lock().expect("no thread panics");
        let describe = |request: &Request| {
            let limit = request.patience + LOST_AFTER;
            match &request.outcome {
                Outcome::Lost(why) => Some(why.clone()),
                Outcome::Open => Some("never answered".to_owned()),
                Outcome::Answered { after, .. } if *after > limit => {
                    Some(format!("answered after {} ms", after.as_millis()))
                }
                Outcome::Answered { .. } => None,
            }
            .map(|why| format!("{} sent at {} ms: {why}", request.trace, request.sent.as_millis()))
        };
        requests.iter().filter_map(describe).collect()
    }

    /// Counts the answers by kind.
    pub fn counts(&self) -> BTreeMap<&'static str, usize> {
        let mut counts = BTreeMap::new();
        for request in self.0.lock().expect("no thread panics").iter() {
            let kind = match &request.outcome {
                Outcome::Open => "unanswered",
                Outcome::Lost(_) => "lost",
                Outcome::Answered { answer, .. } => answer,
            };
            *counts.entry(kind).or_default() += 1;
        }
        counts
    }
}

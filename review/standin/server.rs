//! A table cache, parent or origin that behaves soundly: it holds every object and answers each request after a
//! fixed time, unless the request is given up before.

use crate::record::Record;
use std::collections::{BTreeSet, BinaryHeap};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The bytes of a part of an object: the same at every server.
pub fn content(object: &str, part: &str, length: usize) -> Vec<u8> {
    format!("{object}/{part}/").bytes().cycle().take(length).collect()
}

/// An answer that is due at a time.
struct Due {
    at: Instant,
    id: String,
    connection: Arc<Connection>,
    answer: Vec<u8>,
}

impl PartialEq for Due {
    fn eq(&self, other: &Self) -> bool {
        self.at == other.at
    }
}
impl Eq for Due {}
impl PartialOrd for Due {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Due {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        other.at.cmp(&self.at) // the earliest first
    }
}

struct Connection {
    stream: Mutex<TcpStream>,
    given_up: Mutex<BTreeSet<String>>,
}

/// A request that arrived whole at a server.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at: Duration,
    pub id: String,
    pub fields: Vec<(String, String)>,
}

impl Arrival {
    pub fn field(&self, name: &str) -> Option<&str> {
        self.fields.iter().find(|(known, _)| known == name).map(|(_, value)| value.as_str())
    }
}

#[derive(Clone)]
pub struct Server {
    pub name: String,
    pub addr: SocketAddr,
    pub arrivals: Arc<Mutex<Vec<Arrival>>>,
    /// Every how manieth answer arrives spoilt, as noise that never ends; 0: none.
    pub spoilt_every: Arc<AtomicUsize>,
}

type Queue = Arc<(Mutex<BinaryHeap<Due>>, Condvar)>;

impl Server {
    /// Starts a server that answers after `service_time` with `length` bytes.
    pub fn start(
        name: &str,
        service_time: Duration,
        length: usize,
        record: &Record,
    ) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let server = Server {
            name: name.to_owned(),
            addr: listener.local_addr()?,
            arrivals: Arc::default(),
            spoilt_every: Arc::default(),
        };
        let queue: Queue = Arc::default();
        let answering = Arc::clone(&queue);
        thread::spawn(move || answer_when_due(&answering));
        let (accepting, record) = (server.clone(), record.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (server, queue, record) = (accepting.clone(), Arc::clone(&queue), record.clone());
                thread::spawn(move || server.serve(stream, service_time, length, &queue, &record));
            }
        });
        Ok(server)
    }

    fn serve(
        &self,
        stream: TcpStream,
        service_time: Duration,
        length: usize,
        queue: &Queue,
        record: &Record,
    ) -> Option<()> {
        stream.set_nodelay(true).ok()?;
        let mut reader = BufReader::new(stream.try_clone().ok()?);
        let connection = Arc::new(Connection { stream: Mutex::new(stream), given_up: Mutex::default() });
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line).ok()? == 0 {
                return None;
            }
            let words: Vec<&str> = line.trim_end().split(' ').collect();
            match words[..] {
                ["fetch", id, fields, body_length] => {
                    let mut body = vec![0; body_length.parse::<usize>().ok()? + 2];
                    reader.read_exact(&mut body).ok()?;
                    let pair = |pair: &str| pair.split_once('=').map(|(n, v)| (n.to_owned(), v.to_owned()));
                    let arrival = Arrival {
                        at: record.elapsed(),
                        id: id.to_owned(),
                        fields: fields.split(',').filter_map(pair).collect(),
                    };
                    record.add(format!("{} got {}", self.name, line.trim_end()));
                    let answer = answer_to(&arrival, length);
                    let count = {
                        let mut arrivals = self.arrivals.lock().ok()?;
                        arrivals.push(arrival);
                        arrivals.len()
                    };
                    let spoilt_every = self.spoilt_every.load(Ordering::Relaxed);
                    if spoilt_every > 0 && count % spoilt_every == 0 {
                        record.add(format!("{} answers {id} with noise that never ends", self.name));
                        let connection = Arc::clone(&connection);
                        thread::spawn(move || send_noise(&connection));
                        continue;
                    }
                    let at = Instant::now() + service_time;
                    let due = Due { at, id: id.to_owned(), connection: Arc::clone(&connection), answer };
                    queue.0.lock().ok()?.push(due);
                    queue.1.notify_one();
                }
                ["abort", id] => {
                    record.add(format!("{} got {}", self.name, line.trim_end()));
                    connection.given_up.lock().ok()?.insert(id.to_owned());
                }
                ["stats", id] | ["alive", id] => {
                    let answer = format!("{id} alive - 0\r\n");
                    connection.stream.lock().ok()?.write_all(answer.as_bytes()).ok()?;
                }
                _ => {
                    record.say(format!("{} cannot read {line:?}", self.name));
                    return None;
                }
            }
        }
    }
}

fn answer_to(arrival: &Arrival, length: usize) -> Vec<u8> {
    let field = |name| arrival.field(name).unwrap_or("0");
    let now = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis());
    let body = content(field("item"), field("chunk"), length);
    let mut answer =
        format!("{} 200 ver=v1,born={now},tell=local {}\r\n", arrival.id, body.len()).into_bytes();
    answer.extend(body);
    answer.extend(b"\r\n");
    answer
}

/// Sends blank lines until the connection ends.
fn send_noise(connection: &Connection) {
    let noise = b"\r\n".repeat(32 * 1024);
    if let Ok(mut stream) = connection.stream.lock() {
        while stream.write_all(&noise).is_ok() {}
    }
}

fn answer_when_due(queue: &Queue) -> Option<()> {
    let mut due = queue.0.lock().ok()?;
    loop {
        let wait = due.peek().map(|first| first.at.saturating_duration_since(Instant::now()));
        match wait {
            None => due = queue.1.wait(due).ok()?,
            Some(wait) if wait > Duration::ZERO => due = queue.1.wait_timeout(due, wait).ok()?.0,
            Some(_) => {
                let Some(first) = due.pop() else { continue };
                if !first.connection.given_up.lock().ok()?.remove(&first.id) {
                    // A connection that has ended takes no answer, nor does one on which noise is sent.
                    if let Ok(mut stream) = first.connection.stream.try_lock() {
                        let _ = stream.write_all(&first.answer);
                    }
                }
            }
        }
    }
}

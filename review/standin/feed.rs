//! The control feed: long polls over HTTP/1.1.

use crate::record::Record;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

#[derive(Default)]
struct State {
    events: Vec<String>,
    /// How much later than it is due each answer is sent.
    lateness: Duration,
    /// Whether connections are ended at once.
    is_down: bool,
}

#[derive(Clone)]
pub struct Feed {
    pub addr: SocketAddr,
    state: Arc<(Mutex<State>, Condvar)>,
}

impl Feed {
    pub fn start(record: &Record) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let feed = Feed { addr: listener.local_addr()?, state: Arc::default() };
        let (serving, record) = (feed.clone(), record.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (feed, record) = (serving.clone(), record.clone());
                thread::spawn(move || feed.serve(stream, &record));
            }
        });
        Ok(feed)
    }

    /// Adds an event under the next number; from now on it counts as in the control feed.
    pub fn publish(&self, event: &str) {
        let mut state = self.state.0.lock().expect("no thread panics");
        let n = state.events.len() + 1;
        state.events.push(format!("{{\"n\":{n},{event}}}"));
        self.state.1.notify_all();
    }

    /// Sets how much later than it is due each answer is sent.
    pub fn set_lateness(&self, lateness: Duration) {
        self.state.0.lock().expect("no thread panics").lateness = lateness;
    }

    /// Ends all connections and each new one at once, or serves again.
    pub fn set_down(&self, is_down: bool) {
        self.state.0.lock().expect("no thread panics").is_down = is_down;
        self.state.1.notify_all();
    }

    /// Returns the events after a number, in the form of an answer and of `known`.
    pub fn events_after(&self, number: usize) -> String {
        batch(&self.state.0.lock().expect("no thread panics"), number)
    }

    fn serve(&self, mut stream: TcpStream, record: &Record) -> Option<()> {
        if self.state.0.lock().ok()?.is_down {
            return None;
        }
        stream.set_nodelay(true).ok()?;
        let peer = stream.peer_addr().ok()?;
        let mut reader = BufReader::new(stream.try_clone().ok()?);
        loop {
            let mut head = String::new();
            while !head.ends_with("\r\n\r\n") {
                if reader.read_line(&mut head).ok()? == 0 {
                    record.add(format!("feed: {peer} has closed"));
                    return None;
                }
            }
            let query = head.strip_prefix("GET /v1/events?")?.split(' ').next()?;
            let value =
                |name: &str| query.split('&').find_map(|pair| pair.strip_prefix(name)).map(str::to_owned);
            let after: usize = value("SUB=")?.parse().ok()?;
            let wait = Duration::from_millis(value("wait=")?.parse::<u64>().ok()?.min(5000));
            record.add(format!("feed: {peer} asks {query}"));
            let until = Instant::now() + wait;
            let (lock, changed) = &*self.state;
            let mut state = lock.lock().ok()?;
            while state.events.len() <= after && !state.is_down {
                let left = until.saturating_duration_since(Instant::now());
                if left.is_zero() {
                    break;
                }
                state = changed.wait_timeout(state, left).ok()?.0;
            }
            if state.is_down {
                return None;
            }
            let lateness = state.lateness;
            drop(state);
            thread::sleep(lateness);
            let body = self.events_after(after);
            let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
            let sent = stream.write_all(answer.as_bytes());
            record
                .add(format!("feed: {peer} is answered ({} bytes, {lateness:?} late): {sent:?}", body.len()));
            sent.ok()?;
        }
    }
}

fn batch(state: &State, number: usize) -> String {
    let events = state.events.get(number..).unwrap_or_default().join(",");
    format!("{{\"n\":{},\"events\":[{events}]}}", state.events.len())
}

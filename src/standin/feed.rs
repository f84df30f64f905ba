//! A stand-in control feed on loopback: numbered events, read by long polls as the platform's protocol page says.

use serde_json::{json, Value};
use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// The longest that a poll waits for an event.
const MAX_WAIT_MS: u64 = 5000;

/// What the feed knows and how it behaves.
#[derive(Default)]
struct FeedState {
    events: Vec<Value>,
    /// No poll is answered, whatever events there are.
    silent: bool,
    polls: u64,
}

/// A control feed; clones share their events.
#[derive(Clone, Default)]
pub struct StandInFeed(Arc<SharedState>);

#[derive(Default)]
struct SharedState {
    state: Mutex<FeedState>,
    /// Notified at every event and every change of `silent`.
    changed: Condvar,
}

impl StandInFeed {
    fn state(&self) -> MutexGuard<'_, FeedState> {
        self.0.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Publishes an event, given without its number; returns the number.
    pub fn publish(&self, mut event: Value) -> u64 {
        let mut state = self.state();
        let number = state.events.len() as u64 + 1;
        event["n"] = number.into();
        state.events.push(event);
        self.0.changed.notify_all();
        number
    }

    /// Publishes a server's entry in the endpoint list with another `health`; returns the event's number.
    pub fn publish_health(&self, entry: &Value, health: &str) -> u64 {
        let mut entry = entry.clone();
        entry["health"] = health.into();
        self.publish(json!({"members": {"seq": 0, "whole": false, "hosts": [entry]}}))
    }

    /// Stops answering polls, or answers them again.
    pub fn set_silent(&self, silent: bool) {
        self.state().silent = silent;
        self.0.changed.notify_all();
    }

    /// All events so far, in the form of the configuration's `known`.
    pub fn initial_events(&self) -> Value {
        events_body(&self.state().events, 0)
    }

    /// The number of polls received.
    pub fn polls(&self) -> u64 {
        self.state().polls
    }

    /// Serves on a free port, in threads of its own that end with the process.
    ///
    /// # Errors
    ///
    /// No port is free.
    pub fn serve(&self) -> io::Result<SocketAddr> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let feed = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let feed = feed.clone();
                thread::spawn(move || feed.serve_connection(stream));
            }
        });
        Ok(address)
    }

    fn serve_connection(&self, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        while let Some(path) = read_request_path(&mut reader)? {
            let body = self.wait_for_events(&PollRequest::parse(&path)).to_string();
            write!(writer, "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len())?;
        }
        Ok(())
    }

    /// Waits for events that a poll has not seen, or for its end; returns the poll's answer.
    fn wait_for_events(&self, poll: &PollRequest) -> Value {
        let until = Instant::now() + poll.wait;
        let mut state = self.state();
        state.polls += 1;
        while state.silent || (state.events.len() <= poll.after && Instant::now() < until) {
            let left = until.saturating_duration_since(Instant::now()).max(Duration::from_millis(1));
            let waited = self.0.changed.wait_timeout(state, left);
            state = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
        events_body(&state.events, poll.after.min(state.events.len()))
    }
}

/// Reads the head of a request and returns its path; `None`: the connection has ended.
fn read_request_path(reader: &mut impl BufRead) -> io::Result<Option<String>> {
    let mut request_line: Option<String> = None;
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        if line.trim_end().is_empty() {
            let request_line = request_line.unwrap_or_default();
            return Ok(Some(request_line.split(' ').nth(1).unwrap_or_default().to_owned()));
        }
        request_line.get_or_insert(line);
    }
}

/// A long poll for events.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PollRequest {
    /// The number of the last event that the caller has.
    pub after: usize,
    /// How long to wait for a newer one.
    pub wait: Duration,
}

impl PollRequest {
    /// Reads the path of a poll; what its query lacks is 0.
    pub fn parse(path: &str) -> Self {
        PollRequest {
            after: query_number(path, "SUB") as usize,
            wait: Duration::from_millis(query_number(path, "wait").min(MAX_WAIT_MS)),
        }
    }
}

/// A number in the query of a path; 0, where it has none of that name.
fn query_number(path: &str, name: &str) -> u64 {
    let pairs = path.split(['?', '&']).filter_map(|pair| pair.split_once('='));
    pairs.filter(|(key, _)| *key == name).find_map(|(_, value)| value.parse().ok()).unwrap_or(0)
}

/// The events after the first `after`, as a poll is answered.
fn events_body(events: &[Value], after: usize) -> Value {
    json!({"n": events.len(), "events": events[after..]})
}

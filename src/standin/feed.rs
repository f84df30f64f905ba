//! A stand-in control feed on loopback. Its events are numbered and read by long polls, in the protocol of
//! the platform's control feed.

use serde_json::{json, Value};
use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// Maximum time that a poll waits for an event, in ms.
const MAX_WAIT_MS: u64 = 5000;

#[derive(Default)]
struct FeedState {
    events: Vec<Value>,
    /// Whether no poll is answered, even when there are new events.
    silent: bool,
    polls: u64,
}

/// A stand-in control feed. Clones share their state.
#[derive(Clone, Default)]
pub struct StandInFeed(Arc<SharedState>);

#[derive(Default)]
struct SharedState {
    state: Mutex<FeedState>,
    /// Notified when an event is published and when `silent` is set.
    changed: Condvar,
}

impl StandInFeed {
    fn state(&self) -> MutexGuard<'_, FeedState> {
        self.0.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Assigns the next number to an event and publishes it; returns the number.
    pub fn publish(&self, mut event: Value) -> u64 {
        let mut state = self.state();
        let number = state.events.len() as u64 + 1;
        event["n"] = number.into();
        state.events.push(event);
        self.0.changed.notify_all();
        number
    }

    /// Publishes a server's entry of the endpoint list with the given `health`; returns the event's number.
    pub fn publish_health(&self, entry: &Value, health: &str) -> u64 {
        let mut entry = entry.clone();
        entry["health"] = health.into();
        self.publish(json!({"members": {"seq": 0, "whole": false, "hosts": [entry]}}))
    }

    /// Sets whether polls stay unanswered.
    pub fn set_silent(&self, silent: bool) {
        self.state().silent = silent;
        self.0.changed.notify_all();
    }

    /// Returns all events so far in the form of the configuration's `known`.
    pub fn initial_events(&self) -> Value {
        events_body(&self.state().events, 0)
    }

    /// Returns the number of polls received so far.
    pub fn polls(&self) -> u64 {
        self.state().polls
    }

    /// Serves the feed on a free loopback port, in threads that run until the process ends.
    ///
    /// # Errors
    ///
    /// The listener can't be opened, for instance if no port is free.
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

    /// Waits until there are events that the caller does not have, or until the poll's waiting time is over.
    /// Returns the body of the answer.
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

/// Reads the head of a request and returns its path; `None` if the connection has ended.
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

/// The parameters of a long poll for events.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PollRequest {
    /// Number of the last event that the caller has; 0 if it has none.
    pub after: usize,
    /// How long to wait for a newer event, at most 5 s.
    pub wait: Duration,
}

impl PollRequest {
    /// Parses the path of a poll. A parameter that is missing in its query is 0.
    pub fn parse(path: &str) -> Self {
        PollRequest {
            after: query_number(path, "SUB") as usize,
            wait: Duration::from_millis(query_number(path, "wait").min(MAX_WAIT_MS)),
        }
    }
}

/// Returns the value of a numeric parameter in the query of a path; 0 if there is none of that name.
fn query_number(path: &str, name: &str) -> u64 {
    let pairs = path.split(['?', '&']).filter_map(|pair| pair.split_once('='));
    pairs.filter(|(key, _)| *key == name).find_map(|(_, value)| value.parse().ok()).unwrap_or(0)
}

/// Returns the answer to a poll: all events after the first `after`.
fn events_body(events: &[Value], after: usize) -> Value {
    json!({"n": events.len(), "events": events[after..]})
}

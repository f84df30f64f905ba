//! A stand-in control feed on loopback: numbered events, told by long polls as the platform's protocol page says.

use serde_json::{json, Value};
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

#[derive(Default)]
struct State {
    events: Vec<Value>,
    /// Answers are held back while it is silent, whatever there is to tell.
    silent: bool,
    polls: u64,
}

/// A control feed; clones tell the same events.
#[derive(Clone, Default)]
pub struct StandInFeed(Arc<(Mutex<State>, Condvar)>);

impl StandInFeed {
    fn state(&self) -> MutexGuard<'_, State> {
        self.0 .0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Tells an event: its fields without the number. Gives the number.
    pub fn tell(&self, mut event: Value) -> u64 {
        let mut state = self.state();
        let n = state.events.len() as u64 + 1;
        event["n"] = n.into();
        state.events.push(event);
        self.0 .1.notify_all();
        n
    }

    /// Tells a server's new state: `host` as in the list, with another `health`.
    pub fn tell_health(&self, host: &Value, health: &str) -> u64 {
        let mut host = host.clone();
        host["health"] = health.into();
        self.tell(json!({"members": {"seq": 0, "whole": false, "hosts": [host]}}))
    }

    /// Holds answers back, or lets them go again.
    pub fn set_silent(&self, silent: bool) {
        self.state().silent = silent;
        self.0 .1.notify_all();
    }

    /// All events so far in the form of `known`.
    pub fn known(&self) -> Value {
        batch(&self.state().events, 0)
    }

    /// Polls that came.
    pub fn polls(&self) -> u64 {
        self.state().polls
    }

    /// Serves on a port of the system's choice, in threads of its own that end with the process.
    ///
    /// # Errors
    ///
    /// No port.
    pub fn serve(&self) -> std::io::Result<SocketAddr> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let addr = listener.local_addr()?;
        let feed = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let feed = feed.clone();
                thread::spawn(move || feed.answer(stream));
            }
        });
        Ok(addr)
    }

    fn answer(&self, stream: TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        loop {
            let mut head = Vec::new();
            loop {
                let mut line = String::new();
                if reader.read_line(&mut line)? == 0 {
                    return Ok(());
                }
                if line.trim_end().is_empty() {
                    break;
                }
                head.push(line);
            }
            let query = head.first().and_then(|line| line.split(' ').nth(1)).unwrap_or_default();
            let (after, wait) =
                (number(query, "SUB") as usize, Duration::from_millis(number(query, "wait").min(5000)));
            let until = Instant::now() + wait;
            let mut state = self.state();
            state.polls += 1;
            while state.silent || (state.events.len() <= after && Instant::now() < until) {
                let left = until.saturating_duration_since(Instant::now()).max(Duration::from_millis(1));
                let waited = self.0 .1.wait_timeout(state, left);
                state = waited.unwrap_or_else(PoisonError::into_inner).0;
            }
            let body = batch(&state.events, after.min(state.events.len())).to_string();
            drop(state);
            write!(writer, "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len())?;
        }
    }
}

/// A number in the query of a path; 0, where it has none of that name.
pub fn number(path: &str, name: &str) -> u64 {
    let pairs = path.split(['?', '&']).filter_map(|pair| pair.split_once('='));
    pairs.filter(|(key, _)| *key == name).find_map(|(_, value)| value.parse().ok()).unwrap_or(0)
}

fn batch(events: &[Value], after: usize) -> Value {
    json!({"n": events.len(), "events": events[after..]})
}

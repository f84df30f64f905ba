//! Known clients: each connects, pings, sends one request, reads its answer, and connects again.

use super::{connect, FloodPlan};
use crate::standin::thrift_client::{answer, invoke, ping, send, Answered};
use hdrhistogram::Histogram;
use std::io;
use std::net::TcpStream;
use std::sync::{Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// A client at a table reconnects now and then, not in a tight loop.
const RECONNECT_PAUSE: Duration = Duration::from_millis(20);
/// The longest latency that is recorded, us.
const MAX_RECORDED_US: u64 = 60_000_000;
/// The significant digits with which latencies are recorded.
const RECORDED_DIGITS: u8 = 3;
/// The sequence numbers of a connection's two messages.
const PING_SEQID: i32 = 1;
const INVOKE_SEQID: i32 = 2;

/// What became of the known clients' connections and requests.
#[derive(Debug)]
pub struct KnownClientCounts {
    /// Connections that were tried.
    pub tried: u64,
    /// Of them, answered with a pong: connected and served.
    pub connected: u64,
    /// Of them, answered with a rejection.
    pub rejected: u64,
    /// Of them, that broke or ended without an answer: a connect that failed or timed out, or an end before a byte
    /// was read (which for the client proves that nothing ran).
    pub broken: u64,
    /// From a client's connect to its pong, us.
    pub latency: Histogram<u64>,
    /// Requests that were written.
    pub written: u64,
    /// Requests that got their answer.
    pub answered: u64,
}

impl KnownClientCounts {
    pub(super) fn new() -> Result<Self, hdrhistogram::CreationError> {
        Ok(KnownClientCounts {
            tried: 0,
            connected: 0,
            rejected: 0,
            broken: 0,
            latency: Histogram::new_with_bounds(1, MAX_RECORDED_US, RECORDED_DIGITS)?,
            written: 0,
            answered: 0,
        })
    }

    fn add(&mut self, connection: &ConnectionOutcome) {
        self.tried += 1;
        self.connected += u64::from(connection.latency.is_some());
        self.rejected += u64::from(connection.is_rejected);
        self.broken += u64::from(connection.is_broken());
        self.written += u64::from(connection.is_written);
        self.answered += u64::from(connection.is_answered);
        if let Some(latency) = connection.latency {
            self.latency.saturating_record(latency.as_micros() as u64);
        }
    }
}

/// How far one connection got.
#[derive(Default)]
struct ConnectionOutcome {
    /// From the connect to the pong; `None`: there was none.
    latency: Option<Duration>,
    is_rejected: bool,
    is_written: bool,
    is_answered: bool,
    is_failed: bool,
}

impl ConnectionOutcome {
    /// Whether it failed before any answer.
    fn is_broken(&self) -> bool {
        self.is_failed && self.latency.is_none() && !self.is_rejected
    }
}

/// One known client, until the deadline or its last connection.
pub(super) fn run_client(plan: &FloodPlan, deadline: Instant, counts: &Mutex<KnownClientCounts>) {
    for number in 0..plan.max_connections {
        if Instant::now() >= deadline {
            break;
        }
        let mut outcome = ConnectionOutcome::default();
        outcome.is_failed = run_connection(plan, number, &mut outcome).is_err();
        counts.lock().unwrap_or_else(PoisonError::into_inner).add(&outcome);
        thread::sleep(RECONNECT_PAUSE);
    }
}

fn run_connection(plan: &FloodPlan, number: u64, outcome: &mut ConnectionOutcome) -> io::Result<()> {
    let started = Instant::now();
    let mut stream = connect(plan.known_from, plan.target, CONNECT_TIMEOUT)?;
    send(&mut stream, &ping(PING_SEQID))?;
    let (_, answered) = answer(&mut stream)?;
    match answered {
        Answered::Served => outcome.latency = Some(started.elapsed()),
        Answered::Refused => {
            outcome.is_rejected = true;
            return Ok(());
        }
        Answered::Failed => return Err(io::ErrorKind::InvalidData.into()),
    }
    send_request(&mut stream, plan, &trace_id(number, started))?;
    outcome.is_written = true;
    let (seqid, _) = answer(&mut stream)?;
    outcome.is_answered = seqid == INVOKE_SEQID;
    Ok(())
}

/// A trace id that no other connection of this machine has, as far as time and process tell.
fn trace_id(number: u64, started: Instant) -> String {
    let process = u64::from(std::process::id());
    format!("{:016x}", (number << 20) ^ process ^ started.elapsed().as_nanos() as u64)
}

fn send_request(stream: &mut TcpStream, plan: &FloodPlan, trace: &str) -> io::Result<()> {
    let fields = [
        ("route", plan.route.as_str()),
        ("trace", trace),
        ("patience", "1500"),
        ("entity", "7f3a9c21e0b4d655"),
        ("slice", "0"),
        ("set", "17"),
    ];
    send(stream, &invoke(INVOKE_SEQID, &fields, b""))
}

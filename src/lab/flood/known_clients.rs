//! Known clients. Each connects, pings, sends one request, reads the answer, and connects again.

use super::{connect, FloodPlan};
use crate::standin::thrift_client::{invoke, ping, read_answer, send, AnswerKind};
use hdrhistogram::Histogram;
use std::io;
use std::net::TcpStream;
use std::sync::{Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Pause before a client reconnects, since a real client reconnects now and then, not in a tight loop.
const RECONNECT_PAUSE: Duration = Duration::from_millis(20);
/// Longest latency that is recorded, in us; longer ones are recorded as this.
const MAX_RECORDED_US: u64 = 60_000_000;
/// Significant digits of recorded latencies.
const RECORDED_DIGITS: u8 = 3;
/// Sequence numbers of the two messages that are sent on a connection.
const PING_SEQID: i32 = 1;
const INVOKE_SEQID: i32 = 2;

/// Counts of the known clients' connections and requests.
#[derive(Debug)]
pub struct KnownClientCounts {
    /// Number of connections that were attempted.
    pub tried: u64,
    /// Number of those on which the ping was answered with a pong.
    pub connected: u64,
    /// Number of those on which the ping was rejected.
    pub rejected: u64,
    /// Number of those that failed without an answer: the connect failed or timed out, or the connection
    /// ended before a byte was read (which proves to the client that no request was executed).
    pub broken: u64,
    /// Time from a client's connect to its pong, in us.
    pub latency: Histogram<u64>,
    /// Number of requests that were written whole.
    pub written: u64,
    /// Number of requests that were answered.
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

/// The outcome of one connection of a known client.
#[derive(Default)]
struct ConnectionOutcome {
    /// Time from the connect to the pong; `None` if no pong was received.
    latency: Option<Duration>,
    is_rejected: bool,
    is_written: bool,
    is_answered: bool,
    is_failed: bool,
}

impl ConnectionOutcome {
    /// Whether the connection failed before any answer was received.
    fn is_broken(&self) -> bool {
        self.is_failed && self.latency.is_none() && !self.is_rejected
    }
}

/// Runs one known client until the deadline, or until it has made all its connections.
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
    let (_, answered) = read_answer(&mut stream)?;
    match answered {
        AnswerKind::Served => outcome.latency = Some(started.elapsed()),
        AnswerKind::Rejected => {
            outcome.is_rejected = true;
            return Ok(());
        }
        AnswerKind::Failed => return Err(io::ErrorKind::InvalidData.into()),
    }
    send_request(&mut stream, plan, &trace_id(number, started))?;
    outcome.is_written = true;
    let (seqid, _) = read_answer(&mut stream)?;
    outcome.is_answered = seqid == INVOKE_SEQID;
    Ok(())
}

/// Returns a trace id from the connection's number, the process id and the time that the connection has
/// taken. Other connections of this machine are unlikely to have the same one.
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

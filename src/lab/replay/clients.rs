//! The clients of a replay. Each sends its share of the requests at the trace's times on a connection of its
//! own, and reconnects when the connection has ended.

use super::connection::{ClientConnection, OpenRequest, OpenRequests};
use super::request_outcome::RequestOutcome;
use super::{ClassObjectives, ReplayPlan};
use crate::standin::thrift_client;
use crate::trace::{TimedRequest, Trace};
use indicatif::ProgressBar;
use std::io;
use std::net::SocketAddr;
use std::sync::mpsc::{channel, Sender};
use std::thread;
use std::time::{Duration, Instant};

/// Time that a client waits at its end for the answers to open requests.
const LAST_ANSWERS_TIMEOUT: Duration = Duration::from_secs(6);
/// Pause between two checks whether requests are still open.
const LAST_ANSWERS_PAUSE: Duration = Duration::from_millis(10);
/// Attempts to write a request: on the client's connection, and if that fails once more on a new connection.
const WRITE_ATTEMPTS: usize = 2;
/// Low bits of a trace id, which hold the number of the request in the replay; the seed is above them.
const REQUEST_BITS: u32 = 32;

/// The results of all clients.
pub(super) struct ClientResults {
    pub(super) outcomes: Vec<RequestOutcome>,
    /// How much later than planned a request was sent, at most.
    pub(super) max_lateness: Duration,
}

/// The trace, settings and clock that the clients of a replay share.
#[derive(Clone, Copy)]
pub(super) struct ReplayContext<'a> {
    pub(super) trace: &'a Trace,
    pub(super) plan: &'a ReplayPlan,
    /// Objectives by class.
    pub(super) objectives: &'a [ClassObjectives],
    /// Address of the edge proxy's Thrift front.
    pub(super) target: SocketAddr,
    pub(super) started: Instant,
    pub(super) progress: &'a ProgressBar,
}

impl ReplayContext<'_> {
    /// Returns when a request is due to be sent, from the start of the replay.
    fn sending_time(&self, request: &TimedRequest) -> Duration {
        Duration::from_secs_f64(request.at.as_secs_f64() / self.plan.speed)
    }

    /// Returns the frame of a request, the one with index `number` in the trace.
    fn frame(&self, number: usize, request: &TimedRequest, seqid: i32) -> Vec<u8> {
        let class = self.trace.classes[request.class].as_str();
        let object = format!("{:016x}", request.object);
        let client_timeout = (self.objectives[request.class].deadline_ms as u64).to_string();
        let trace = format!("{:016x}", (self.plan.seed << REQUEST_BITS) + number as u64 + 1);
        let fields = [
            ("route", class),
            ("trace", &trace),
            ("patience", &client_timeout),
            ("entity", &object),
            ("slice", "0"),
            ("set", "17"),
        ];
        let body: &[u8] = if class == "result" { b"won" } else { b"" };
        thrift_client::invoke(seqid, &fields, body)
    }
}

/// Sends all requests at their times over the clients' connections, and collects their outcomes.
pub(super) fn run_clients(context: &ReplayContext<'_>) -> io::Result<ClientResults> {
    let (sender, outcomes) = channel();
    let clients = context.plan.connections.max(1);
    thread::scope(|scope| {
        let start = |number: usize| {
            let client = ReplayClient::new(*context, sender.clone());
            scope.spawn(move || client.run(number, clients))
        };
        let running: Vec<_> = (0..clients).map(start).collect();
        drop(sender);
        let outcomes: Vec<RequestOutcome> = outcomes.iter().collect();
        let mut max_lateness = Duration::ZERO;
        for client in running {
            let lateness = client.join().map_err(|_| io::Error::other("a client of the replay panicked"))?;
            max_lateness = max_lateness.max(lateness);
        }
        Ok(ClientResults { outcomes, max_lateness })
    })
}

struct ReplayClient<'a> {
    context: ReplayContext<'a>,
    outcomes: Sender<RequestOutcome>,
    connection: Option<ClientConnection>,
    /// The open requests of all connections that the client has had.
    open: Vec<OpenRequests>,
    last_seqid: i32,
    max_lateness: Duration,
}

impl<'a> ReplayClient<'a> {
    fn new(context: ReplayContext<'a>, outcomes: Sender<RequestOutcome>) -> Self {
        let max_lateness = Duration::ZERO;
        ReplayClient { context, outcomes, connection: None, open: Vec::new(), last_seqid: 0, max_lateness }
    }

    /// Sends the requests of client `number` of `clients`, and waits for the last answers. Returns how much
    /// later than planned a request was sent, at most.
    fn run(mut self, number: usize, clients: usize) -> Duration {
        let requests = self.context.trace.requests.iter().enumerate();
        for (number, request) in requests.skip(number).step_by(clients) {
            self.wait_for(self.context.sending_time(request));
            self.context.progress.inc(1);
            self.send(number, request);
        }
        self.wait_for_last_answers();
        self.finish();
        self.max_lateness
    }

    /// Sleeps until `time` from the start, and records by how much that was missed.
    fn wait_for(&mut self, time: Duration) {
        let started = self.context.started;
        if let Some(wait) = time.checked_sub(started.elapsed()) {
            thread::sleep(wait);
        }
        self.max_lateness = self.max_lateness.max(started.elapsed().saturating_sub(time));
    }

    /// Sends a request. If the write shows that the connection has ended, the request is sent on a new one.
    fn send(&mut self, number: usize, request: &TimedRequest) {
        self.last_seqid += 1;
        let frame = self.context.frame(number, request, self.last_seqid);
        let is_sent = (0..WRITE_ATTEMPTS).any(|_| self.write(request.class, &frame));
        if !is_sent {
            let sent = self.context.sending_time(request);
            self.report_unanswered(OpenRequest { class: request.class, sent });
        }
    }

    fn write(&mut self, class: usize, frame: &[u8]) -> bool {
        if self.connection.is_none() {
            self.connect();
        }
        let Some(connection) = &mut self.connection else { return false };
        let request = OpenRequest { class, sent: self.context.started.elapsed() };
        let is_written = connection.write(self.last_seqid, request, frame);
        if !is_written {
            self.connection = None;
        }
        is_written
    }

    fn connect(&mut self) {
        let ReplayContext { target, started, .. } = self.context;
        self.connection = ClientConnection::open(target, started, &self.outcomes);
        self.open.extend(self.connection.iter().map(|connection| connection.open.clone()));
    }

    fn wait_for_last_answers(&self) {
        let until = Instant::now() + LAST_ANSWERS_TIMEOUT;
        let is_any_open = || self.open.iter().any(|open| !open.lock().is_empty());
        while is_any_open() && Instant::now() < until {
            thread::sleep(LAST_ANSWERS_PAUSE);
        }
    }

    /// Closes the connection. Requests that are still open are reported as unanswered.
    fn finish(&mut self) {
        if let Some(connection) = self.connection.take() {
            connection.close();
        }
        for open in std::mem::take(&mut self.open) {
            for request in std::mem::take(&mut *open.lock()).into_values() {
                self.report_unanswered(request);
            }
        }
    }

    fn report_unanswered(&self, request: OpenRequest) {
        let OpenRequest { class, sent } = request;
        let _ = self.outcomes.send(RequestOutcome { class, sent, latency: Duration::ZERO, answer: None });
    }
}

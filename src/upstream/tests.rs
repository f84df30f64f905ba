//! Tests of the pool as a whole.

use super::connection::{
    DUPLICATE_ANSWER_WINDOW, MAX_UNANSWERED_JOBS, MIN_WRITE_CONNECTION_AGE, UNSOLICITED_ANSWER_TIME,
};
use super::connections::MAX_CONNECT_RETRIES;
use super::jobs::MIN_UNANSWERED_WAIT;
use super::line_protocol::WireRequest;
use super::reading::{ANSWER_STALL_TIMEOUT, MAX_ANSWER_TIME, MAX_READS_PER_TURN, READ_BUFFER_BYTES};
use super::*;
use crate::deadlines::Deadlines;
use crate::net::fabric::{host, ActorEvent, Fabric, HostBehaviour};
use crate::net::{Net, Reason};

/// Maximum number of bytes in flight on a connection of the simulated network.
const WINDOW: usize = 256 * 1024;
const US: Span = Span::from_micros(1);
const MS: Span = Span::from_millis(1);
const SERVER: ServerId = ServerId(1);
const OTHER_SERVER: ServerId = ServerId(2);

fn at(span: Span) -> Instant {
    Instant::ZERO + span
}

fn request(server: ServerId, job: u64, wire_id: &str, queue: QueueKind) -> QueuedRequest {
    QueuedRequest { job: JobId(job), server, wire_id: wire_id.to_owned(), queue, counted_class: None }
}

struct Pool {
    upstream: Upstream,
    net: Net,
    deadlines: Deadlines<ConnectionDeadline>,
    listener: std::net::TcpListener,
}

/// Returns a pool with one queued read for one server, which accepts connections and never answers.
fn pool() -> Pool {
    pool_of(QueueKind::Reads)
}

fn pool_of(queue: QueueKind) -> Pool {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let limits = PoolLimits {
        connect_timeout: 400 * MS,
        idle_timeout: US,
        max_jobs_per_connection: 100,
        max_connections: 9,
        max_buffered_bytes: 1000,
    };
    let (upstream, net) = (Upstream::new(limits), Net::new().expect("an event queue"));
    let mut pool = Pool { upstream, net, deadlines: Deadlines::default(), listener };
    let addr = pool.listener.local_addr().expect("an address");
    pool.upstream.set_server(Instant::ZERO, SERVER, addr, None, &mut pool.net, &mut pool.deadlines);
    pool.upstream.queue_request(Instant::ZERO, request(SERVER, 7, "a", queue));
    pool.dispatch();
    pool
}

impl Pool {
    fn dispatch(&mut self) {
        self.upstream.dispatch(
            Instant::ZERO,
            &mut self.net,
            &mut self.deadlines,
            &mut RecordingEncoder::default(),
        );
    }

    fn connection(&self) -> ConnectionKey {
        *self.upstream.connections.keys().next().expect("a connection")
    }
}

/// Guards against ending a job as not connected after a reset before the connection is up. The server would
/// count as down, which such a reset does not prove.
#[test]
fn connection_reset_before_up_is_reopened() {
    let mut pool = pool();
    for _ in 0..MAX_CONNECT_RETRIES {
        let old = pool.connection();
        pool.upstream.drop_connection(
            Instant::ZERO,
            old,
            Reason::PeerReset,
            &mut pool.net,
            &mut pool.deadlines,
        );
        assert!(pool.connection() != old && pool.upstream.take_events().is_empty());
    }
    let last = pool.connection();
    pool.upstream.drop_connection(Instant::ZERO, last, Reason::PeerReset, &mut pool.net, &mut pool.deadlines);
    assert_eq!(
        pool.upstream.take_events(),
        [UpstreamEvent::JobEnded { job: JobId(7), end: JobEnd::NotConnected }]
    );
}

/// Guards against failing a write as possibly executed when its connection had already broken unnoticed
/// before the write was sent.
#[test]
fn unsent_job_moves_to_another_connection() {
    let mut pool = pool();
    let old = pool.connection();
    pool.upstream.connections.get_mut(&old).expect("known connection").is_up = true;
    pool.net.close(Instant::ZERO, old, Reason::PeerReset); // the state in which a write finds a broken connection
    pool.dispatch();
    assert!(pool.upstream.take_events().is_empty() && pool.connection() != old);
    assert!(pool.upstream.jobs[&Job::Request(JobId(7))].connection.is_none());
}

/// Guards against records of removed servers that accumulate where servers are replaced continually.
#[test]
fn removed_server_is_deleted() {
    let mut pool = pool();
    pool.upstream.remove_server(Instant::ZERO, SERVER, &mut pool.net, &mut pool.deadlines);
    assert_eq!(
        pool.upstream.take_events(),
        [UpstreamEvent::JobEnded { job: JobId(7), end: JobEnd::NotConnected }]
    );
    assert!(pool.upstream.servers.is_empty() && pool.upstream.connections.is_empty());
}

/// A connection on which jobs stay unanswered takes no new jobs. Jobs that are cancelled at once do not show
/// that, so they must not count.
#[test]
fn only_long_waiting_cancelled_jobs_make_connection_silent() {
    for (waited, silent) in [(MIN_UNANSWERED_WAIT, true), (MIN_UNANSWERED_WAIT - US, false)] {
        let mut pool = pool();
        let key = pool.connection();
        for job in 0..u64::from(MAX_UNANSWERED_JOBS) {
            pool.upstream.connections.get_mut(&key).expect("known connection").is_up = true;
            if job > 0 {
                pool.upstream.queue_request(
                    Instant::ZERO,
                    request(SERVER, 7 + job, &format!("a{job}"), QueueKind::Reads),
                );
            }
            pool.dispatch();
        }
        for job in 0..u64::from(MAX_UNANSWERED_JOBS) {
            pool.upstream.cancel(at(waited), JobId(7 + job), &mut pool.net, &mut pool.deadlines);
        }
        let after = waited.as_micros();
        assert_eq!(!pool.upstream.connections.contains_key(&key), silent, "after {after} us");
    }
}

/// Guards against jobs that wait until their timeout behind a partial answer that is never completed, on a
/// connection that stays open.
#[test]
fn connection_with_stalled_answer_is_closed() {
    let mut pool = pool();
    let (mut peer, _) = pool.listener.accept().expect("a connection");
    std::io::Write::write_all(&mut peer, b"a 200 ver=a 9\r\nhalf").expect("written");
    let (key, mut ready) = (pool.connection(), Vec::new());
    while pool.upstream.connections[&key].answer_deadline.is_none() {
        pool.net.poll(None, &mut ready).expect("a poll");
        pool.upstream.on_ready(Instant::ZERO, key, true, true, &mut pool.net, &mut pool.deadlines);
        pool.dispatch();
    }
    let due = pool.deadlines.pop(at(ANSWER_STALL_TIMEOUT)).expect("a deadline");
    assert_eq!(due, ConnectionDeadline::AnswerStalled(key));
    pool.upstream.deadline_passed(at(ANSWER_STALL_TIMEOUT), due, &mut pool.net, &mut pool.deadlines);
    assert_eq!(pool.upstream.take_events(), [UpstreamEvent::JobEnded { job: JobId(7), end: JobEnd::Reset }]);
}

/// Guards against failing writes as possibly executed when their connection is reset just after it came up,
/// or when its server closes it as idle at that moment.
#[test]
fn write_takes_unused_connection_of_minimum_age() {
    let mut pool = pool_of(QueueKind::Writes);
    let first = pool.connection();
    pool.upstream.connections.get_mut(&first).expect("known connection").is_up = true;
    let mut connection_of = |now: Instant, job: u64| {
        if job > 7 {
            pool.upstream.queue_request(now, request(SERVER, job, &format!("a{job}"), QueueKind::Writes));
        }
        pool.upstream.dispatch(now, &mut pool.net, &mut pool.deadlines, &mut RecordingEncoder::default());
        pool.upstream.jobs[&Job::Request(JobId(job))].connection
    };
    assert_eq!(
        (connection_of(at(MIN_WRITE_CONNECTION_AGE - US), 7), connection_of(at(MIN_WRITE_CONNECTION_AGE), 7)),
        (None, Some(first))
    );
    assert_eq!(connection_of(at(MIN_WRITE_CONNECTION_AGE), 8), None);
    assert_eq!(pool.upstream.connections.len(), 2);
    pool.upstream.connections.get_mut(&first).expect("known connection").open_jobs.clear();
    pool.upstream.handle_idle(at(MIN_WRITE_CONNECTION_AGE), first, &mut pool.net, &mut pool.deadlines);
    assert!(
        !pool.upstream.connections.contains_key(&first),
        "a connection is closed once its write is answered"
    );
}

/// Some servers close idle connections far sooner than the settings state.
#[test]
fn shorter_idle_timeout_of_server_is_learned() {
    let mut pool = pool();
    let key = pool.connection();
    let connection = pool.upstream.connections.get_mut(&key).expect("known connection");
    (connection.is_up, connection.idle_since) = (true, Instant::ZERO);
    pool.upstream.limits.idle_timeout = 15_000 * MS;
    pool.upstream.drop_connection(at(820 * MS), key, Reason::PeerClosed, &mut pool.net, &mut pool.deadlines);
    assert_eq!(pool.upstream.limits.idle_timeout, 820 * MS);
}

/// Guards against a duplicate of an answer that is taken for the answer to a retry with the same id on the
/// same connection.
#[test]
fn retry_with_same_id_ignores_duplicate_answer() {
    let mut pool = pool();
    let (mut peer, _) = pool.listener.accept().expect("a connection");
    let (key, mut ready) = (pool.connection(), Vec::new());
    let mut until = |pool: &mut Pool, done: fn(&Connection) -> bool| {
        while !done(&pool.upstream.connections[&key]) {
            pool.net.poll(None, &mut ready).expect("a poll");
            pool.upstream.on_ready(Instant::ZERO, key, true, true, &mut pool.net, &mut pool.deadlines);
            pool.dispatch();
        }
    };
    until(&mut pool, |connection| !connection.open_jobs.is_empty());
    std::io::Write::write_all(&mut peer, b"a 503 - 0\r\n").expect("written");
    until(&mut pool, |connection| connection.has_answered_ids());
    assert_eq!(pool.upstream.take_events().len(), 1);
    pool.upstream.queue_request(Instant::ZERO, request(SERVER, 8, "a", QueueKind::Reads));
    pool.dispatch();
    assert!(
        pool.upstream.jobs[&Job::Request(JobId(8))].connection.is_none(),
        "the retry is not written on this connection"
    );
    assert_eq!(pool.upstream.connections.len(), 2, "another connection is opened for the retry");
    assert!(!pool.upstream.connections[&key].accepts_id(at(DUPLICATE_ANSWER_WINDOW - US), "a"));
    assert!(
        pool.upstream.connections[&key].accepts_id(at(DUPLICATE_ANSWER_WINDOW), "a"),
        "no duplicate can be received any more"
    );
}

/// Guards against failing a write as possibly executed when the server had already closed its connection.
#[test]
fn write_is_not_sent_on_connection_closed_by_server() {
    let mut pool = pool_of(QueueKind::Writes);
    let first = pool.connection();
    let (peer, _) = pool.listener.accept().expect("a connection");
    pool.upstream.connections.get_mut(&first).expect("known connection").is_up = true;
    drop(peer);
    // Wait until the end of the stream has been received; its readiness event is not handled.
    while pool.net.has_peer_ended(first) == Ok(false) {}
    pool.upstream.dispatch(
        at(MIN_WRITE_CONNECTION_AGE),
        &mut pool.net,
        &mut pool.deadlines,
        &mut RecordingEncoder::default(),
    );
    assert!(pool.upstream.take_events().is_empty(), "the write has not failed");
    assert!(
        !pool.upstream.connections.contains_key(&first)
            && pool.upstream.jobs[&Job::Request(JobId(7))].connection.is_none()
    );
}

/// Guards against counting a server as failed when this process has no descriptor left for a connection to
/// it.
#[test]
fn connection_limit_evicts_longest_idle_or_ends_job_unsent() {
    let mut pool = pool();
    let key = pool.connection();
    pool.upstream.limits.max_connections = 1;
    let other = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let addr = other.local_addr().expect("an address");
    pool.upstream.set_server(Instant::ZERO, OTHER_SERVER, addr, None, &mut pool.net, &mut pool.deadlines);
    pool.upstream.queue_request(Instant::ZERO, request(OTHER_SERVER, 8, "b", QueueKind::Reads));
    pool.dispatch();
    assert_eq!(
        pool.upstream.take_events(),
        [UpstreamEvent::JobEnded { job: JobId(8), end: JobEnd::NotSent }],
        "no connection is idle"
    );
    let connection = pool.upstream.connections.get_mut(&key).expect("known connection");
    connection.is_up = true;
    connection.open_jobs.clear();
    pool.upstream.cancel(Instant::ZERO, JobId(7), &mut pool.net, &mut pool.deadlines);
    pool.upstream.queue_request(Instant::ZERO, request(OTHER_SERVER, 9, "c", QueueKind::Reads));
    pool.dispatch();
    assert!(pool.upstream.take_events().is_empty() && !pool.upstream.connections.contains_key(&key));
}

/// A pool with one server in a simulated network.
struct SimulatedPool {
    upstream: Upstream,
    net: Net,
    fabric: Fabric,
    deadlines: Deadlines<ConnectionDeadline>,
    now: Instant,
}

/// An encoder that records its calls.
#[derive(Default)]
struct RecordingEncoder {
    body: usize,
    encoded: Vec<JobId>,
    not_written: Vec<JobId>,
}

impl RequestEncoder<Deadlines<ConnectionDeadline>> for RecordingEncoder {
    fn encode(&mut self, job: JobId, _: &mut Deadlines<ConnectionDeadline>) -> Option<WireRequest> {
        self.encoded.push(job);
        Some(WireRequest { body: vec![b'x'; self.body].into(), ..WireRequest::default() })
    }

    fn not_written(&mut self, job: JobId) {
        self.not_written.push(job);
    }
}

impl SimulatedPool {
    /// Number of the only connection of the network.
    const LINK: u64 = 1;

    fn new() -> Self {
        let fabric = Fabric::new(Instant::ZERO, 1, MS..=MS);
        fabric.start_process(1);
        fabric.set_host_behaviour(host(1), HostBehaviour::Up);
        let limits = PoolLimits {
            connect_timeout: 400 * MS,
            idle_timeout: 1000 * MS,
            max_jobs_per_connection: 100,
            max_connections: 9,
            max_buffered_bytes: 1 << 20,
        };
        let (upstream, net) = (Upstream::new(limits), Net::simulated(&fabric, 1));
        let mut pool =
            SimulatedPool { upstream, net, fabric, deadlines: Deadlines::default(), now: Instant::ZERO };
        pool.upstream.set_server(Instant::ZERO, SERVER, host(1), None, &mut pool.net, &mut pool.deadlines);
        pool
    }

    fn queue(&mut self, job: u64, encoder: &mut RecordingEncoder) {
        self.upstream.queue_request(self.now, request(SERVER, job, &format!("a{job}"), QueueKind::Reads));
        self.dispatch(encoder);
    }

    fn dispatch(&mut self, encoder: &mut RecordingEncoder) {
        self.upstream.dispatch(self.now, &mut self.net, &mut self.deadlines, encoder);
    }

    /// Advances the network to a time and handles the ready connections. Returns the bytes that the server
    /// received.
    fn advance(&mut self, to: Instant) -> String {
        self.now = to;
        self.fabric.advance(to);
        self.fabric.run_due_events();
        let mut ready = Vec::new();
        self.net.poll(None, &mut ready).expect("a simulated poll does not fail");
        for one in ready {
            if let crate::net::Ready::Conn { key, read, write, .. } = one {
                self.upstream.on_ready(to, key, read, write, &mut self.net, &mut self.deadlines);
            }
        }
        let bytes = self.fabric.take_actor_events().into_iter().filter_map(|signal| match signal {
            ActorEvent::Bytes { bytes, .. } => Some(String::from_utf8(bytes).expect("text")),
            _ => None,
        });
        bytes.collect()
    }

    /// Writes a job so large that only `room` more bytes can be in flight to the server.
    fn fill_socket(&mut self, room: usize) {
        let line = line_protocol::encode_fetch_line(
            "a7",
            &WireRequest { body: vec![0; 100_000].into(), ..WireRequest::default() },
        )
        .len();
        let body = WINDOW - room - line - 2;
        assert!((100_000..1_000_000).contains(&body), "the length of the body has six digits");
        self.queue(7, &mut RecordingEncoder { body, ..RecordingEncoder::default() });
        self.advance(at(2 * MS)); // the connection comes up
        self.dispatch(&mut RecordingEncoder { body, ..RecordingEncoder::default() });
        assert_eq!(self.upstream.jobs[&Job::Request(JobId(7))].written_at, at(2 * MS));
    }
}

/// Guards against jobs that are buffered for a full socket and reach the server after their client has left
/// or after their attempt timeout.
#[test]
fn job_blocked_by_full_socket_is_not_buffered() {
    for is_cancelled in [false, true] {
        let (mut pool, mut encoder) = (SimulatedPool::new(), RecordingEncoder::default());
        pool.fill_socket(0);
        pool.queue(8, &mut encoder);
        assert_eq!((&encoder.encoded[..], &encoder.not_written[..]), (&[JobId(8)][..], &[JobId(8)][..]));
        assert!(
            pool.upstream.jobs[&Job::Request(JobId(8))].connection.is_none(),
            "the job waits in the queue"
        );
        if is_cancelled {
            pool.upstream.cancel(at(2500 * US), JobId(8), &mut pool.net, &mut pool.deadlines);
        }
        assert!(!pool.advance(at(3 * MS)).contains("fetch a8"));
        pool.dispatch(&mut encoder);
        let sent = pool.advance(at(5 * MS));
        assert_eq!((sent.contains("fetch a8"), sent.contains("abort")), (!is_cancelled, false));
        assert_eq!(
            encoder.encoded.len(),
            if is_cancelled { 1 } else { 2 },
            "the job is encoded again when it is written"
        );
    }
}

/// A line that was sent in part cannot be taken back, so its connection is closed. The job has not run and
/// must not end.
#[test]
fn job_with_incomplete_line_moves_to_another_connection() {
    let (mut pool, mut encoder) = (SimulatedPool::new(), RecordingEncoder::default());
    pool.fill_socket(5);
    let first = *pool.upstream.connections.keys().next().expect("a connection");
    pool.queue(8, &mut encoder);
    assert_eq!(encoder.not_written, [JobId(8)]);
    assert!(!pool.upstream.connections.contains_key(&first));
    assert_eq!(
        pool.upstream.take_events(),
        [UpstreamEvent::JobEnded { job: JobId(7), end: JobEnd::Reset }],
        "only the job that was open on the closed connection has ended"
    );
    pool.advance(at(10 * MS));
    pool.dispatch(&mut encoder);
    assert!(pool.upstream.jobs[&Job::Request(JobId(8))]
        .connection
        .is_some_and(|connection| connection != first));
}

/// Guards against an event loop that is blocked by one server that sends endlessly.
#[test]
fn server_that_sends_endlessly_is_read_in_turns() {
    let (mut pool, mut encoder) = (SimulatedPool::new(), RecordingEncoder::default());
    pool.queue(7, &mut encoder);
    pool.advance(at(2 * MS));
    pool.dispatch(&mut encoder);
    let endless = b"zz 503 - 0\r\n".repeat(10 * MAX_READS_PER_TURN * READ_BUFFER_BYTES / 12);
    pool.fabric.send(SimulatedPool::LINK, &endless);
    pool.advance(at(5 * MS));
    let mut turns = 1;
    while let Some(key) = pool.upstream.next_readable_connection() {
        assert_eq!(
            pool.upstream.connections_with_more_to_read(),
            0,
            "a connection waits for only one turn at a time"
        );
        pool.upstream.on_ready(at(5 * MS), key, true, false, &mut pool.net, &mut pool.deadlines);
        turns += 1;
    }
    assert!(turns >= 10, "{turns} turns");
    pool.fabric.send(SimulatedPool::LINK, b"a7 503 - 0\r\n");
    pool.advance(at(9 * MS));
    assert_eq!(pool.upstream.take_events().len(), 1, "answers are still used after that");
}

/// Guards against an answer that is received slowly but without a stall, and blocks all jobs open behind it.
#[test]
fn connection_with_too_slow_answer_is_closed() {
    let (mut pool, mut encoder) = (SimulatedPool::new(), RecordingEncoder::default());
    pool.queue(7, &mut encoder);
    pool.advance(at(2 * MS));
    pool.dispatch(&mut encoder);
    pool.fabric.send(SimulatedPool::LINK, b"a7 200 ver=a 200000\r\n");
    let since = at(4 * MS);
    pool.advance(since);
    let mut now = since;
    let ended = loop {
        now += ANSWER_STALL_TIMEOUT / 2;
        while let Some(what) = pool.deadlines.pop(now) {
            pool.upstream.deadline_passed(now, what, &mut pool.net, &mut pool.deadlines);
        }
        let events = pool.upstream.take_events();
        if !events.is_empty() {
            break events;
        }
        assert!(
            now <= since + MAX_ANSWER_TIME + ANSWER_STALL_TIMEOUT,
            "the connection was not closed in time"
        );
        pool.fabric.send(SimulatedPool::LINK, b"x");
        pool.advance(now + MS);
    };
    assert_eq!(ended, [UpstreamEvent::JobEnded { job: JobId(7), end: JobEnd::Reset }]);
    assert!(now >= since + MAX_ANSWER_TIME, "the connection was closed too early");
}

/// Sends the same bytes without end on a connection with an open job, for at most `until`. Returns when the
/// connection was closed; `None` if it was not.
fn close_time_under_endless(bytes: &[u8], until: Span) -> Option<Span> {
    const INTERVAL: Span = Span::from_millis(20);
    let (mut pool, mut encoder) = (SimulatedPool::new(), RecordingEncoder::default());
    pool.queue(7, &mut encoder);
    pool.advance(at(2 * MS));
    pool.dispatch(&mut encoder);
    let mut now = 2 * MS;
    while now < until {
        pool.fabric.send(SimulatedPool::LINK, &bytes.repeat(100));
        now += INTERVAL;
        pool.advance(at(now));
        while let Some(what) = pool.deadlines.pop(at(now)) {
            pool.upstream.deadline_passed(at(now), what, &mut pool.net, &mut pool.deadlines);
        }
        let events = pool.upstream.take_events();
        if !events.is_empty() {
            assert_eq!(events, [UpstreamEvent::JobEnded { job: JobId(7), end: JobEnd::Reset }]);
            return Some(now);
        }
    }
    None
}

/// Guards against noise that is read for ever: empty lines were skipped, however many came, and counted as a
/// sign of life, so that the turns of the loop became too long for the requests of all clients.
#[test]
fn connection_with_endless_empty_lines_is_closed() {
    assert!(close_time_under_endless(b"\r\n", ANSWER_STALL_TIMEOUT).is_some());
}

/// Guards against answers under unknown ids that are read for ever, with the same effect.
#[test]
fn connection_with_endless_unsolicited_answers_is_closed() {
    let closed = close_time_under_endless(b"zz 503 - 0\r\n", ANSWER_STALL_TIMEOUT);
    assert!(closed.is_some_and(|after| after >= UNSOLICITED_ANSWER_TIME), "{closed:?}");
}

/// A duplicate of each answer, and an answer under an unknown id ahead of it, are no reason to close a
/// connection, however many jobs it has had.
#[test]
fn connection_with_two_extra_answers_for_each_job_stays_open() {
    let (mut pool, mut encoder) = (SimulatedPool::new(), RecordingEncoder::default());
    for job in 0..200 {
        pool.queue(job, &mut encoder);
        let now = pool.now + 10 * MS;
        pool.advance(now);
        pool.dispatch(&mut encoder);
        let answers = format!("zz 503 - 0\r\na{job} 503 - 0\r\na{job} 503 - 0\r\n");
        pool.fabric.send(SimulatedPool::LINK, answers.as_bytes());
        pool.advance(now + 2 * MS);
        let end = pool.upstream.take_events();
        assert!(matches!(&end[..], [UpstreamEvent::JobEnded { end: JobEnd::Answer(_), .. }]), "{end:?}");
        assert_eq!(pool.upstream.connections.len(), 1);
    }
}

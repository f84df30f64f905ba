//! Tests of reading, timeouts and the handover of connections.

use super::codec::ThriftReply;
use super::limits::{
    CHECK_INTERVAL, IDLE_TIMEOUT, LINGER_TIMEOUT, MAX_FRAME_BYTES, MESSAGE_TIMEOUT,
    MESSAGE_TIMEOUT_WITHOUT_MEMORY,
};
use super::*;
use crate::deadlines::Deadlines;
use crate::interface::Span;
use crate::net::{BufferLimits, Ready, Reason, Role, MIN_INPUT_BYTES};
use std::io::{Read, Write};
use std::net::TcpStream;

const PING: &[u8] = b"\0\0\0\x11\x80\x01\0\x01\0\0\0\x04ping\0\0\0\x09\0";
const US: Span = Span::from_micros(1);
/// The length of a body that does not fit into the buffer of a client that does not read.
const LONG_BODY_BYTES: usize = 235_000;
const HANDLE: RequestHandle = RequestHandle::from_number(77);

fn at(span: Span) -> Instant {
    Instant::ZERO + span
}

/// Returns the frame of an `invoke` call with this sequence number and an empty map of fields.
fn invoke(seqid: u8) -> Vec<u8> {
    let head =
        [b"\x80\x01\0\x01\0\0\0\x06invoke\0\0\0", &[seqid][..], b"\x0d\0\x01\x0b\x0b\0\0\0\0\0"].concat();
    [&(head.len() as u32).to_be_bytes()[..], &head].concat()
}

/// Returns the frame that cancels the request with this sequence number.
fn abort(target: u8) -> Vec<u8> {
    let head = [b"\x80\x01\0\x04\0\0\0\x05abort\0\0\0\x63\x08\0\x01\0\0\0", &[target][..], b"\0"].concat();
    [&(head.len() as u32).to_be_bytes()[..], &head].concat()
}

/// A front with one client's connection.
struct Fixture {
    front: ThriftFront,
    net: Net,
    deadlines: Deadlines<SessionDeadline>,
    client: TcpStream,
    conn: ConnectionKey,
}

impl Fixture {
    fn new() -> Self {
        let mut net = Net::new().expect("the poll is created");
        let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
        let client =
            TcpStream::connect(listener.local_addr().expect("the local address")).expect("a connection");
        let conn = net
            .adopt(Instant::ZERO, listener.accept().expect("an accepted connection").0, Role::Thrift, b"")
            .expect("adopted");
        let mut front = ThriftFront::default();
        let mut deadlines = Deadlines::default();
        front.open(Instant::ZERO, conn, &mut deadlines);
        Fixture { front, net, deadlines, client, conn }
    }

    fn session(&self) -> &Session {
        self.front.sessions.get(self.conn).expect("the connection is open")
    }

    /// Opens another client's connection.
    fn open_another(&mut self, now: Instant) -> (TcpStream, ConnectionKey) {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
        let addr = listener.local_addr().expect("the local address");
        let client = TcpStream::connect(addr).expect("a connection");
        let accepted = listener.accept().expect("an accepted connection").0;
        let conn = self.net.adopt(now, accepted, Role::Thrift, b"").expect("adopted");
        self.front.open(now, conn, &mut self.deadlines);
        (client, conn)
    }

    /// Reads from a connection until it holds as many unprocessed bytes. Returns their events.
    fn read_until(&mut self, now: Instant, conn: ConnectionKey, unprocessed: usize) -> Vec<ThriftEvent> {
        let mut events = Vec::new();
        while self.net.unprocessed_bytes(conn) < unprocessed {
            events.extend(self.front.on_ready(now, conn, false, &mut self.net, &mut self.deadlines));
        }
        assert_eq!(self.net.unprocessed_bytes(conn), unprocessed);
        events
    }

    /// Sends these bytes and reads until they have arrived. Returns their events.
    fn send(&mut self, now: Instant, bytes: &[u8]) -> Vec<ThriftEvent> {
        self.client.write_all(bytes).expect("written");
        let unused = |net: &mut Net, conn| net.input(conn, |input| input.len()).unwrap_or(0);
        let before = unused(&mut self.net, self.conn);
        loop {
            let events = self.front.on_ready(now, self.conn, false, &mut self.net, &mut self.deadlines);
            if !events.is_empty() || unused(&mut self.net, self.conn) != before {
                return events;
            }
        }
    }

    /// Runs the timeout checks up to an instant. Returns their events.
    fn pass_time_with_events(&mut self, until: Instant) -> Vec<ThriftEvent> {
        let mut events = Vec::new();
        while let Some(at) = self.deadlines.next().filter(|at| *at <= until) {
            while let Some(what) = self.deadlines.pop(at) {
                events.extend(self.front.deadline_passed(at, what, &mut self.net, &mut self.deadlines));
            }
        }
        events
    }

    /// Runs the timeout checks up to an instant. Returns whether the connection is still open and does not
    /// linger.
    fn pass_time(&mut self, until: Instant) -> bool {
        self.pass_time_with_events(until);
        self.front.sessions.get(self.conn).is_some_and(|session| session.lingering_since.is_none())
    }
}

#[test]
fn message_that_arrives_byte_by_byte_is_read() {
    let mut fixture = Fixture::new();
    for message in [PING, &invoke(1)] {
        for (i, byte) in message.iter().enumerate() {
            let events = fixture.send(Instant::ZERO, &[*byte]);
            assert_eq!(events.len(), usize::from(i + 1 == message.len()), "byte {i}");
        }
    }
}

/// A client that reads its answers slowly may send the rest of its next message late: it must not be closed
/// for that before it has had the full timeout after its answers.
#[test]
fn message_timeout_starts_after_open_requests_are_answered() {
    for open in [true, false] {
        let mut fixture = Fixture::new();
        let first = if open { invoke(1) } else { PING.to_vec() };
        assert_eq!(fixture.send(Instant::ZERO, &first).len(), 1);
        fixture.send(Instant::ZERO, &PING[..5]);
        assert_eq!(
            fixture.pass_time(at(MESSAGE_TIMEOUT + CHECK_INTERVAL)),
            open,
            "with a request open: {open}"
        );
        if open {
            let (conn, now) = (fixture.conn, at(MESSAGE_TIMEOUT + CHECK_INTERVAL));
            fixture.front.answer(
                now,
                conn,
                SequenceId(1),
                ThriftReply::Failed,
                &mut fixture.net,
                &mut fixture.deadlines,
            );
            assert!(
                fixture.pass_time(now + MESSAGE_TIMEOUT - 2 * CHECK_INTERVAL),
                "the timeout starts with the answer"
            );
            assert!(!fixture.pass_time(now + MESSAGE_TIMEOUT + CHECK_INTERVAL), "the timeout passes");
        }
    }
}

/// Guards against a fault in which reading stayed paused while one request was open for long, so that all
/// requests behind it stayed unread until its deadline.
#[test]
fn handover_pause_ends_even_with_open_requests() {
    let mut fixture = Fixture::new();
    assert_eq!(fixture.send(Instant::ZERO, &invoke(1)).len(), 1);
    let hand_over = |fixture: &mut Fixture, now, max_open, is_end_near| {
        let all = fixture.front.connections_to_hand_over(now, max_open, is_end_near, &fixture.net);
        (all.len(), fixture.session().paused_since.is_some(), fixture.front.connections_with_more_to_read())
    };
    assert_eq!(
        hand_over(&mut fixture, at(10 * US), 0, false),
        (0, false, 0),
        "more than 0 requests are open"
    );
    let start = at(20 * US);
    assert_eq!(hand_over(&mut fixture, start, 1, false), (0, true, 0));
    fixture.client.write_all(&invoke(2)).expect("written");
    assert_eq!(
        fixture.front.on_ready(at(30 * US), fixture.conn, false, &mut fixture.net, &mut fixture.deadlines),
        []
    );
    assert_eq!(
        hand_over(&mut fixture, start + HANDOVER_PAUSE, 1, false),
        (0, false, 1),
        "the connection with the unread request is queued"
    );
    assert_eq!(hand_over(&mut fixture, start + 2 * HANDOVER_PAUSE - US, 1, false), (0, false, 1));
    assert_eq!(fixture.front.next_readable_connection(), Some(fixture.conn));
    assert_eq!(fixture.send(start + HANDOVER_PAUSE, &[]).len(), 1);
    assert_eq!(
        hand_over(&mut fixture, start + 2 * HANDOVER_PAUSE, 1, false),
        (0, false, 0),
        "two requests are open"
    );
    assert_eq!(
        hand_over(&mut fixture, start + 2 * HANDOVER_PAUSE, 1, true),
        (0, true, 0),
        "every connection pauses near the end"
    );
    assert_eq!(hand_over(&mut fixture, start + 4 * HANDOVER_PAUSE, 1, true), (0, true, 0));
    for seqid in [SequenceId(1), SequenceId(2)] {
        let reply = ThriftReply::Pong(true);
        fixture.front.answer(
            Instant::ZERO,
            fixture.conn,
            seqid,
            reply,
            &mut fixture.net,
            &mut fixture.deadlines,
        );
    }
    assert_eq!(
        hand_over(&mut fixture, start + 4 * HANDOVER_PAUSE, 1, true),
        (1, true, 0),
        "no request is open"
    );
}

/// A cancelled request must not be retried while its cancellation waits unread.
#[test]
fn cancellation_is_found_while_reading_is_paused() {
    let mut fixture = Fixture::new();
    assert_eq!(fixture.send(Instant::ZERO, &invoke(1)).len(), 1);
    fixture.front.set_handle(fixture.conn, SequenceId(1), HANDLE);
    fixture.front.connections_to_hand_over(at(10 * US), 1, false, &fixture.net);
    assert!(fixture.session().paused_since.is_some());
    // The second request stays unread, and so does its cancellation.
    let bytes = [invoke(2), abort(1), abort(2)].concat();
    assert_eq!(fixture.send(at(20 * US), &bytes), [ThriftEvent::Cancelled(HANDLE)]);
    assert_eq!(fixture.net.input(fixture.conn, |input| input.len()), Some(bytes.len()));
    assert!(!fixture.front.is_open(fixture.conn, SequenceId(1)));
}

/// A request that arrives just before its client closes the connection must not be passed on: no one reads
/// the answer.
#[test]
fn close_cancels_open_requests_and_drops_unread_ones() {
    let mut fixture = Fixture::new();
    assert_eq!(fixture.send(Instant::ZERO, &invoke(1)).len(), 1);
    fixture.front.set_handle(fixture.conn, SequenceId(1), HANDLE);
    fixture.client.write_all(&invoke(2)).expect("written");
    let events = fixture.front.on_ready(at(US), fixture.conn, true, &mut fixture.net, &mut fixture.deadlines);
    assert_eq!(events, [ThriftEvent::Cancelled(HANDLE)]);
    assert!(!fixture.front.owns(fixture.conn));
}

/// The client's timeout runs while its request waits unread, so the request must keep its arrival time.
#[test]
fn request_that_waited_unread_keeps_its_arrival_time() {
    let arrived = |events: &[ThriftEvent]| match events {
        [ThriftEvent::Request { arrived, .. }] => *arrived,
        other => panic!("{other:?}"),
    };
    let mut fixture = Fixture::new();
    assert_eq!(arrived(&fixture.send(at(5 * US), &invoke(1))), at(5 * US));
    fixture.front.connections_to_hand_over(at(10 * US), 1, false, &fixture.net);
    let message = invoke(2);
    fixture.send(at(20 * US), &message[..9]);
    fixture.send(at(30 * US), &message[9..]);
    fixture.front.connections_to_hand_over(at(10 * US + HANDOVER_PAUSE), 1, false, &fixture.net);
    assert_eq!(fixture.front.next_readable_connection(), Some(fixture.conn));
    let events = fixture.front.on_ready(
        at(10 * US + HANDOVER_PAUSE),
        fixture.conn,
        false,
        &mut fixture.net,
        &mut fixture.deadlines,
    );
    assert_eq!(arrived(&events), at(20 * US), "when its first byte arrived");
    let later = at(20 * US + HANDOVER_PAUSE);
    assert_eq!(arrived(&fixture.send(later, &invoke(3))), later, "a later request has a later arrival time");
}

/// The client's timeout also runs while a connection waits to be accepted or to be handed over.
#[test]
fn arrival_time_includes_waiting_for_accept_or_handover() {
    let mut fixture = Fixture::new();
    let waits_since = at(-70 * US);
    fixture.front.set_waiting_since(fixture.conn, waits_since);
    let events = fixture.send(at(30 * US), &[invoke(1), invoke(2)].concat());
    let has_waited = |event: &ThriftEvent| matches!(event, ThriftEvent::Request { arrived, .. } if *arrived == waits_since);
    assert!(events.iter().all(has_waited), "{events:?}");
    let now = at(40 * US);
    let events = fixture.send(now, &invoke(3));
    assert!(matches!(events[..], [ThriftEvent::Request { arrived, .. }] if arrived == now), "{events:?}");

    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    let _client =
        TcpStream::connect(listener.local_addr().expect("the local address")).expect("a connection");
    let stream = listener.accept().expect("an accepted connection").0;
    let now = at(50 * US);
    let conn = fixture.net.adopt(now, stream, Role::Thrift, &invoke(4)).expect("adopted");
    fixture.front.adopt(now, conn, &mut fixture.net, &mut fixture.deadlines);
    let events = fixture.front.on_ready(now, conn, false, &mut fixture.net, &mut fixture.deadlines);
    assert!(
        matches!(events[..], [ThriftEvent::Request { arrived, .. }] if arrived == now - HANDOVER_PAUSE),
        "{events:?}"
    );
}

/// Guards against a fault in which a cancellation was not found behind more unread bytes than one frame may
/// have.
#[test]
fn cancellation_is_found_behind_long_messages() {
    let mut fixture = Fixture::new();
    assert_eq!(fixture.send(Instant::ZERO, &invoke(1)).len(), 1);
    fixture.front.set_handle(fixture.conn, SequenceId(1), HANDLE);
    fixture.front.connections_to_hand_over(at(10 * US), 1, false, &fixture.net);
    let mut long = (MAX_FRAME_BYTES as u32).to_be_bytes().to_vec();
    long.resize(long.len() + MAX_FRAME_BYTES, 0);
    let mut client = fixture.client.try_clone().expect("a second handle of the socket");
    let bytes = [&long[..], &long, &abort(1)].concat();
    let writer = std::thread::spawn(move || client.write_all(&bytes).expect("written"));
    let mut events = Vec::new();
    for _ in 0..1_000_000 {
        events = fixture.front.on_ready(
            at(20 * US),
            fixture.conn,
            false,
            &mut fixture.net,
            &mut fixture.deadlines,
        );
        if !events.is_empty() {
            break;
        }
        std::thread::yield_now();
    }
    assert_eq!(events, [ThriftEvent::Cancelled(HANDLE)]);
    writer.join().expect("written");
}

/// A client cannot tell answers to two requests with one sequence number apart, so these two are cancelled.
/// The others must still get their answers.
#[test]
fn repeated_sequence_number_leaves_other_requests_open() {
    let mut fixture = Fixture::new();
    assert_eq!(fixture.send(Instant::ZERO, &invoke(1)).len(), 1);
    fixture.front.set_handle(fixture.conn, SequenceId(1), HANDLE);
    fixture.client.write_all(&[invoke(2), invoke(2)].concat()).expect("written");
    while fixture.session().unreadable_reason.is_none() {
        let events =
            fixture.front.on_ready(at(US), fixture.conn, false, &mut fixture.net, &mut fixture.deadlines);
        assert!(events.iter().all(|event| event.is_request(fixture.conn, SequenceId(2))), "{events:?}");
    }
    assert_eq!(fixture.session().unreadable_reason, Some(Reason::DuplicateSeqid));
    assert!(
        fixture.front.is_open(fixture.conn, SequenceId(1))
            && !fixture.front.is_open(fixture.conn, SequenceId(2))
    );
    fixture.front.answer(
        at(2 * US),
        fixture.conn,
        SequenceId(1),
        ThriftReply::Failed,
        &mut fixture.net,
        &mut fixture.deadlines,
    );
    assert!(fixture.session().lingering_since.is_some(), "the connection closes after the last answer");
}

/// A request that arrives just before its idle connection would be closed must be answered.
#[test]
fn idle_connection_is_read_once_more_before_it_is_closed() {
    let mut fixture = Fixture::new();
    assert_eq!(fixture.send(Instant::ZERO, PING).len(), 1);
    fixture.client.write_all(&invoke(1)).expect("written");
    let mut ready = Vec::new();
    while !ready.iter().any(|one| matches!(one, Ready::Conn { read: true, .. })) {
        fixture.net.poll(None, &mut ready).expect("the poll succeeds");
    }
    let events = fixture.front.deadline_passed(
        at(IDLE_TIMEOUT),
        SessionDeadline(fixture.conn),
        &mut fixture.net,
        &mut fixture.deadlines,
    );
    assert!(matches!(events[..], [ThriftEvent::Request { .. }]), "{events:?}");
    assert!(fixture.front.owns(fixture.conn));
}

/// Guards against unfinished messages of many connections that exceed the memory of the process, each within
/// the limit of its connection. A message for which there is no memory is read once another one has ended.
#[test]
fn unfinished_messages_share_a_limit() {
    let mut fixture = Fixture::new();
    let limits = BufferLimits { thrift_input_bytes: 2 * MAX_FRAME_BYTES + 1, ..BufferLimits::default() };
    fixture.net.set_limits(limits);
    let body = vec![0; MAX_FRAME_BYTES - 4];
    let unfinished = [&(MAX_FRAME_BYTES as i32).to_be_bytes()[..], &body].concat();
    let mut others: Vec<_> = (0..4).map(|_| fixture.open_another(Instant::ZERO)).collect();
    for (client, conn) in &mut others[..2] {
        client.write_all(&unfinished).expect("written");
        fixture.read_until(Instant::ZERO, *conn, MAX_FRAME_BYTES);
    }
    for (client, conn) in &mut others[2..] {
        client.write_all(&unfinished).expect("written");
        fixture.read_until(Instant::ZERO, *conn, MIN_INPUT_BYTES);
    }
    assert!(fixture.net.held_bytes() <= 2 * MAX_FRAME_BYTES + 2 * MIN_INPUT_BYTES);
    assert_eq!(fixture.send(Instant::ZERO, &invoke(1)).len(), 1, "a usual request is read all the same");
    fixture.front.resume_waiting_for_memory(&fixture.net);
    assert_eq!(fixture.front.next_readable_connection(), None, "there is no memory yet");
    let (_, ended) = others[0];
    fixture.front.close(Instant::ZERO, ended, Reason::PeerClosed, &mut fixture.net, &mut fixture.deadlines);
    fixture.front.resume_waiting_for_memory(&fixture.net);
    assert_eq!(fixture.front.next_readable_connection(), None, "other connections use some of the memory");
    let (_, ended) = others[1];
    fixture.front.close(Instant::ZERO, ended, Reason::PeerClosed, &mut fixture.net, &mut fixture.deadlines);
    fixture.front.resume_waiting_for_memory(&fixture.net);
    let (_, next) = others[2];
    assert_eq!(fixture.front.next_readable_connection(), Some(next));
    assert_eq!(fixture.front.next_readable_connection(), None);
    fixture.read_until(Instant::ZERO, next, MAX_FRAME_BYTES);
}

/// A connection that holds much memory for an unfinished message must not keep it from others for the whole
/// timeout of a message.
#[test]
fn message_timeout_is_shorter_while_others_wait_for_memory() {
    for others_wait in [false, true] {
        let mut fixture = Fixture::new();
        let length = MIN_INPUT_BYTES + 1;
        let limits = BufferLimits { thrift_input_bytes: length + 1, ..BufferLimits::default() };
        fixture.net.set_limits(limits);
        let unfinished = [&(MAX_FRAME_BYTES as i32).to_be_bytes()[..], &vec![0; length - 4]].concat();
        fixture.send(Instant::ZERO, &unfinished);
        let conn = fixture.conn;
        fixture.read_until(Instant::ZERO, conn, length);
        let (mut client, other) = fixture.open_another(Instant::ZERO);
        if others_wait {
            client.write_all(&unfinished).expect("written");
            fixture.read_until(Instant::ZERO, other, MIN_INPUT_BYTES);
        }
        let is_open = fixture.pass_time(at(MESSAGE_TIMEOUT_WITHOUT_MEMORY + CHECK_INTERVAL));
        assert_eq!(is_open, !others_wait);
        assert!(fixture.front.owns(other), "the connection that waits has the full timeout");
    }
}

/// Returns the frame of an `invoke` call with this sequence number and a body of this many bytes.
fn invoke_with_body(seqid: u8, body_bytes: usize) -> Vec<u8> {
    let start =
        [b"\x80\x01\0\x01\0\0\0\x06invoke\0\0\0", &[seqid][..], b"\x0d\0\x01\x0b\x0b\0\0\0\0"].concat();
    let body = [b"\x0b\0\x02", &(body_bytes as u32).to_be_bytes()[..], &vec![7; body_bytes], b"\0"].concat();
    [&((start.len() + body.len()) as u32).to_be_bytes()[..], &start, &body].concat()
}

/// Guards against the loss of a request that its client has sent in full: without memory, its rest stayed unread until
/// the timeout of a message that the client has not finished.
#[test]
fn complete_request_without_memory_is_rejected() {
    let mut fixture = Fixture::new();
    let limits = BufferLimits { thrift_input_bytes: MIN_INPUT_BYTES, ..BufferLimits::default() };
    fixture.net.set_limits(limits);
    let message = invoke_with_body(1, 40_000);
    fixture.client.write_all(&[&message[..], PING].concat()).expect("written");
    let conn = fixture.conn;
    assert_eq!(fixture.read_until(Instant::ZERO, conn, MIN_INPUT_BYTES), []);
    let now = at(MESSAGE_TIMEOUT + CHECK_INTERVAL);
    let mut events = fixture.pass_time_with_events(now);
    while fixture.front.owns(conn) && !events.iter().any(|event| matches!(event, ThriftEvent::Ping { .. })) {
        events.extend(fixture.front.on_ready(now, conn, false, &mut fixture.net, &mut fixture.deadlines));
    }
    assert!(
        matches!(
            events[..],
            [
                ThriftEvent::RequestOverLimit { seqid: SequenceId(1), .. },
                ThriftEvent::Ping { seqid: SequenceId(9), .. }
            ]
        ),
        "{events:?}"
    );
    assert!(fixture.pass_time(now + MESSAGE_TIMEOUT), "the connection stays open");
}

/// Guards against memory that an unfinished message keeps from others for as long as a request is open beside it.
#[test]
fn unfinished_message_beside_open_request_gives_its_memory_back() {
    let mut fixture = Fixture::new();
    assert_eq!(fixture.send(Instant::ZERO, &invoke(1)).len(), 1);
    let message = invoke_with_body(2, 40_000);
    let (sent, rest) = message.split_at(2 * MIN_INPUT_BYTES);
    let limits = BufferLimits { thrift_input_bytes: sent.len(), ..BufferLimits::default() };
    fixture.net.set_limits(limits);
    fixture.client.write_all(sent).expect("written");
    let conn = fixture.conn;
    fixture.read_until(Instant::ZERO, conn, sent.len());
    let (mut client, other) = fixture.open_another(Instant::ZERO);
    client.write_all(&message).expect("written");
    fixture.read_until(Instant::ZERO, other, MIN_INPUT_BYTES);
    let now = at(MESSAGE_TIMEOUT_WITHOUT_MEMORY + CHECK_INTERVAL);
    assert!(fixture.pass_time(now));
    assert_eq!(fixture.net.unprocessed_bytes(conn), 0, "the memory is free");
    assert!(fixture.front.is_open(conn, SequenceId(1)), "the open request is not affected");
    fixture.client.write_all(rest).expect("written");
    let mut events = Vec::new();
    while events.is_empty() {
        events = fixture.front.on_ready(now, conn, false, &mut fixture.net, &mut fixture.deadlines);
    }
    assert!(matches!(events[..], [ThriftEvent::RequestOverLimit { seqid: SequenceId(2), .. }]), "{events:?}");
}

/// Guards against new connections with unfinished messages that keep the memory from clients which have been answered
/// before: these get it first, and a new connection does not overtake those that wait.
#[test]
fn established_clients_get_memory_first() {
    let mut fixture = Fixture::new();
    assert_eq!(fixture.send(Instant::ZERO, PING).len(), 1);
    fixture.net.set_limits(BufferLimits { thrift_input_bytes: 0, ..BufferLimits::default() });
    let message = invoke_with_body(1, 40_000);
    let (mut client, new) = fixture.open_another(Instant::ZERO);
    client.write_all(&message).expect("written");
    fixture.read_until(Instant::ZERO, new, MIN_INPUT_BYTES);
    fixture.client.write_all(&message).expect("written");
    let conn = fixture.conn;
    fixture.read_until(Instant::ZERO, conn, MIN_INPUT_BYTES);
    let limits = BufferLimits { thrift_input_bytes: 2 * MAX_FRAME_BYTES, ..BufferLimits::default() };
    fixture.net.set_limits(limits);
    let (mut client, newest) = fixture.open_another(Instant::ZERO);
    client.write_all(&message).expect("written");
    while fixture.net.unprocessed_bytes(newest) < MIN_INPUT_BYTES {
        let events =
            fixture.front.on_ready(Instant::ZERO, newest, false, &mut fixture.net, &mut fixture.deadlines);
        assert_eq!(events, [], "others wait for the memory");
    }
    assert_eq!(fixture.net.unprocessed_bytes(newest), MIN_INPUT_BYTES);
    fixture.front.resume_waiting_for_memory(&fixture.net);
    assert_eq!(fixture.front.next_readable_connection(), Some(conn));
    let events = fixture.front.on_ready(Instant::ZERO, conn, false, &mut fixture.net, &mut fixture.deadlines);
    assert!(matches!(events[..], [ThriftEvent::Request { .. }]), "{events:?}");
}

impl Fixture {
    /// Answers the open request of a connection with a body that does not fit into the buffer of a client that does not
    /// read.
    fn answer_with_long_body(&mut self, now: Instant, conn: ConnectionKey, seqid: u8) {
        let reply = ThriftReply::Answer { body: vec![7; LONG_BODY_BYTES].into(), fields: Vec::new() };
        let seqid = SequenceId(i32::from(seqid));
        self.front.answer(now, conn, seqid, reply, &mut self.net, &mut self.deadlines);
        assert_eq!(self.net.unwritten_bytes(conn), 0, "the system holds the rest");
        assert!(self.net.has_unsent_bytes(conn));
    }

    /// Reads all that was written to the first client.
    fn read_as_client(&mut self) {
        let mut left = self.net.written_bytes(self.conn) as usize;
        let mut buffer = vec![0; 1 << 16];
        while left > 0 {
            left -= self.client.read(&mut buffer).expect("the rest arrives");
        }
    }
}

/// Guards against the loss of a request whose client still reads the answers before it: the system held them, so the
/// connection counted as idle and was closed.
#[test]
fn connection_is_not_idle_while_its_client_reads_answers() {
    let mut fixture = Fixture::new();
    assert_eq!(fixture.send(Instant::ZERO, &invoke(1)).len(), 1);
    fixture.answer_with_long_body(Instant::ZERO, fixture.conn, 1);
    let read_at = at(IDLE_TIMEOUT + CHECK_INTERVAL);
    assert!(fixture.pass_time(read_at), "the client still reads");
    fixture.read_as_client();
    assert!(fixture.pass_time(read_at + IDLE_TIMEOUT - CHECK_INTERVAL));
    assert!(!fixture.pass_time(read_at + IDLE_TIMEOUT + CHECK_INTERVAL), "it is idle since it has read");
}

/// A client that never reads must not keep its connection for ever.
#[test]
fn connection_of_client_that_never_reads_is_closed() {
    let mut fixture = Fixture::new();
    assert_eq!(fixture.send(Instant::ZERO, &invoke(1)).len(), 1);
    fixture.answer_with_long_body(Instant::ZERO, fixture.conn, 1);
    assert!(!fixture.pass_time(at(4 * IDLE_TIMEOUT)));
}

/// Guards against answers that are lost since their connection is evicted while its client reads them.
#[test]
fn connection_whose_client_reads_answers_is_not_evicted() {
    let mut fixture = Fixture::new();
    let (_client, other) = fixture.open_another(Instant::ZERO);
    let now = at(CHECK_INTERVAL);
    assert_eq!(fixture.send(now, &invoke(1)).len(), 1);
    fixture.answer_with_long_body(now, fixture.conn, 1);
    assert_eq!(fixture.front.eviction_candidate(now, &fixture.net), Some(other));
    fixture.front.close(now, other, Reason::Evicted, &mut fixture.net, &mut fixture.deadlines);
    assert_eq!(fixture.front.eviction_candidate(now, &fixture.net), None);
    fixture.read_as_client();
    let now = now + CHECK_INTERVAL;
    assert!(fixture.pass_time(now));
    assert_eq!(fixture.front.eviction_candidate(now, &fixture.net), Some(fixture.conn));
}

/// Guards against answers that are lost since their connection lingers for a shorter time than its client reads them.
#[test]
fn connection_lingers_while_its_client_reads_answers() {
    let mut fixture = Fixture::new();
    assert_eq!(fixture.send(Instant::ZERO, &invoke(1)).len(), 1);
    let (conn, now) = (fixture.conn, Instant::ZERO);
    fixture.answer_with_long_body(now, conn, 1);
    fixture.front.close_gracefully(now, conn, Reason::Stopping, &mut fixture.net, &mut fixture.deadlines);
    assert!(fixture.session().is_shut_down, "a client that has read its answers sees the end at once");
    fixture.pass_time(at(LINGER_TIMEOUT + CHECK_INTERVAL));
    assert!(fixture.front.owns(conn));
    fixture.pass_time(at(4 * IDLE_TIMEOUT));
    assert!(!fixture.front.owns(conn), "a client that never reads does not keep its connection");
}

/// Guards against skipped messages that keep more memory than they gave back, in the many short fields of their start.
#[test]
fn skipped_message_keeps_no_long_fields() {
    let mut fixture = Fixture::new();
    let limits = BufferLimits { thrift_input_bytes: MIN_INPUT_BYTES, ..BufferLimits::default() };
    fixture.net.set_limits(limits);
    let field = |number: u8| [&[0, 0, 0, 3][..], &format!("{number:03}").into_bytes(), &[0; 4]].concat();
    let fields: Vec<u8> = (0..150).flat_map(field).collect();
    let head = b"\x80\x01\0\x01\0\0\0\x06invoke\0\0\0\x01\x0d\0\x01\x0b\x0b\0\0\0\x96";
    let body = [b"\x0b\0\x02\0\0\x75\x30", &[7; 30_000][..], b"\0"].concat();
    let message = [&head[..], &fields, &body].concat();
    fixture
        .client
        .write_all(&[&(message.len() as u32).to_be_bytes()[..], &message].concat())
        .expect("written");
    let conn = fixture.conn;
    fixture.read_until(Instant::ZERO, conn, MIN_INPUT_BYTES);
    let now = at(MESSAGE_TIMEOUT);
    let mut events = fixture.pass_time_with_events(now);
    while events.is_empty() {
        events = fixture.front.on_ready(now, conn, false, &mut fixture.net, &mut fixture.deadlines);
    }
    assert!(
        matches!(&events[..], [ThriftEvent::RequestOverLimit { fields, .. }] if fields.is_empty()),
        "{events:?}"
    );
}

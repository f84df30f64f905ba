//! Messages that come in pieces, and the times of a connection.

use super::codec::ThriftReply;
use super::limits::{CHECK_INTERVAL, IDLE_TIMEOUT, MAX_FRAME_BYTES, MESSAGE_TIMEOUT};
use super::*;
use crate::deadlines::Deadlines;
use crate::interface::Span;
use crate::net::{Ready, Reason, Role};
use std::io::Write;
use std::net::TcpStream;

const PING: &[u8] = b"\0\0\0\x11\x80\x01\0\x01\0\0\0\x04ping\0\0\0\x09\0";
const US: Span = Span::from_micros(1);
const HANDLE: RequestHandle = RequestHandle::from_number(77);

fn at(span: Span) -> Instant {
    Instant::ZERO + span
}

/// A call of `invoke` under this number, without fields that matter here.
fn invoke(seqid: u8) -> Vec<u8> {
    let head =
        [b"\x80\x01\0\x01\0\0\0\x06invoke\0\0\0", &[seqid][..], b"\x0d\0\x01\x0b\x0b\0\0\0\0\0"].concat();
    [&(head.len() as u32).to_be_bytes()[..], &head].concat()
}

/// The cancellation of a request.
fn abort(target: u8) -> Vec<u8> {
    let head = [b"\x80\x01\0\x04\0\0\0\x05abort\0\0\0\x63\x08\0\x01\0\0\0", &[target][..], b"\0"].concat();
    [&(head.len() as u32).to_be_bytes()[..], &head].concat()
}

struct Bench {
    front: ThriftFront,
    net: Net,
    due: Deadlines<SessionDeadline>,
    client: TcpStream,
    conn: ConnectionKey,
}

impl Bench {
    fn new() -> Self {
        let mut net = Net::new().expect("a poll");
        let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
        let client = TcpStream::connect(listener.local_addr().expect("an address")).expect("a connection");
        let conn =
            net.adopt(Instant::ZERO, listener.accept().expect("one").0, Role::Thrift, b"").expect("taken");
        let (mut front, mut due) = (ThriftFront::default(), Deadlines::default());
        front.open(Instant::ZERO, conn, &mut due);
        Bench { front, net, due, client, conn }
    }

    fn session(&self) -> &Session {
        self.front.sessions.get(self.conn).expect("open")
    }

    /// The events of these bytes, once they have come.
    fn send(&mut self, now: Instant, bytes: &[u8]) -> Vec<ThriftEvent> {
        self.client.write_all(bytes).expect("written");
        let had = |net: &mut Net, conn| net.input(conn, |input| input.len()).unwrap_or(0);
        let before = had(&mut self.net, self.conn);
        loop {
            let asks = self.front.on_ready(now, self.conn, false, &mut self.net, &mut self.due);
            if !asks.is_empty() || had(&mut self.net, self.conn) != before {
                return asks;
            }
        }
    }

    /// Lets the looks up to a time fall; whether the connection is still open.
    fn pass(&mut self, until: Instant) -> bool {
        while let Some(at) = self.due.next().filter(|at| *at <= until) {
            while let Some(what) = self.due.pop(at) {
                self.front.deadline_passed(at, what, &mut self.net, &mut self.due);
            }
        }
        self.front.sessions.get(self.conn).is_some_and(|session| session.lingering_since.is_none())
    }
}

#[test]
fn a_message_is_read_however_it_is_cut() {
    let mut bench = Bench::new();
    for message in [PING, &invoke(1)] {
        for (i, byte) in message.iter().enumerate() {
            let asks = bench.send(Instant::ZERO, &[*byte]);
            assert_eq!(asks.len(), usize::from(i + 1 == message.len()), "byte {i}");
        }
    }
}

/// A client that reads its answers slowly sends the rest of its next message when it comes to it.
#[test]
fn a_message_that_began_while_answers_were_open_has_its_whole_time_after_them() {
    for open in [true, false] {
        let mut bench = Bench::new();
        let first = if open { invoke(1) } else { PING.to_vec() };
        assert_eq!(bench.send(Instant::ZERO, &first).len(), 1);
        bench.send(Instant::ZERO, &PING[..5]);
        assert_eq!(bench.pass(at(MESSAGE_TIMEOUT + CHECK_INTERVAL)), open, "with a request open: {open}");
        if open {
            let (conn, now) = (bench.conn, at(MESSAGE_TIMEOUT + CHECK_INTERVAL));
            bench.front.answer(now, conn, SequenceId(1), ThriftReply::Failed, &mut bench.net, &mut bench.due);
            assert!(
                bench.pass(now + MESSAGE_TIMEOUT - 2 * CHECK_INTERVAL),
                "its time begins with the answer"
            );
            assert!(!bench.pass(now + MESSAGE_TIMEOUT + CHECK_INTERVAL), "and ends");
        }
    }
}

/// One request that stayed open for long kept all that came behind it unread, to the end of its time.
#[test]
fn a_pause_before_a_connection_is_handed_on_ends_whatever_is_open_there() {
    let mut bench = Bench::new();
    assert_eq!(bench.send(Instant::ZERO, &invoke(1)).len(), 1);
    let hand_on = |bench: &mut Bench, now, most, before_end| {
        let all = bench.front.connections_to_hand_over(now, most, before_end, &bench.net);
        (all.len(), bench.session().paused_since.is_some(), bench.front.waiting_turns())
    };
    assert_eq!(hand_on(&mut bench, at(10 * US), 0, false), (0, false, 0), "too much is open");
    let start = at(20 * US);
    assert_eq!(hand_on(&mut bench, start, 1, false), (0, true, 0));
    bench.client.write_all(&invoke(2)).expect("written");
    assert_eq!(bench.front.on_ready(at(30 * US), bench.conn, false, &mut bench.net, &mut bench.due), []);
    assert_eq!(
        hand_on(&mut bench, start + HANDOVER_PAUSE, 1, false),
        (0, false, 1),
        "what waits has its turn"
    );
    assert_eq!(hand_on(&mut bench, start + 2 * HANDOVER_PAUSE - US, 1, false), (0, false, 1));
    assert_eq!(bench.front.next_turn(), Some(bench.conn));
    assert_eq!(bench.send(start + HANDOVER_PAUSE, &[]).len(), 1);
    assert_eq!(hand_on(&mut bench, start + 2 * HANDOVER_PAUSE, 1, false), (0, false, 0), "two are open now");
    assert_eq!(hand_on(&mut bench, start + 2 * HANDOVER_PAUSE, 1, true), (0, true, 0), "the end is near");
    assert_eq!(hand_on(&mut bench, start + 4 * HANDOVER_PAUSE, 1, true), (0, true, 0));
    for seqid in [SequenceId(1), SequenceId(2)] {
        let reply = ThriftReply::Pong(true);
        bench.front.answer(Instant::ZERO, bench.conn, seqid, reply, &mut bench.net, &mut bench.due);
    }
    assert_eq!(hand_on(&mut bench, start + 4 * HANDOVER_PAUSE, 1, true), (1, true, 0), "nothing is open");
}

/// A cancelled request must not be tried again for as long as its cancellation waits unread.
#[test]
fn a_cancellation_is_seen_where_no_request_is_taken() {
    let mut bench = Bench::new();
    assert_eq!(bench.send(Instant::ZERO, &invoke(1)).len(), 1);
    bench.front.bind(bench.conn, SequenceId(1), HANDLE);
    bench.front.connections_to_hand_over(at(10 * US), 1, false, &bench.net);
    assert!(bench.session().paused_since.is_some());
    // A request behind it stays unread, and so does its own cancellation.
    let bytes = [invoke(2), abort(1), abort(2)].concat();
    assert_eq!(bench.send(at(20 * US), &bytes), [ThriftEvent::Cancelled(HANDLE)]);
    assert_eq!(bench.net.input(bench.conn, |input| input.len()), Some(bytes.len()));
    assert!(!bench.front.is_open(bench.conn, SequenceId(1)));
}

/// What a client asked for just before it closed is asked for nobody.
#[test]
fn a_client_that_has_closed_is_gone_with_all_that_is_unread() {
    let mut bench = Bench::new();
    assert_eq!(bench.send(Instant::ZERO, &invoke(1)).len(), 1);
    bench.front.bind(bench.conn, SequenceId(1), HANDLE);
    bench.client.write_all(&invoke(2)).expect("written");
    let asks = bench.front.on_ready(at(US), bench.conn, true, &mut bench.net, &mut bench.due);
    assert_eq!(asks, [ThriftEvent::Cancelled(HANDLE)]);
    assert!(!bench.front.owns(bench.conn));
}

/// A request that waits unread takes its client's patience all the same.
#[test]
fn a_request_that_waited_unread_says_since_when() {
    let arrived = |asks: &[ThriftEvent]| match asks {
        [ThriftEvent::Request { arrived, .. }] => *arrived,
        other => panic!("{other:?}"),
    };
    let mut bench = Bench::new();
    assert_eq!(arrived(&bench.send(at(5 * US), &invoke(1))), at(5 * US));
    bench.front.connections_to_hand_over(at(10 * US), 1, false, &bench.net);
    let message = invoke(2);
    bench.send(at(20 * US), &message[..9]);
    bench.send(at(30 * US), &message[9..]);
    bench.front.connections_to_hand_over(at(10 * US + HANDOVER_PAUSE), 1, false, &bench.net);
    assert_eq!(bench.front.next_turn(), Some(bench.conn));
    let asks =
        bench.front.on_ready(at(10 * US + HANDOVER_PAUSE), bench.conn, false, &mut bench.net, &mut bench.due);
    assert_eq!(arrived(&asks), at(20 * US), "as its first byte came");
    let later = at(20 * US + HANDOVER_PAUSE);
    assert_eq!(arrived(&bench.send(later, &invoke(3))), later, "and what comes later is new");
}

/// At a connection that was handed on, or waited to be accepted, the same.
#[test]
fn what_another_process_read_or_nobody_could_has_waited() {
    let mut bench = Bench::new();
    let waits_since = at(-70 * US);
    bench.front.set_waiting_since(bench.conn, waits_since);
    let asks = bench.send(at(30 * US), &[invoke(1), invoke(2)].concat());
    let has_waited =
        |ask: &ThriftEvent| matches!(ask, ThriftEvent::Request { arrived, .. } if *arrived == waits_since);
    assert!(asks.iter().all(has_waited), "{asks:?}");
    let now = at(40 * US);
    let asks = bench.send(now, &invoke(3));
    assert!(matches!(asks[..], [ThriftEvent::Request { arrived, .. }] if arrived == now), "{asks:?}");

    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let _client = TcpStream::connect(listener.local_addr().expect("an address")).expect("a connection");
    let stream = listener.accept().expect("one").0;
    let now = at(50 * US);
    let conn = bench.net.adopt(now, stream, Role::Thrift, &invoke(4)).expect("taken");
    bench.front.adopt(now, conn, &mut bench.net, &mut bench.due);
    let asks = bench.front.on_ready(now, conn, false, &mut bench.net, &mut bench.due);
    assert!(
        matches!(asks[..], [ThriftEvent::Request { arrived, .. }] if arrived == now - HANDOVER_PAUSE),
        "{asks:?}"
    );
}

/// Behind more unread bytes than a message has, a cancellation was not seen.
#[test]
fn a_cancellation_is_seen_behind_long_messages() {
    let mut bench = Bench::new();
    assert_eq!(bench.send(Instant::ZERO, &invoke(1)).len(), 1);
    bench.front.bind(bench.conn, SequenceId(1), HANDLE);
    bench.front.connections_to_hand_over(at(10 * US), 1, false, &bench.net);
    let mut long = (MAX_FRAME_BYTES as u32).to_be_bytes().to_vec();
    long.resize(long.len() + MAX_FRAME_BYTES, 0);
    let mut client = bench.client.try_clone().expect("a second handle");
    let bytes = [&long[..], &long, &abort(1)].concat();
    let writer = std::thread::spawn(move || client.write_all(&bytes).expect("written"));
    let mut asks = Vec::new();
    for _ in 0..1_000_000 {
        asks = bench.front.on_ready(at(20 * US), bench.conn, false, &mut bench.net, &mut bench.due);
        if !asks.is_empty() {
            break;
        }
        std::thread::yield_now();
    }
    assert_eq!(asks, [ThriftEvent::Cancelled(HANDLE)]);
    writer.join().expect("written");
}

/// Requests beside two that share a number are owed their answers; only those two can't be told apart.
#[test]
fn a_number_that_comes_twice_takes_no_other_request_with_it() {
    let mut bench = Bench::new();
    assert_eq!(bench.send(Instant::ZERO, &invoke(1)).len(), 1);
    bench.front.bind(bench.conn, SequenceId(1), HANDLE);
    bench.client.write_all(&[invoke(2), invoke(2)].concat()).expect("written");
    while bench.session().unreadable.is_none() {
        let asks = bench.front.on_ready(at(US), bench.conn, false, &mut bench.net, &mut bench.due);
        assert!(asks.iter().all(|ask| ask.is_request(bench.conn, SequenceId(2))), "{asks:?}");
    }
    assert_eq!(bench.session().unreadable, Some(Reason::DuplicateSeqid));
    assert!(
        bench.front.is_open(bench.conn, SequenceId(1)) && !bench.front.is_open(bench.conn, SequenceId(2))
    );
    bench.front.answer(
        at(2 * US),
        bench.conn,
        SequenceId(1),
        ThriftReply::Failed,
        &mut bench.net,
        &mut bench.due,
    );
    assert!(bench.session().lingering_since.is_some(), "then it ends");
}

/// What comes just before an idle connection is closed is answered.
#[test]
fn an_idle_connection_is_read_once_more_before_it_is_closed() {
    let mut bench = Bench::new();
    assert_eq!(bench.send(Instant::ZERO, PING).len(), 1);
    bench.client.write_all(&invoke(1)).expect("written");
    let mut ready = Vec::new();
    while !ready.iter().any(|one| matches!(one, Ready::Conn { read: true, .. })) {
        bench.net.poll(None, &mut ready).expect("a poll");
    }
    let asks = bench.front.deadline_passed(
        at(IDLE_TIMEOUT),
        SessionDeadline(bench.conn),
        &mut bench.net,
        &mut bench.due,
    );
    assert!(matches!(asks[..], [ThriftEvent::Request { .. }]), "{asks:?}");
    assert!(bench.front.owns(bench.conn));
}

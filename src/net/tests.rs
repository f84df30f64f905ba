//! Tests of `net` on a simulated network whose system calls fail.

use super::fabric::{host, ActorEvent, HostBehaviour};
use super::*;
use crate::interface::{Instant, Span};
use bytes::Bytes;
use rustix::io::Errno;
use std::net::SocketAddr;

const FRONT: u16 = 5;
const MS: Span = Span::from_millis(1);

fn at(span: Span) -> Instant {
    Instant::ZERO + span
}

/// A network in which process 1 listens, with its table of connections.
fn listening() -> (Fabric, Net, Listener) {
    let fabric = Fabric::new(Instant::ZERO, 1, MS..=MS);
    fabric.start_process(1);
    let mut net = Net::on(&fabric, 1);
    let listener = net.listen(host(FRONT), true, 0).expect("a listener");
    (fabric, net, listener)
}

fn client(number: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 2, 1], 40_000 + number))
}

fn pass(fabric: &Fabric, to: Instant) -> Vec<ActorEvent> {
    fabric.advance(to);
    fabric.run_due_events();
    fabric.take_actor_events()
}

/// A connection from the process to host 1, which is up.
fn connected(fabric: &Fabric, net: &mut Net) -> ConnectionKey {
    fabric.set_reach(host(1), HostBehaviour::Up);
    let key = net.connect(Instant::ZERO, host(1), Role::Upstream).expect("begun");
    pass(fabric, fabric.now() + 2 * MS);
    assert_eq!(net.connected(key), Ok(true));
    key
}

#[test]
fn connections_that_fail_before_they_are_accepted_do_not_hold_up_the_next() {
    for error in [Errno::CONNABORTED, Errno::PROTO, Errno::HOSTUNREACH, Errno::TIMEDOUT, Errno::PERM] {
        let (fabric, mut net, listener) = listening();
        (0..10).for_each(|number| fabric.dial_aborted(client(number), host(FRONT), error));
        fabric.dial(client(99), host(FRONT));
        pass(&fabric, at(MS));
        let accepted = net.accept(at(MS), &listener, Role::Thrift);
        assert!(matches!(accepted, Ok(Some(_))), "{error}: {accepted:?}");
        assert!(matches!(net.accept(at(MS), &listener, Role::Thrift), Ok(None)));
    }
}

#[test]
fn accepting_stops_after_too_many_failures_in_a_row() {
    let (fabric, mut net, listener) = listening();
    (0..500).for_each(|number| fabric.dial_aborted(client(number), host(FRONT), Errno::PROTO));
    pass(&fabric, at(MS));
    assert!(net.accept(at(MS), &listener, Role::Thrift).is_err());
}

#[test]
fn exhaustion_is_an_error_and_loses_no_waiting_connection() {
    for error in [Errno::NFILE, Errno::MFILE, Errno::NOBUFS] {
        let (fabric, mut net, listener) = listening();
        fabric.dial(client(1), host(FRONT));
        fabric.exhaust(error, at(5 * MS));
        pass(&fabric, at(MS));
        let failed = net.accept(at(MS), &listener, Role::Thrift).expect_err("exhausted");
        assert!(is_exhausted(&failed), "{failed}");
        let failed = net.connect(at(MS), host(1), Role::Upstream).expect_err("exhausted");
        assert!(is_local(&failed), "{failed}");
        pass(&fabric, at(5 * MS));
        assert!(matches!(net.accept(at(5 * MS), &listener, Role::Thrift), Ok(Some(_))));
    }
}

#[test]
fn interrupted_calls_are_repeated() {
    let (fabric, mut net, listener) = listening();
    fabric.dial(client(1), host(FRONT));
    pass(&fabric, at(MS));
    fabric.interrupt(at(100 * MS));
    let accepted = net.accept(at(MS), &listener, Role::Thrift).expect("repeated").expect("one waits");
    assert_eq!(net.ended(accepted), Ok(false));
    assert_eq!(net.ended(accepted), Ok(false));
    let key = connected(&fabric, &mut net);
    assert_eq!(net.write(key, [Bytes::from_static(b"ping")]), Ok(()));
    fabric.send(2, b"pong");
    let told = pass(&fabric, at(4 * MS));
    assert!(matches!(&told[..], [ActorEvent::Bytes { bytes, .. }] if bytes == b"ping"), "{told:?}");
    assert_eq!(net.read(key, 100), Ok(ReadProgress { more: false, end: false, bytes: 4 }));
}

/// A client's last bytes are dropped before its connection is closed, or it would be reset.
#[test]
fn an_interrupted_call_does_not_make_a_close_a_reset() {
    for calls in 0..3 {
        let (fabric, mut net, listener) = listening();
        let link = fabric.dial(client(1), host(FRONT));
        fabric.send(link, b"never read");
        pass(&fabric, at(MS));
        let key = net.accept(at(MS), &listener, Role::Thrift).expect("accepted").expect("one waits");
        fabric.interrupt(at(100 * MS));
        for _ in 0..calls {
            assert_eq!(net.ended(key), Ok(false));
        }
        fabric.send(link, b"nor this");
        pass(&fabric, at(2 * MS));
        net.close(at(2 * MS), key, Reason::Done);
        assert_eq!(pass(&fabric, at(3 * MS)), [ActorEvent::Closed { link }]);
    }
}

#[test]
fn short_reads_and_writes_lose_nothing() {
    let (fabric, mut net, _listener) = listening();
    let key = connected(&fabric, &mut net);
    fabric.shorten(3, at(100 * MS));
    let text = Bytes::from_static(b"0123456789");
    assert_eq!(net.write(key, [text.clone(), text.clone()]), Ok(()));
    fabric.send(1, &text);
    let told = pass(&fabric, at(3 * MS)).into_iter().flat_map(|signal| match signal {
        ActorEvent::Bytes { bytes, .. } => bytes,
        _ => Vec::new(),
    });
    assert_eq!(told.collect::<Vec<u8>>(), [text.clone(), text.clone()].concat());
    assert_eq!(net.read(key, 100), Ok(ReadProgress { more: false, end: false, bytes: 10 }));
    assert_eq!(net.input(key, |input| input.split().freeze()), Some(text));
}

#[test]
fn any_error_of_a_connection_counts_as_a_reset() {
    for error in [Errno::TIMEDOUT, Errno::HOSTUNREACH, Errno::NETUNREACH] {
        let (fabric, mut net, _listener) = listening();
        let key = connected(&fabric, &mut net);
        fabric.fail(1, error);
        pass(&fabric, at(3 * MS));
        assert_eq!(net.read(key, 100), Err(Reason::PeerReset), "{error}");
        assert_eq!(net.write(key, [Bytes::from_static(b"x")]), Err(Reason::PeerReset), "{error}");
        // One that never came up, by the same errors.
        fabric.fail_connects(host(1), error, false, at(100 * MS));
        let key = net.connect(at(3 * MS), host(1), Role::Upstream).expect("begun");
        pass(&fabric, at(5 * MS));
        assert_eq!(net.connected(key), Err(Reason::ConnectRefused), "{error}");
    }
}

//! Tests of `net` on a simulated network with injected errors of system calls.

use super::fabric::{host, ActorEvent, HostBehaviour};
use super::*;
use crate::interface::{Instant, Span};
use bytes::Bytes;
use rustix::io::Errno;
use std::net::SocketAddr;

const FRONT_HOST: u16 = 5;
const MS: Span = Span::from_millis(1);

fn at(span: Span) -> Instant {
    Instant::ZERO + span
}

/// Returns a network in which process 1 listens, with the table of connections and the listener of that
/// process.
fn listening_process() -> (Fabric, Net, Listener) {
    let fabric = Fabric::new(Instant::ZERO, 1, MS..=MS);
    fabric.start_process(1);
    let mut net = Net::simulated(&fabric, 1);
    let listener = net.listen(host(FRONT_HOST), true, 0).expect("listening succeeds");
    (fabric, net, listener)
}

fn client(number: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 2, 1], 40_000 + number))
}

fn run_until(fabric: &Fabric, to: Instant) -> Vec<ActorEvent> {
    fabric.advance(to);
    fabric.run_due_events();
    fabric.take_actor_events()
}

/// Connects the process to host 1, which accepts connections.
fn connected(fabric: &Fabric, net: &mut Net) -> ConnectionKey {
    fabric.set_host_behaviour(host(1), HostBehaviour::Up);
    let key = net.connect(Instant::ZERO, host(1), Role::Upstream).expect("connecting starts");
    run_until(fabric, fabric.now() + 2 * MS);
    assert_eq!(net.connected(key), Ok(true));
    key
}

#[test]
fn accept_skips_connections_that_failed_in_the_backlog() {
    for error in [Errno::CONNABORTED, Errno::PROTO, Errno::HOSTUNREACH, Errno::TIMEDOUT, Errno::PERM] {
        let (fabric, mut net, listener) = listening_process();
        (0..10).for_each(|number| fabric.connect_aborted_client(client(number), host(FRONT_HOST), error));
        fabric.connect_client(client(99), host(FRONT_HOST));
        run_until(&fabric, at(MS));
        let accepted = net.accept(at(MS), &listener, Role::Thrift);
        assert!(matches!(accepted, Ok(Some(_))), "{error}: {accepted:?}");
        assert!(matches!(net.accept(at(MS), &listener, Role::Thrift), Ok(None)));
    }
}

#[test]
fn accepting_stops_after_too_many_failures_in_a_row() {
    let (fabric, mut net, listener) = listening_process();
    (0..500).for_each(|number| fabric.connect_aborted_client(client(number), host(FRONT_HOST), Errno::PROTO));
    run_until(&fabric, at(MS));
    assert!(net.accept(at(MS), &listener, Role::Thrift).is_err());
}

#[test]
fn exhaustion_is_an_error_and_loses_no_waiting_connection() {
    for error in [Errno::NFILE, Errno::MFILE, Errno::NOBUFS] {
        let (fabric, mut net, listener) = listening_process();
        fabric.connect_client(client(1), host(FRONT_HOST));
        fabric.exhaust_descriptors(error, at(5 * MS));
        run_until(&fabric, at(MS));
        let failed = net.accept(at(MS), &listener, Role::Thrift).expect_err("descriptors are exhausted");
        assert!(is_exhausted(&failed), "{failed}");
        let failed = net.connect(at(MS), host(1), Role::Upstream).expect_err("descriptors are exhausted");
        assert!(is_local_error(&failed), "{failed}");
        run_until(&fabric, at(5 * MS));
        assert!(matches!(net.accept(at(5 * MS), &listener, Role::Thrift), Ok(Some(_))));
    }
}

#[test]
fn interrupted_calls_are_repeated() {
    let (fabric, mut net, listener) = listening_process();
    fabric.connect_client(client(1), host(FRONT_HOST));
    run_until(&fabric, at(MS));
    fabric.interrupt_calls(at(100 * MS));
    let accepted = net
        .accept(at(MS), &listener, Role::Thrift)
        .expect("accept is repeated")
        .expect("a connection is waiting");
    assert_eq!(net.has_peer_ended(accepted), Ok(false));
    assert_eq!(net.has_peer_ended(accepted), Ok(false));
    let key = connected(&fabric, &mut net);
    assert_eq!(net.write(key, [Bytes::from_static(b"ping")]), Ok(()));
    fabric.send(2, b"pong");
    let events = run_until(&fabric, at(4 * MS));
    assert!(matches!(&events[..], [ActorEvent::Bytes { bytes, .. }] if bytes == b"ping"), "{events:?}");
    assert_eq!(
        net.read(key, 100),
        Ok(ReadProgress { is_buffer_full: false, is_memory_short: false, has_peer_ended: false, bytes: 4 })
    );
}

/// Unread bytes of a client must be discarded before its connection is closed, otherwise the close resets it.
/// An interrupted read must not end the discarding early.
#[test]
fn interrupted_calls_do_not_turn_a_close_into_a_reset() {
    for calls in 0..3 {
        let (fabric, mut net, listener) = listening_process();
        let link = fabric.connect_client(client(1), host(FRONT_HOST));
        fabric.send(link, b"never read");
        run_until(&fabric, at(MS));
        let key = net
            .accept(at(MS), &listener, Role::Thrift)
            .expect("accept succeeds")
            .expect("a connection is waiting");
        fabric.interrupt_calls(at(100 * MS));
        for _ in 0..calls {
            assert_eq!(net.has_peer_ended(key), Ok(false));
        }
        fabric.send(link, b"nor this");
        run_until(&fabric, at(2 * MS));
        net.close(at(2 * MS), key, Reason::Done);
        assert_eq!(run_until(&fabric, at(3 * MS)), [ActorEvent::Closed { link }]);
    }
}

#[test]
fn short_reads_and_writes_lose_nothing() {
    let (fabric, mut net, _listener) = listening_process();
    let key = connected(&fabric, &mut net);
    fabric.limit_io_bytes(3, at(100 * MS));
    let text = Bytes::from_static(b"0123456789");
    assert_eq!(net.write(key, [text.clone(), text.clone()]), Ok(()));
    fabric.send(1, &text);
    let events = run_until(&fabric, at(3 * MS)).into_iter().flat_map(|event| match event {
        ActorEvent::Bytes { bytes, .. } => bytes,
        _ => Vec::new(),
    });
    assert_eq!(events.collect::<Vec<u8>>(), [text.clone(), text.clone()].concat());
    assert_eq!(
        net.read(key, 100),
        Ok(ReadProgress { is_buffer_full: false, is_memory_short: false, has_peer_ended: false, bytes: 10 })
    );
    assert_eq!(net.input(key, |input| input.split().freeze()), Some(text));
}

#[test]
fn socket_errors_are_resets_and_connect_errors_refusals() {
    for error in [Errno::TIMEDOUT, Errno::HOSTUNREACH, Errno::NETUNREACH] {
        let (fabric, mut net, _listener) = listening_process();
        let key = connected(&fabric, &mut net);
        fabric.reset_with_error(1, error);
        run_until(&fabric, at(3 * MS));
        assert_eq!(net.read(key, 100), Err(Reason::PeerReset), "{error}");
        assert_eq!(net.write(key, [Bytes::from_static(b"x")]), Err(Reason::PeerReset), "{error}");
        // The same error on a connection that is not established yet.
        fabric.fail_connects(host(1), error, false, at(100 * MS));
        let key = net.connect(at(3 * MS), host(1), Role::Upstream).expect("connecting starts");
        run_until(&fabric, at(5 * MS));
        assert_eq!(net.connected(key), Err(Reason::ConnectRefused), "{error}");
    }
}

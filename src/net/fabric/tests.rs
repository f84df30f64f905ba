//! Tests of `fabric`: connections, refusals and closes behave as on a socket.

use super::endpoint::WINDOW_BYTES;
use super::*;
use std::io::{ErrorKind, IoSlice};

const MS: Span = Span::from_millis(1);

/// Returns a network with one process, whose connections have a delay of 1 ms in each direction.
fn fabric() -> Fabric {
    let fabric = Fabric::new(Instant::ZERO, 1, MS..=MS);
    fabric.start_process(1);
    fabric
}

fn at(span: Span) -> Instant {
    Instant::ZERO + span
}

fn run_until(fabric: &Fabric, to: Instant) -> Vec<ActorEvent> {
    fabric.advance(to);
    fabric.run_due_events();
    fabric.take_actor_events()
}

/// Returns the ready connections of process 1: the token, and whether it is readable and writable.
fn ready_connections(fabric: &Fabric) -> Vec<(usize, bool, bool)> {
    fabric.take_ready(1).connections.into_iter().map(|conn| (conn.token, conn.read, conn.write)).collect()
}

fn read(end: &VirtualStream) -> Result<String, ErrorKind> {
    let mut bytes = [0; 64];
    let read = end.read(&mut bytes).map_err(|error| error.kind())?;
    Ok(String::from_utf8_lossy(&bytes[..read]).into_owned())
}

#[test]
fn bytes_arrive_in_order_and_silent_hosts_delay_them() {
    let (fabric, up_host) = (fabric(), host(1));
    fabric.set_host_behaviour(up_host, HostBehaviour::Up);
    let end = fabric.connect(1, up_host).expect("connecting starts");
    end.register(7);
    assert_eq!(end.write(&[IoSlice::new(b"a")]).map_err(|e| e.kind()), Err(ErrorKind::NotConnected));
    assert_eq!(run_until(&fabric, at(Span::from_micros(1999))), []);
    assert_eq!(run_until(&fabric, at(2 * MS)), [ActorEvent::Opened { link: 1, host: up_host }]);
    assert_eq!((ready_connections(&fabric), end.connected()), (vec![(7, false, true)], Ok(true)));
    end.write(&[IoSlice::new(b"a"), IoSlice::new(b"b")]).expect("the write succeeds");
    fabric.send(1, b"x");
    fabric.send(1, b"y");
    assert_eq!(
        run_until(&fabric, at(3 * MS)),
        [ActorEvent::Bytes { link: 1, bytes: b"ab".to_vec(), sent: at(2 * MS) }]
    );
    assert_eq!((ready_connections(&fabric), read(&end)), (vec![(7, true, false)], Ok("xy".into())));
    assert_eq!(read(&end), Err(ErrorKind::WouldBlock));
    fabric.set_host_behaviour(up_host, HostBehaviour::SilentUntil(at(50 * MS)));
    fabric.send(1, b"z");
    end.write(&[IoSlice::new(b"c")]).expect("the write succeeds");
    assert_eq!(
        (run_until(&fabric, at(Span::from_micros(49_999))), read(&end)),
        (vec![], Err(ErrorKind::WouldBlock))
    );
    assert_eq!(
        run_until(&fabric, at(52 * MS)),
        [ActorEvent::Bytes { link: 1, bytes: b"c".to_vec(), sent: at(3 * MS) }]
    );
    assert_eq!(read(&end), Ok("z".into()));
    fabric.close(1);
    run_until(&fabric, at(60 * MS));
    assert_eq!(read(&end), Ok(String::new()));
    drop(end);
    assert_eq!(run_until(&fabric, at(70 * MS)), [ActorEvent::Closed { link: 1 }]);
}

#[test]
fn refusals_resets_and_full_windows_behave_like_a_socket() {
    let (fabric, up_host, absent_host) = (fabric(), host(1), host(2));
    fabric.set_host_behaviour(up_host, HostBehaviour::Up);
    let (refused, end) = (
        fabric.connect(1, absent_host).expect("connecting starts"),
        fabric.connect(1, up_host).expect("connecting starts"),
    );
    refused.register(7);
    end.register(8);
    run_until(&fabric, at(2 * MS));
    assert_eq!(
        (refused.connected(), read(&refused)),
        (Err(crate::net::Reason::ConnectRefused), Err(ErrorKind::ConnectionReset))
    );
    let much = vec![0; WINDOW_BYTES + 5];
    assert_eq!(end.write(&[IoSlice::new(&much)]).ok(), Some(WINDOW_BYTES));
    assert_eq!(end.write(&[IoSlice::new(b"a")]).map_err(|e| e.kind()), Err(ErrorKind::WouldBlock));
    fabric.take_ready(1);
    run_until(&fabric, at(3 * MS));
    assert_eq!(ready_connections(&fabric), [(8, false, true)], "the connection is writable again");
    fabric.reset(2);
    run_until(&fabric, at(4 * MS));
    assert_eq!(
        (read(&end), end.connected()),
        (Err(ErrorKind::ConnectionReset), Err(crate::net::Reason::PeerReset))
    );
}

#[test]
fn handed_over_connections_outlive_the_old_process() {
    let fabric = fabric();
    fabric.start_process(2);
    let front = host(9);
    let port = fabric.listen(1, front, 0).expect("listening succeeds");
    let link = fabric.connect_client("127.0.2.1:40000".parse().expect("the address is valid"), front);
    fabric.send(link, b"ping");
    run_until(&fabric, at(MS));
    assert_eq!(fabric.take_ready(1).sources, [0]);
    let (end, _) = port.accept().expect("a connection is waiting");
    assert!(fabric
        .send_message(1, 2, 5, ProcessMessage::Connection(end.hand_over(2), b"pi".to_vec()))
        .is_ok());
    drop(end);
    drop(port);
    fabric.end_process(1);
    assert_eq!(run_until(&fabric, at(2 * MS)), [], "the client notices nothing");
    assert_eq!(fabric.take_ready(2).sources, [5]);
    let [ProcessMessage::Connection(end, unprocessed)] = &fabric.take_messages(1, 2)[..] else {
        panic!("expected one connection message")
    };
    assert_eq!((read(end), &unprocessed[..]), (Ok("ping".into()), &b"pi"[..]));
    // A connection that is being handed over to a process that ends is broken.
    let port = fabric.listen(2, front, 0).expect("listening succeeds");
    let other = fabric.connect_client("127.0.2.2:40000".parse().expect("the address is valid"), front);
    run_until(&fabric, at(3 * MS));
    let (end, _) = port.accept().expect("a connection is waiting");
    fabric.start_process(3);
    assert!(fabric.send_message(2, 3, 5, ProcessMessage::Connection(end.hand_over(3), Vec::new())).is_ok());
    fabric.end_process(3);
    assert_eq!(run_until(&fabric, at(5 * MS)), [ActorEvent::Broken { link: other }]);
    assert!(fabric.send_message(2, 3, 5, ProcessMessage::Clients(1)).is_err());
}

//! Tests of `acceptor` on a simulated network whose system calls fail.

use crate::interface::Span;
use crate::net::fabric::{host, ActorEvent, Fabric};
use crate::server::simulated_server::{client, SimulatedServer, FRONT, START};
use crate::standin::thrift_client;
use rustix::io::Errno;

const MS: Span = Span::from_millis(1);
const CLIENTS: u16 = 20;

/// Returns the events that a client's connection has received.
fn received(fabric: &Fabric, link: u64) -> Vec<ActorEvent> {
    let concerns = |signal: &ActorEvent| match signal {
        ActorEvent::Opened { link: of, .. } | ActorEvent::Bytes { link: of, .. } => *of == link,
        ActorEvent::Closed { link: of } | ActorEvent::Broken { link: of } => *of == link,
    };
    fabric.take_actor_events().into_iter().filter(concerns).collect()
}

#[test]
fn aborted_connection_does_not_delay_the_next_accept() {
    for error in [Errno::CONNABORTED, Errno::PROTO, Errno::HOSTUNREACH, Errno::TIMEDOUT] {
        let mut simulated = SimulatedServer::new();
        simulated.fabric.connect_aborted_client(client(1), host(FRONT), error);
        simulated.fabric.connect_client(client(2), host(FRONT));
        simulated.run_until(START + MS);
        assert_eq!(simulated.clients(), 1, "{error}");
    }
}

#[test]
fn descriptor_exhaustion_neither_spins_nor_loses_clients() {
    for error in [Errno::NFILE, Errno::MFILE, Errno::NOBUFS] {
        let mut simulated = SimulatedServer::new();
        // Number of turns in a second without clients.
        simulated.run_until(START + 1000 * MS);
        let idle = simulated.turns;
        simulated.fabric.exhaust_descriptors(error, START + 2000 * MS);
        for number in 0..CLIENTS {
            simulated.run_until(START + 1000 * MS + i64::from(number) * Span::from_micros(2_300));
            simulated.fabric.connect_client(client(number), host(FRONT));
        }
        simulated.run_until(START + 1999 * MS);
        assert_eq!(simulated.clients(), 0, "{error}");
        let (pauses, arrivals) = (20, usize::from(CLIENTS));
        assert!(
            simulated.turns <= 2 * idle + pauses + 2 * arrivals,
            "{error}: {} turns, idle {idle}",
            simulated.turns
        );
        simulated.run_until(START + 2060 * MS);
        assert_eq!(simulated.clients(), usize::from(CLIENTS), "{error}");
    }
}

#[test]
fn shutdown_without_descriptors_answers_waiting_clients() {
    let mut simulated = SimulatedServer::new();
    simulated.run_until(START + 100 * MS);
    simulated.fabric.exhaust_descriptors(Errno::MFILE, START + 1500 * MS);
    let link = simulated.fabric.connect_client(client(1), host(FRONT));
    simulated.fabric.send(link, &thrift_client::ping(1));
    simulated.run_until(START + 200 * MS);
    simulated.server.terminate();
    // Without the exhaustion, the listener would be closed 0.8 s after the signal.
    simulated.run_until(START + 1400 * MS);
    assert_eq!((simulated.clients(), received(&simulated.fabric, link)), (0, vec![]));
    simulated.run_until(START + 1600 * MS);
    let events = received(&simulated.fabric, link);
    assert!(matches!(&events[..], [ActorEvent::Bytes { .. }, ..]), "{events:?}");
}

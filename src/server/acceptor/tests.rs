//! Tests of `acceptor` on a simulated network whose system calls fail.

use crate::config::Config;
use crate::interface::{Instant, Span};
use crate::net::fabric::{host, ActorEvent, Fabric};
use crate::server::Server;
use crate::standin::site::{config, Shape};
use crate::standin::thrift_client;
use rustix::io::Errno;
use std::net::SocketAddr;

const FRONT: u16 = 1000;
const MS: Span = Span::from_millis(1);
const START: Instant = Instant::from_micros(1_000_000);
const CLIENTS: u16 = 20;

struct SimulatedServer {
    fabric: Fabric,
    server: Server,
    turns: usize,
}

impl SimulatedServer {
    fn new() -> Self {
        let fabric = Fabric::new(START, 1, MS..=MS);
        fabric.start_process(1);
        let shape = Shape { points: 1, proxies: 1, caches: 1, hubs: 1, parents: 0, seed: 1 };
        let mut text = config(&shape, &host(900).to_string(), |n| host(n as u16).to_string());
        text["listen"] = host(FRONT).to_string().into();
        let config = Config::parse(text.to_string().as_bytes()).expect("the configuration is valid");
        let server = Server::start_on(&fabric, 1, config).expect("the server starts");
        SimulatedServer { fabric, server, turns: 0 }
    }

    /// Runs the network and the process until a time.
    fn run_until(&mut self, until: Instant) {
        let mut ready = Vec::new();
        loop {
            let next = self.fabric.next_event_at().into_iter().chain(self.server.next_due()).min();
            let Some(next) = next.filter(|next| *next <= until) else { break };
            self.fabric.advance(next);
            self.fabric.run_due_events();
            self.server.turn(&mut ready).expect("the turn succeeds");
            self.turns += 1;
        }
        self.fabric.advance(until);
    }

    fn clients(&self) -> usize {
        self.server.clients()
    }
}

/// Returns the events that a client's connection has received.
fn received(fabric: &Fabric, link: u64) -> Vec<ActorEvent> {
    let concerns = |signal: &ActorEvent| match signal {
        ActorEvent::Opened { link: of, .. } | ActorEvent::Bytes { link: of, .. } => *of == link,
        ActorEvent::Closed { link: of } | ActorEvent::Broken { link: of } => *of == link,
    };
    fabric.take_actor_events().into_iter().filter(concerns).collect()
}

fn client(number: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 2, 1], 40_000 + number))
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

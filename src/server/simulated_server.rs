//! A server on a simulated network, for the tests of the server's modules.

use super::Server;
use crate::config::Config;
use crate::interface::{Instant, Span};
use crate::net::fabric::{host, Fabric};
use crate::standin::site::{config, Shape};
use std::net::SocketAddr;

/// The host on which the server listens.
pub(super) const FRONT: u16 = 1000;
/// Time at which the simulation starts.
pub(super) const START: Instant = Instant::from_micros(1_000_000);
const MS: Span = Span::from_millis(1);

/// A server on a simulated network, whose only process it is.
pub(super) struct SimulatedServer {
    pub fabric: Fabric,
    pub server: Server,
    /// Number of turns of the event loop so far.
    pub turns: usize,
}

impl SimulatedServer {
    /// Starts a server that listens on the host [`FRONT`].
    pub fn new() -> Self {
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
    pub fn run_until(&mut self, until: Instant) {
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

    /// Returns the number of clients' connections that the server holds.
    pub fn clients(&self) -> usize {
        self.server.clients()
    }
}

/// Returns the address of a client.
pub(super) fn client(number: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 2, 1], 40_000 + number))
}

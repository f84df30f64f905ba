//! What a configuration allows, and what of a new one takes effect at SIGHUP: `feed`, `limits` and the
//! operator's file. The rest holds until the next start.

use super::{route_classes, Server, ServerError};
use crate::config::settings::Parsed;
use crate::config::{Config, Limits};
use log::{info, warn};
use std::net::SocketAddr;

/// Descriptors besides clients' and servers' connections: listeners, poll, signals, standard streams, feed.
const OTHER_SOCKETS: usize = 24;
/// Usual clients hold up to a third. This part of the rest is for more that connect: so many may say nothing before
/// one has to go for the next.
const NEWCOMERS: usize = 4;
/// Parts of the memory limit: above the first new requests are refused, above the second no answer is kept.
const FULL: f64 = 0.25;
const NO_ROOM: f64 = 0.4;

/// What the limits leave for whom.
pub(super) struct Budget {
    /// Connections of clients, those that have not asked yet included.
    pub clients: usize,
    /// Connections to servers.
    pub servers: usize,
    /// Bytes in all above which new requests are refused.
    pub requests: usize,
    /// Bytes in all above which no answer is kept.
    pub answers: usize,
}

impl Budget {
    pub fn of(limits: &Limits) -> Self {
        let memory = limits.memory_mb as f64 * 1e6;
        let sockets = limits.sockets.saturating_sub(OTHER_SOCKETS);
        let usual = limits.sockets.div_ceil(3).min(sockets / 2 + 1);
        let clients = usual + (sockets - usual) / NEWCOMERS;
        let servers = sockets.saturating_sub(clients);
        Budget { clients, servers, requests: (memory * FULL) as usize, answers: (memory * NO_ROOM) as usize }
    }
}

/// What holds until the next start.
#[derive(Clone, PartialEq)]
pub(super) struct Started {
    name: String,
    listen: SocketAddr,
    settings: Parsed,
}

impl Started {
    pub fn of(config: &Config) -> Self {
        Started { name: config.name.clone(), listen: config.listen, settings: config.settings.clone() }
    }
}

impl Server {
    /// Reads the files again. One that can't be used changes nothing, and nothing that is open is disturbed.
    pub(super) fn reload(&mut self) {
        let done = self.files.read().map_err(ServerError::from).and_then(|(config, signed)| {
            // Routes are read by the settings that hold, so that nothing is taken over in part.
            let settings = &self.started.settings;
            let routes = signed.map(|signed| route_classes(&signed, settings).map(|routes| (routes, signed)));
            Ok((config, routes.transpose()?))
        });
        let (config, routes) = match done {
            Ok(read) => read,
            Err(error) => {
                self.reloads[1] += 1;
                return warn!("reload: {error}; the old configuration stays");
            }
        };
        self.reloads[0] += 1;
        let kept = if Started::of(&config) == self.started { "" } else { "; the rest waits for a start" };
        self.budget = Budget::of(&config.limits);
        self.upstream.set_budget(self.budget.servers, self.budget.answers);
        if let (Some(links), Some((classes, signed))) = (&mut self.links, routes) {
            links.classes = classes;
            links.front.reload(signed);
        }
        info!("reloaded: feed {}{kept}", config.feed);
        self.feed.move_to(self.now, config.feed, &mut self.net, &mut self.due);
    }
}

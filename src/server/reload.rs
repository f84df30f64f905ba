//! What a configuration allows, and what of a new one takes effect at SIGHUP: `feed`, `limits`, `settings` and the
//! operator's file. The rest holds until the next start.

use super::{route_classes, Server, ServerError};
use crate::config::settings::{Names, Parsed};
use crate::config::{Config, ConfigError, Limits};
use crate::upstream::Figures;
use log::{info, warn};
use std::collections::BTreeSet;
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

    /// What connections to servers go by.
    pub fn figures(&self, names: &Names) -> Figures {
        Figures {
            connect_timeout: names.connect_timeout,
            idle: names.conn_idle,
            streams: names.streams_per_conn,
            most: self.servers,
            bytes: self.answers,
        }
    }
}

/// The configuration that holds, as far as a new one is compared with it.
pub(super) struct Started {
    name: String,
    listen: SocketAddr,
    keys: BTreeSet<String>,
    settings: Parsed,
}

impl Started {
    pub fn of(config: &Config) -> Self {
        let (name, keys, settings) = (config.name.clone(), config.keys.clone(), config.settings.clone());
        Started { name, listen: config.listen, keys, settings }
    }
}

impl Server {
    /// Reads the files again. One that can't be used changes nothing, and nothing that is open is disturbed: a request
    /// goes on by the rules under which it came.
    pub(super) fn reload(&mut self) {
        match self.take_over() {
            Ok(()) => self.reloads[0] += 1,
            Err(error) => {
                self.reloads[1] += 1;
                warn!("reload: {error}; the old configuration stays");
            }
        }
    }

    /// All that can fail comes first, so that nothing is taken over in part.
    fn take_over(&mut self) -> Result<(), ServerError> {
        let (config, signed) = self.files.read()?;
        let unusable = |text: String| ConfigError::form(&self.files.config, text);
        if let Some(key) = self.started.keys.difference(&config.keys).next() {
            return Err(unusable(format!("{key} is missing")).into());
        }
        let Config { name, listen, limits, feed, keys, settings, .. } = config;
        let (settings, moved) = settings.following(&self.started.settings).map_err(unusable)?;
        let routes = signed.map(|signed| route_classes(&signed, &settings).map(|routes| (routes, signed)));
        let routes = routes.transpose()?;
        let waits = moved || (&name, listen) != (&self.started.name, self.started.listen);
        let (name, listen) = (self.started.name.clone(), self.started.listen);
        self.budget = Budget::of(&limits);
        self.upstream.set_figures(self.budget.figures(&settings.names));
        self.core.reconfigure(settings.settings.clone());
        self.names = settings.names.clone();
        self.started = Started { name, listen, keys, settings };
        if let (Some(links), Some((classes, signed))) = (&mut self.links, routes) {
            links.classes = classes;
            links.front.reload(signed);
        }
        info!("reloaded: feed {feed}{}", if waits { "; the rest waits for a start" } else { "" });
        self.feed.move_to(self.now, feed, &mut self.net, &mut self.due);
        Ok(())
    }
}

//! What a configuration allows, and what of a new one takes effect at SIGHUP: `feed`, `limits`, `settings` and the
//! operator's file. The rest holds until the next start.

use super::{route_classes, Server, ServerError};
use crate::config::settings::{ProgramSettings, Reconfiguration, SiteSettings};
use crate::config::{Config, ConfigError, LoadedFiles, ProcessLimits};
use crate::upstream::PoolLimits;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use tracing::{info, warn};

/// Descriptors besides clients' and servers' connections: listeners, poll, signals, standard streams, feed.
pub(super) const OTHER_SOCKETS: usize = 24;
/// Usual clients hold up to a third. This part of the rest is for more that connect: so many may say nothing before
/// one has to go for the next.
const NEWCOMERS: usize = 4;
/// Parts of the memory limit: above the first, new requests are refused where answers wait for a client that takes them
/// slowly, above the second everywhere, above the third no answer is kept. So slow readers do not fill it for others.
const FULL: f64 = 0.25;
const FULL_FOR_ALL: f64 = 0.32;
const NO_ROOM: f64 = 0.4;
/// Bytes of answers that wait for a client from which on it is slow: the longest answer.
const SLOW: usize = 240_000;

/// What the limits leave for whom.
pub(super) struct ResourceBudget {
    /// Connections of clients, those that have not asked yet included.
    pub clients: usize,
    /// Connections to servers.
    pub servers: usize,
    /// Bytes in all above which new requests of slow clients are refused, and those of all.
    requests: [usize; 2],
    /// Bytes in all above which no answer is kept.
    pub answers: usize,
}

impl ResourceBudget {
    /// What the limits leave to one of so many processes that serve as one edge proxy. Clients' connections are counted
    /// together, since nobody says which process gets them; the rest is divided.
    pub fn of(limits: &ProcessLimits, processes: usize) -> Self {
        let memory = limits.memory_mb as f64 * 1e6 / processes as f64;
        let sockets = limits.sockets.saturating_sub(OTHER_SOCKETS * processes);
        let usual = limits.sockets.div_ceil(3).min(sockets / 2 + 1);
        let clients = usual + (sockets - usual) / NEWCOMERS;
        let servers = sockets.saturating_sub(clients) / processes;
        let requests = [FULL, FULL_FOR_ALL].map(|part| (memory * part) as usize);
        ResourceBudget { clients, servers, requests, answers: (memory * NO_ROOM) as usize }
    }

    /// Whether a new request is refused, with so many bytes held in all and so many that wait for its client.
    pub fn is_full(&self, held: usize, waiting: usize) -> bool {
        held > self.requests[usize::from(waiting < SLOW)]
    }

    /// What connections to servers go by.
    pub fn pool_limits(&self, names: &ProgramSettings) -> PoolLimits {
        PoolLimits {
            connect_timeout: names.connect_timeout,
            idle_timeout: names.connection_idle_timeout,
            max_jobs_per_connection: names.max_streams_per_connection,
            max_connections: self.servers,
            max_buffered_bytes: self.answers,
        }
    }
}

/// The configuration that holds, as far as a new one is compared with it.
pub(super) struct ActiveConfig {
    name: String,
    listen: SocketAddr,
    keys: BTreeSet<String>,
    limits: ProcessLimits,
    settings: SiteSettings,
}

impl ActiveConfig {
    /// Whether refusals may tell clients when to come back.
    pub fn retry_after(&self) -> bool {
        self.settings.policy.limits.retry_after
    }

    pub fn of(config: &Config) -> Self {
        let (name, keys, settings) = (config.name.clone(), config.keys.clone(), config.settings.clone());
        ActiveConfig { name, listen: config.listen, keys, limits: config.limits, settings }
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

    /// Keeps to this process's share of the limits.
    pub(super) fn update_process_share(&mut self) {
        let (processes, place) = self.handover.processes();
        self.budget = ResourceBudget::of(&self.started.limits, processes);
        self.upstream.set_limits(self.budget.pool_limits(&self.names));
        self.upstream.trim(self.now, &mut self.net, &mut self.due);
        self.core.set_process_share(processes as u32, place as u32);
    }

    /// All that can fail comes first, so that nothing is taken over in part.
    fn take_over(&mut self) -> Result<(), ServerError> {
        let admission = self.files.admission()?;
        let federation = self.federation.check(&self.files)?;
        let LoadedFiles { config, signed } = self.files.read()?;
        if let Some(key) = self.started.keys.difference(&config.keys).next() {
            return Err(ConfigError::invalid(&self.files.config, format!("{key} is missing")).into());
        }
        let Config { name, listen, limits, feed, keys, settings, .. } = config;
        let reconfigured = settings.reconfigure(&self.started.settings);
        let Reconfiguration { settings, needs_restart } =
            reconfigured.map_err(|error| ConfigError::invalid(&self.files.config, error))?;
        let routes = signed.map(|signed| route_classes(&signed, &settings).map(|routes| (routes, signed)));
        let routes = routes.transpose()?;
        let waits = needs_restart || (&name, listen) != (&self.started.name, self.started.listen);
        let (name, listen) = (self.started.name.clone(), self.started.listen);
        self.core.reconfigure(settings.policy.clone());
        self.admitting.reconfigure(admission);
        self.federation.reload(federation);
        self.names = settings.program.clone();
        self.started = ActiveConfig { name, listen, keys, limits, settings };
        self.update_process_share();
        if let (Some(links), Some((classes, signed))) = (&mut self.links, routes) {
            links.classes = classes;
            links.front.reload(signed);
        }
        info!("reloaded: feed {feed}{}", if waits { "; the rest waits for a start" } else { "" });
        self.feed.move_to(self.now, feed, &mut self.net, &mut self.due);
        Ok(())
    }
}

#[cfg(test)]
mod tests;

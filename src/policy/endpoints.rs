//! The endpoint list: its changes, and the role of each server.

use super::{server::Server, timing::PROBE_INTERVAL, Router, WATCH_RETRY_TIMER};
use crate::interface::{Action, Endpoint, Instant, ListUpdate, ServerId, ServerState};

/// Number of caches, for metrics.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CacheCounts {
    /// Caches in the endpoint list.
    pub listed: usize,
    /// Listed caches that are draining or ejected. They get no requests except probes.
    pub out_of_service: usize,
}

impl Router {
    /// Handles an update of the endpoint list, or its failure.
    pub(super) fn on_endpoint_list(
        &mut self,
        now: Instant,
        update: ListUpdate,
        endpoints: Vec<Endpoint>,
        out: &mut Vec<Action>,
    ) {
        match update {
            ListUpdate::Cached if self.settings.limits.polls_discovery => {
                out.push(Action::WatchEndpoints(true))
            }
            ListUpdate::Failed => out.push(Action::Timer { token: WATCH_RETRY_TIMER, after: PROBE_INTERVAL }),
            _ => {}
        }
        if matches!(update, ListUpdate::Cached | ListUpdate::Full) {
            for server in self.servers.values_mut() {
                server.endpoint.state = ServerState::Removed;
            }
        }
        for endpoint in endpoints {
            self.update_endpoint(now, endpoint);
        }
        self.update_ready_servers();
        self.directory.retain_delegates(&self.caches);
    }

    /// Adds or updates one endpoint; a changed start time counts as a restart.
    fn update_endpoint(&mut self, now: Instant, endpoint: Endpoint) {
        let server = self.servers.entry(endpoint.server).or_insert_with(|| Server::new(endpoint, now));
        if server.endpoint.started_at != endpoint.started_at {
            server.on_restart();
        }
        server.endpoint = endpoint;
    }

    /// Recomputes the lists of ready caches and parents, and the origin.
    fn update_ready_servers(&mut self) {
        let is_own =
            |s: &Server| self.is_cache(s.endpoint.server) && s.endpoint.zone == self.settings.topology.zone;
        let is_origin = |s: &Server| s.endpoint.kind == self.settings.topology.origin_kind;
        let caches = self.ready_servers(is_own);
        let parents = self.ready_servers(|server| self.is_parent(server));
        let origin = self.ready_servers(is_origin).first().copied();
        self.caches = caches;
        self.parents = parents;
        self.origin = origin;
    }

    /// Returns the ready servers that match a predicate.
    fn ready_servers(&self, is_of_kind: impl Fn(&Server) -> bool) -> Vec<ServerId> {
        let is_ready = |server: &&Server| server.endpoint.state == ServerState::Ready && is_of_kind(server);
        self.servers.values().filter(is_ready).map(|server| server.endpoint.server).collect()
    }

    /// Counts the listed caches, and those of them that get no requests except probes.
    pub fn cache_counts(&self) -> CacheCounts {
        let is_listed =
            |s: &&Server| s.endpoint.state != ServerState::Removed && self.is_cache(s.endpoint.server);
        let caches: Vec<&Server> = self.servers.values().filter(is_listed).collect();
        let is_out_of_service = |s: &&&Server| s.ejected || s.endpoint.state != ServerState::Ready;
        CacheCounts { listed: caches.len(), out_of_service: caches.iter().filter(is_out_of_service).count() }
    }

    pub(super) fn is_parent(&self, server: &Server) -> bool {
        Some(server.endpoint.kind) == self.settings.topology.parent_kind
    }

    /// Whether a server is known and is a cache, neither a parent nor the origin.
    pub fn is_cache(&self, server: ServerId) -> bool {
        let kind = self.servers.get(&server).map(|server| server.endpoint.kind);
        kind.is_some()
            && kind != self.settings.topology.parent_kind
            && kind != Some(self.settings.topology.origin_kind)
    }
}

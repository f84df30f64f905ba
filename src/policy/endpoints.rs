//! The endpoint list: its changes, and what each server is used for.

use super::{server::Server, timing::PROBE_INTERVAL, Router, WATCH_AGAIN};
use crate::interface::{Action, Endpoint, Instant, ListUpdate, ServerId, ServerState};

impl Router {
    /// Takes in news of the endpoint list.
    pub(super) fn on_members(
        &mut self,
        now: Instant,
        kind: ListUpdate,
        entries: Vec<Endpoint>,
        out: &mut Vec<Action>,
    ) {
        match kind {
            ListUpdate::Cached if self.settings.limits.polls_discovery => {
                out.push(Action::WatchEndpoints(true))
            }
            ListUpdate::Failed => out.push(Action::Timer { token: WATCH_AGAIN, after: PROBE_INTERVAL }),
            _ => {}
        }
        if matches!(kind, ListUpdate::Cached | ListUpdate::Full) {
            for server in self.servers.values_mut() {
                server.member.state = ServerState::Removed;
            }
        }
        for member in entries {
            self.update_member(now, member);
        }
        self.update_tiers();
        self.directory.retain_delegates(&self.caches);
    }

    /// Takes in one entry of the list.
    fn update_member(&mut self, now: Instant, member: Endpoint) {
        let server = self.servers.entry(member.server).or_insert_with(|| Server::new(member, now));
        if server.member.started_at != member.started_at {
            server.on_restart();
        }
        server.member = member;
    }

    /// Brings the lists of ready servers by their use up to date.
    fn update_tiers(&mut self) {
        let is_own =
            |s: &Server| self.is_cache(s.member.server) && s.member.zone == self.settings.topology.zone;
        let is_origin = |s: &Server| s.member.kind == self.settings.topology.origin_kind;
        let caches = self.ready_servers(is_own);
        let parents = self.ready_servers(|server| self.is_parent(server));
        let origin = self.ready_servers(is_origin).first().copied();
        self.caches = caches;
        self.parents = parents;
        self.origin = origin;
    }

    /// The ready servers that are of some kind.
    fn ready_servers(&self, is_of_kind: impl Fn(&Server) -> bool) -> Vec<ServerId> {
        let is_ready = |server: &&Server| server.member.state == ServerState::Ready && is_of_kind(server);
        self.servers.values().filter(is_ready).map(|server| server.member.server).collect()
    }

    /// The caches of the list, and how many of them get nothing now, or probes only.
    pub fn targets(&self) -> (usize, usize) {
        let is_listed =
            |s: &&Server| s.member.state != ServerState::Removed && self.is_cache(s.member.server);
        let caches: Vec<&Server> = self.servers.values().filter(is_listed).collect();
        let is_out = |s: &&&Server| s.ejected || s.member.state != ServerState::Ready;
        (caches.len(), caches.iter().filter(is_out).count())
    }

    /// Whether a server is a parent.
    pub(super) fn is_parent(&self, server: &Server) -> bool {
        Some(server.member.kind) == self.settings.topology.parent_kind
    }

    /// Whether a server is a cache: no parent, and not the origin.
    pub fn is_cache(&self, server: ServerId) -> bool {
        let kind = self.servers.get(&server).map(|server| server.member.kind);
        kind.is_some()
            && kind != self.settings.topology.parent_kind
            && kind != Some(self.settings.topology.origin_kind)
    }
}

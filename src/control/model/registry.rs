//! The servers of the endpoint list that the control feed sends.

use crate::config::events::{self, Health};
use crate::config::settings::ProgramSettings;
use crate::control::clock::Moment;
use crate::interface::{Endpoint, Instant, ListUpdate, ServerId, ServerState, UnixTime};
use crate::server_names::ServerNames;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// A server of the endpoint list.
pub(super) struct Server {
    /// The entry for the decision module, with the start time on the monotonic clock.
    pub(super) member: Endpoint,
    /// The name in the endpoint list.
    pub(super) name: String,
    /// The address; `None` if the list has none for this server.
    pub(super) addr: Option<SocketAddr>,
    /// The start time as a Unix time, as given in the list.
    started_unix: Option<UnixTime>,
}

impl Server {
    pub(super) fn is_ready(&self) -> bool {
        self.member.state == ServerState::Ready
    }

    /// Whether requests can be sent to the server: it is ready and has an address.
    pub(super) fn is_usable(&self) -> bool {
        self.is_ready() && self.addr.is_some()
    }
}

/// A change of the endpoint list.
pub(super) struct ListChange {
    pub(super) kind: ListUpdate,
    /// The listed entries, for the decision module.
    pub(super) entries: Vec<Endpoint>,
    /// Whether any server that was ready no longer is.
    pub(super) lost_ready: bool,
}

/// All servers of the endpoint list.
#[derive(Default)]
pub(super) struct ServerRegistry {
    server_names: ServerNames,
    servers: BTreeMap<ServerId, Server>,
}

impl ServerRegistry {
    /// Applies a change: a complete list, or only the changed entries.
    pub(super) fn apply(
        &mut self,
        moment: Moment,
        change: &events::ListChange,
        names: &ProgramSettings,
    ) -> ListChange {
        let ready_before = self.ready();
        let servers: Vec<Server> =
            change.hosts.iter().map(|host| self.server_from_entry(moment, host, names)).collect();
        let entries: Vec<Endpoint> = servers.iter().map(|server| server.member).collect();
        if change.whole {
            self.servers.clear();
        }
        for (host, server) in change.hosts.iter().zip(servers) {
            let id = server.member.server;
            if host.health == Health::Removed {
                self.servers.remove(&id);
            } else {
                self.servers.insert(id, server);
            }
        }
        for entry in entries.iter().filter(|entry| entry.state == ServerState::Removed) {
            self.server_names.remove(entry.server);
        }
        let lost_ready = !ready_before.is_subset(&self.ready());
        let kind = if change.whole { ListUpdate::Full } else { ListUpdate::Delta };
        ListChange { kind, entries, lost_ready }
    }

    /// Creates a server from an entry of the list.
    fn server_from_entry(
        &mut self,
        moment: Moment,
        host: &events::FeedServer,
        names: &ProgramSettings,
    ) -> Server {
        let mut member = self.server_names.endpoint(host, names);
        let started_unix = host.started_at();
        member.started_at =
            started_unix.map(|started_unix| self.start_time(moment, member.server, started_unix));
        Server { member, name: host.host.clone(), addr: host.dial, started_unix }
    }

    /// Returns a server's start time on the monotonic clock. An unchanged start time keeps its first conversion, since
    /// the decision module takes another start time as a restart of the server.
    fn start_time(&self, moment: Moment, server: ServerId, started_unix: UnixTime) -> Instant {
        let known = self.servers.get(&server).filter(|known| known.started_unix == Some(started_unix));
        let known_start = known.and_then(|known| known.member.started_at);
        known_start.unwrap_or_else(|| moment.monotonic_of(started_unix))
    }

    fn ready(&self) -> BTreeSet<ServerId> {
        let ready = self.servers.iter().filter(|(_, server)| server.is_ready());
        ready.map(|(id, _)| *id).collect()
    }

    /// Whether any server was started after a monotonic time.
    pub(super) fn any_started_after(&self, time: Instant) -> bool {
        let mut starts = self.servers.values().filter_map(|server| server.member.started_at);
        starts.any(|start| start > time)
    }

    pub(super) fn get(&self, server: ServerId) -> Option<&Server> {
        self.servers.get(&server)
    }

    /// Returns the server; `None` if it is unknown or requests cannot be sent to it.
    pub(super) fn usable(&self, server: ServerId) -> Option<&Server> {
        self.get(server).filter(|known| known.is_usable())
    }

    /// Iterates over all servers to which requests can be sent, ordered by ID.
    pub(super) fn all_usable(&self) -> impl Iterator<Item = (ServerId, &Server)> {
        let usable = self.servers.iter().filter(|(_, server)| server.is_usable());
        usable.map(|(id, server)| (*id, server))
    }
}

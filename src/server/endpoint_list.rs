//! Watch events of the control feed: changes of the endpoint list, and purges.

use super::unix_time::{Reception, UnixTimeConverter};
use super::Server;
use crate::config::events::{FeedBatch, FeedEvent, FeedServer};
use crate::interface::{Endpoint, Instant, ListUpdate, ObjectId, Purge, ServerId, ServerState, UnixTime};
use crate::server_names::ServerNames;
use crate::GroupId;
use tracing::{info, warn};

/// The server's knowledge of the endpoints, besides that of the core.
pub(super) struct EndpointRegistry {
    /// Maps the names of servers to their ids.
    pub names: ServerNames,
    /// Converts the feed's Unix times to instants.
    pub unix_time: UnixTimeConverter,
    /// Whether a full endpoint list has arrived.
    pub has_full_list: bool,
}

impl EndpointRegistry {
    /// Returns the registry without endpoints, at the given readings of the monotonic and the wall clock.
    pub fn new(now: Instant, unix: UnixTime) -> Self {
        EndpointRegistry {
            names: ServerNames::default(),
            unix_time: UnixTimeConverter::new(now, unix),
            has_full_list: false,
        }
    }

    /// Removes a server that is no longer listed.
    fn remove(&mut self, server: ServerId) {
        self.names.remove(server);
        self.unix_time.remove(server);
    }
}

impl Server {
    /// Applies the events of a batch from the control feed, in order.
    pub(super) fn on_feed_batch(&mut self, batch: FeedBatch) {
        // Events that were known at the start, or that came before or with the first full list, may be of any
        // age.
        let is_first = self.feed.polls().answered == 0 || !self.endpoints.has_full_list;
        let reception = Reception { now: self.now, unix: self.net.unix_time(), is_first };
        for purge in batch.events.iter().filter_map(|event| event.purge.as_ref()) {
            self.endpoints.unix_time.observe_stamp(self.now, purge.made_at());
        }
        for FeedEvent { n, members, purge } in batch.events {
            if let Some(change) = members {
                self.endpoints.has_full_list |= change.whole;
                let update = if change.whole { ListUpdate::Full } else { ListUpdate::Delta };
                self.update_endpoints(n, update, &change.hosts, reception);
            }
            if let Some(purge) = purge {
                let object = purge.key.as_deref().map(|key| u64::from_str_radix(key, 16));
                let target = match (object, purge.group) {
                    (Some(Ok(object)), _) => Purge::Object(ObjectId(object)),
                    (None, Some(group)) => Purge::Group(GroupId(group)),
                    _ => {
                        warn!(
                            "event {n}: purge ignored: its object key is not hexadecimal, or it names neither \
                             object nor group"
                        );
                        continue;
                    }
                };
                let made_at = self.endpoints.unix_time.convert_purge_time(reception, purge.made_at());
                self.core.purge(self.now, target, made_at, &mut self.deadlines);
            }
        }
    }

    fn update_endpoints(
        &mut self,
        event: u64,
        update: ListUpdate,
        servers: &[FeedServer],
        reception: Reception,
    ) {
        let mut endpoints = Vec::with_capacity(servers.len());
        for server in servers {
            endpoints.push(self.update_endpoint(server, reception));
            info!("event {event}: {} is {:?}", server.host, server.health);
        }
        let removed = endpoints.iter().filter(|endpoint| endpoint.state == ServerState::Removed);
        let removed: Vec<ServerId> = removed.map(|endpoint| endpoint.server).collect();
        self.core.update_endpoints(self.now, update, endpoints, &mut self.deadlines);
        removed.into_iter().for_each(|server| self.endpoints.remove(server));
    }

    /// Updates the upstream side for one entry of the list: sets or removes the address to connect to.
    /// Returns the entry as an endpoint for the core.
    fn update_endpoint(&mut self, server: &FeedServer, reception: Reception) -> Endpoint {
        let mut endpoint = self.endpoints.names.endpoint(server, &self.config.settings.program);
        let id = endpoint.server;
        let started_at = server.started_at();
        endpoint.started_at =
            started_at.map(|unix| self.endpoints.unix_time.convert_start_time(reception, id, unix));
        match server.dial.filter(|_| endpoint.state != ServerState::Removed) {
            Some(addr) => {
                let started_at = endpoint.started_at;
                self.upstream.set_server(self.now, id, addr, started_at, &mut self.net, &mut self.deadlines);
            }
            None => self.upstream.remove_server(self.now, id, &mut self.net, &mut self.deadlines),
        }
        endpoint
    }
}

//! Passes the network's events to the clients, the hosts and the feed.

use super::{numbered_address, ClientId, World, FEED};
use crate::net::fabric::ActorEvent;
use crate::standin::ids::ConnectionId;

impl World<'_> {
    /// Passes on all events that have arrived.
    pub(super) fn deliver(&mut self) {
        for event in self.fabric.take_actor_events() {
            match self.client_of(connection_of(&event)) {
                Some(client) => self.deliver_to_client(client, event),
                None => self.deliver_to_server(event),
            }
        }
    }

    fn deliver_to_client(&mut self, client: ClientId, event: ActorEvent) {
        match event {
            ActorEvent::Bytes { bytes, .. } => self.client_received(client, &bytes),
            ActorEvent::Closed { link } => {
                self.fabric.close(link);
                self.client_disconnected(client, ConnectionId(link));
            }
            ActorEvent::Broken { link } => self.client_disconnected(client, ConnectionId(link)),
            ActorEvent::Opened { .. } => {}
        }
    }

    /// Passes an event to the feed or a host.
    fn deliver_to_server(&mut self, event: ActorEvent) {
        let connection = connection_of(&event);
        match event {
            ActorEvent::Opened { host, .. } if host == numbered_address(FEED) => {
                self.feed.connected(connection)
            }
            ActorEvent::Opened { host, .. } => {
                if let Some(host) = self.host_ids.get(&host).copied() {
                    self.host_connected(host, connection);
                }
            }
            ActorEvent::Bytes { bytes, .. } if self.feed.is_connected(connection) => {
                self.feed_received(connection, &bytes);
            }
            ActorEvent::Bytes { bytes, sent, .. } => {
                if let Some(host) = self.host_of(connection) {
                    self.host_received(host, connection, &bytes, sent);
                }
            }
            ActorEvent::Closed { .. } | ActorEvent::Broken { .. } => {
                self.feed.disconnected(connection);
                self.host_disconnected(connection);
            }
        }
    }
}

fn connection_of(event: &ActorEvent) -> ConnectionId {
    let (ActorEvent::Opened { link, .. }
    | ActorEvent::Bytes { link, .. }
    | ActorEvent::Closed { link }
    | ActorEvent::Broken { link }) = event;
    ConnectionId(*link)
}

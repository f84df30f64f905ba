//! What comes on the network, told to clients, hosts and the feed.

use super::*;

impl World<'_> {
    /// Tells the actors what came on the network.
    pub(super) fn deliver(&mut self) {
        for signal in self.fabric.take_actor_events() {
            let link = match &signal {
                ActorEvent::Opened { link, .. } | ActorEvent::Bytes { link, .. } => *link,
                ActorEvent::Closed { link } | ActorEvent::Broken { link } => *link,
            };
            if let Some(client) = self.clients.iter().position(|client| client.link == Some(link)) {
                match signal {
                    ActorEvent::Bytes { bytes, .. } => self.client_got(client, &bytes),
                    ActorEvent::Closed { .. } => {
                        self.fabric.close(link);
                        self.client_lost(client, link);
                    }
                    ActorEvent::Broken { .. } => self.client_lost(client, link),
                    ActorEvent::Opened { .. } => {}
                }
                continue;
            }
            match signal {
                ActorEvent::Opened { host, .. } if host == address(FEED) => {
                    self.feed.links.insert(link, Vec::new());
                }
                ActorEvent::Opened { host, .. } => {
                    if let Some(number) = self.numbers.get(&host) {
                        self.fleet.hosts[*number].links.insert(link, (Vec::new(), self.now));
                    }
                }
                ActorEvent::Bytes { bytes, sent, .. } => {
                    if self.feed.links.contains_key(&link) {
                        self.feed_got(link, &bytes);
                    } else if let Some(host) =
                        self.fleet.hosts.iter().position(|host| host.links.contains_key(&link))
                    {
                        self.host_got(host, link, &bytes, sent);
                    }
                }
                ActorEvent::Closed { .. } | ActorEvent::Broken { .. } => {
                    self.feed.links.remove(&link);
                    self.feed.polls.remove(&link);
                    for host in &mut self.fleet.hosts {
                        if host.links.remove(&link).is_some() {
                            host.open.retain(|(on, _), _| *on != link);
                        }
                    }
                }
            }
        }
    }
}

/// Whether a host's process is there and not cut off.
pub(super) fn is_there(fabric: &Fabric, now: Instant, fleet: &Fleet, number: usize) -> bool {
    !fleet.hosts[number].dead && fabric.silent_until(address(number as u16)) <= now
}

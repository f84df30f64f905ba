//! News of the control feed: the list of servers, and purges. Unix times in it become instants of the monotonic clock
//! here, by [`super::instants::UnixTimeConverter`].

use super::instants::Reception;
use super::Server;
use crate::config::events::{FeedBatch, FeedEvent};
use crate::interface::{ListUpdate, ObjectId, Purge, ServerId, ServerState};
use crate::GroupId;
use tracing::{info, warn};

impl Server {
    /// Takes in events of the control feed, in their order.
    pub(super) fn on_feed_batch(&mut self, batch: FeedBatch) {
        // What was known at the start, or else the first list that is told.
        let first = self.feed.polls().answered == 0 || !self.listed;
        let heard = Reception { now: self.now, unix: self.net.unix_time(), first };
        let purges = batch.events.iter().filter_map(|event| event.purge.as_ref());
        purges.for_each(|purge| self.instants.witness(self.now, purge.made_at()));
        for FeedEvent { n, members, purge } in batch.events {
            if let Some(change) = members {
                self.listed |= change.whole;
                let mut entries: Vec<_> = Vec::with_capacity(change.hosts.len());
                for host in &change.hosts {
                    let mut member = self.members.endpoint(host, &self.names);
                    let server = member.server;
                    let started_at = host.started_at();
                    member.started_at = started_at.map(|unix| self.instants.start(heard, server, unix));
                    match host.dial.filter(|_| member.state != ServerState::Removed) {
                        Some(addr) => {
                            let since = member.started_at;
                            self.upstream.set_server(
                                self.now,
                                server,
                                addr,
                                since,
                                &mut self.net,
                                &mut self.due,
                            );
                        }
                        None => self.upstream.remove_server(self.now, server, &mut self.net, &mut self.due),
                    }
                    info!("event {n}: {} is {:?}", host.host, host.health);
                    entries.push(member);
                }
                let kind = if change.whole { ListUpdate::Full } else { ListUpdate::Delta };
                let gone: Vec<ServerId> =
                    entries.iter().filter(|m| m.state == ServerState::Removed).map(|m| m.server).collect();
                self.core.update_endpoints(self.now, kind, entries, &mut self.due);
                for server in gone {
                    self.members.forget(server);
                    self.instants.forget(server);
                }
            }
            if let Some(purge) = purge {
                let object = purge.key.as_deref().map(|key| u64::from_str_radix(key, 16));
                let what = match (object, purge.group) {
                    (Some(Ok(object)), _) => Purge::Object(ObjectId(object)),
                    (None, Some(group)) => Purge::Group(GroupId(group)),
                    _ => {
                        warn!("event {n} purges nothing that can be read");
                        continue;
                    }
                };
                let at = self.instants.purge(heard, purge.made_at());
                self.core.purge(self.now, what, at, &mut self.due);
            }
        }
    }
}

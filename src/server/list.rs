//! News of the control feed: the list of servers, and purges.

use super::Server;
use crate::config::events::{Batch, Numbered};
use crate::interface::{ListKind, Micros, ObjectId, Purge, ServerId, ServerState};
use crate::GroupId;
use tracing::{info, warn};

impl Server {
    /// Takes in events of the control feed, in their order.
    pub(super) fn news(&mut self, batch: Batch) {
        for Numbered { n, members, purge } in batch.events {
            if let Some(change) = members {
                self.listed |= change.whole;
                let mut entries: Vec<_> = Vec::with_capacity(change.hosts.len());
                for host in &change.hosts {
                    let member = self.members.member(host, &self.names);
                    let id = member.server.0;
                    match host.dial.filter(|_| member.state != ServerState::Gone) {
                        Some(addr) => {
                            let (now, since) = (self.now, member.up_since);
                            self.upstream.set_host(now, id, addr, since, &mut self.net, &mut self.due);
                        }
                        None => self.upstream.remove_host(self.now, id, &mut self.net, &mut self.due),
                    }
                    info!("event {n}: {} is {:?}", host.host, host.health);
                    entries.push(member);
                }
                let kind = if change.whole { ListKind::Full } else { ListKind::Delta };
                let gone: Vec<ServerId> =
                    entries.iter().filter(|m| m.state == ServerState::Gone).map(|m| m.server).collect();
                self.core.members(self.now, kind, entries, &mut self.due);
                gone.into_iter().for_each(|server| self.members.forget(server));
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
                self.core.purge(self.now, what, (purge.at * 1000.0) as Micros, &mut self.due);
            }
        }
    }
}

//! Checks clients' logs against the control feed's events. Does no I/O and keeps no state.

use super::log::{ClientEvent, FeedChange, FeedEvent, LogEntry, View};
use crate::control::resource::ResourceType;
use crate::control::version::{Epoch, Sequence, Version};
use crate::interface::{Instant, Span};
use std::collections::{BTreeMap, BTreeSet};

/// A rule that a client's log breaks, with the case in which it does.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Breach {
    /// The client had a server, or received it again, after the deadline that follows its drain or removal.
    StaleServer {
        /// Name of the client.
        client: String,
        /// Name of the server.
        server: String,
        /// Time from the feed's event to the first late view with the server. If there was none: to the view
        /// that replaced the stale one, or to the deadline if none did.
        after: Span,
    },
    /// The client did not receive a purge within the deadline.
    MissedPurge {
        /// Name of the client.
        client: String,
        /// Object or group that was purged.
        what: String,
    },
    /// The client received a version after a newer one of the same run of the control service.
    OlderVersion {
        /// Name of the client.
        client: String,
        /// Resource type of both versions.
        resource_type: ResourceType,
        /// The newer version, which was received first.
        newer: String,
        /// The older version, which was received later.
        older: String,
    },
    /// The client received a version that is not in the control service's format.
    MalformedVersion {
        /// Name of the client.
        client: String,
        /// The version as received.
        version: String,
    },
    /// The client received a version that it had rejected before.
    ResentVersion {
        /// Name of the client.
        client: String,
        /// The rejected version.
        version: String,
    },
}

/// The period in which a server must not be used, by the feed's events.
struct UnusablePeriod<'a> {
    server: &'a str,
    unusable_at: Instant,
    /// Time until which clients may still have the server.
    deadline: Instant,
    /// When the server may be used again; [`Instant::MAX`] if it does not return.
    usable_at: Instant,
}

/// The log of one client, ordered by time.
struct ClientLog<'a> {
    client: &'a str,
    entries: Vec<&'a LogEntry>,
}

/// Returns the delays that the drain deadline bounds: for each event that makes a server unusable and each
/// client that had the server, the time from the event until the client accepted endpoints without it.
pub fn drain_delays(log: &[LogEntry], events: &[FeedEvent]) -> Vec<Span> {
    let clients = by_client(log);
    let mut delays = Vec::new();
    for event in events {
        let FeedChange::ServerUnusable(server) = &event.change else { continue };
        delays.extend(clients.iter().filter_map(|client| client.drain_delay(server, event.at)));
    }
    delays
}

/// Checks logs against the feed's events and returns the breaches, sorted. `bound` is how long after an event
/// a client may still have the old view.
pub fn find_breaches(log: &[LogEntry], events: &[FeedEvent], bound: Span) -> Vec<Breach> {
    let mut breaches = BTreeSet::new();
    for client in by_client(log) {
        client.check_versions(&mut breaches);
        for event in events {
            let deadline = event.at + bound;
            let breach = match &event.change {
                FeedChange::ServerUnusable(server) => {
                    let usable_at = usable_at(events, server, event.at);
                    let period = UnusablePeriod { server, unusable_at: event.at, deadline, usable_at };
                    client.check_unusable_server(&period)
                }
                FeedChange::Purged { what, at_ms } => client.check_purge(what, *at_ms, event.at, deadline),
                FeedChange::ServerUsable(_) => None,
            };
            breaches.extend(breach);
        }
    }
    breaches.into_iter().collect()
}

/// Returns when a server that became unusable at `unusable_at` may be used again, [`Instant::MAX`] for never.
fn usable_at(events: &[FeedEvent], server: &str, unusable_at: Instant) -> Instant {
    let later_events = events.iter().filter(|event| event.at > unusable_at);
    let later_events = later_events
        .filter(|event| matches!(&event.change, FeedChange::ServerUsable(returned) if returned == server));
    later_events.map(|event| event.at).min().unwrap_or(Instant::MAX)
}

fn by_client(log: &[LogEntry]) -> Vec<ClientLog<'_>> {
    let mut clients: BTreeMap<&str, Vec<&LogEntry>> = BTreeMap::new();
    for entry in log {
        clients.entry(&entry.client).or_default().push(entry);
    }
    clients.values_mut().for_each(|entries| entries.sort_by_key(|entry| entry.at));
    clients.into_iter().map(|(client, entries)| ClientLog { client, entries }).collect()
}

impl<'a> ClientLog<'a> {
    /// Returns the views of a type that the client accepted, each with the time at which it did.
    fn accepted(&self, resource_type: ResourceType) -> impl Iterator<Item = (Instant, &'a View)> + '_ {
        self.entries.iter().filter_map(move |entry| match &entry.event {
            ClientEvent::Received(view) if view.resource_type == resource_type && view.accepted => {
                Some((entry.at, view))
            }
            _ => None,
        })
    }

    /// Returns the view of a type that is in force at a time: the last one that was accepted until then.
    fn view_in_force(&self, resource_type: ResourceType, at: Instant) -> Option<&'a View> {
        let earlier = self.accepted(resource_type).take_while(|(accepted_at, _)| *accepted_at <= at);
        earlier.last().map(|(_, view)| view)
    }

    /// Whether the client was connected from `from` to `to` without interruption.
    fn was_connected(&self, from: Instant, to: Instant) -> bool {
        let mut connected = false;
        for entry in &self.entries {
            match entry.event {
                ClientEvent::Connected if entry.at <= from => connected = true,
                ClientEvent::Ended if entry.at <= from => connected = false,
                ClientEvent::Ended if entry.at <= to => return false,
                _ => {}
            }
        }
        connected
    }

    /// Returns the time from when a server became unusable until the client accepted endpoints without it;
    /// `None` if the client did not have the server, or never accepted endpoints without it.
    fn drain_delay(&self, server: &str, unusable_at: Instant) -> Option<Span> {
        let before = self.accepted(ResourceType::Endpoints).take_while(|(at, _)| *at < unusable_at).last();
        before.filter(|(_, view)| view.servers.contains(server))?;
        let mut after = self.accepted(ResourceType::Endpoints).filter(|(at, _)| *at >= unusable_at);
        let (at, _) = after.find(|(_, view)| !view.servers.contains(server))?;
        Some(at - unusable_at)
    }

    fn check_unusable_server(&self, period: &UnusablePeriod<'_>) -> Option<Breach> {
        if period.deadline >= period.usable_at {
            return None;
        }
        let types = [ResourceType::Endpoints, ResourceType::Routes];
        let after = types.into_iter().find_map(|resource_type| self.stale_for(resource_type, period))?;
        let client = self.client.to_owned();
        Some(Breach::StaleServer { client, server: period.server.to_owned(), after })
    }

    /// Returns how long after a server became unusable the client still had it, or received it again, in the
    /// time from the deadline until the server may be used again. `None` if neither was the case. A client
    /// that was not connected up to the deadline is not blamed for a view that it still had, only for one
    /// that it received later.
    fn stale_for(&self, resource_type: ResourceType, period: &UnusablePeriod<'_>) -> Option<Span> {
        let forbidden = period.deadline..period.usable_at;
        let lists_server = |view: &View| view.servers.contains(period.server);
        let mut views = self.accepted(resource_type);
        if let Some((at, _)) = views.find(|(at, view)| forbidden.contains(at) && lists_server(view)) {
            return Some(at - period.unusable_at);
        }
        let is_in_force = self.view_in_force(resource_type, period.deadline).is_some_and(lists_server);
        if !is_in_force || !self.was_connected(period.unusable_at, period.deadline) {
            return None;
        }
        let replaced = self.accepted(resource_type).find(|(at, _)| *at > period.deadline);
        let until = replaced.map_or(period.deadline, |(at, _)| at);
        Some(until - period.unusable_at)
    }

    fn check_purge(&self, what: &str, at_ms: i64, stated_at: Instant, deadline: Instant) -> Option<Breach> {
        let routes = self.view_in_force(ResourceType::Routes, deadline)?;
        let is_known = routes.newer_than_ms.get(what).is_some_and(|newer_than| *newer_than > at_ms);
        if is_known || !self.was_connected(stated_at, deadline) {
            return None;
        }
        Some(Breach::MissedPurge { client: self.client.to_owned(), what: what.to_owned() })
    }

    /// Checks that the versions of one run never go back, and that a rejected version is not received again.
    fn check_versions(&self, breaches: &mut BTreeSet<Breach>) {
        let mut newest: BTreeMap<(ResourceType, Epoch), Version> = BTreeMap::new();
        let mut rejected: BTreeSet<(ResourceType, Epoch, Sequence)> = BTreeSet::new();
        for entry in &self.entries {
            let ClientEvent::Received(view) = &entry.event else { continue };
            let Ok(version) = view.version.parse::<Version>() else {
                let client = self.client.to_owned();
                breaches.insert(Breach::MalformedVersion { client, version: view.version.clone() });
                continue;
            };
            let newest_known = newest.entry((view.resource_type, version.epoch)).or_insert(version);
            if version.sequence < newest_known.sequence {
                breaches.insert(Breach::OlderVersion {
                    client: self.client.to_owned(),
                    resource_type: view.resource_type,
                    newer: newest_known.to_string(),
                    older: view.version.clone(),
                });
            } else {
                *newest_known = version;
            }
            let key = (view.resource_type, version.epoch, version.sequence);
            if rejected.contains(&key) {
                let client = self.client.to_owned();
                breaches.insert(Breach::ResentVersion { client, version: view.version.clone() });
            }
            if !view.accepted {
                rejected.insert(key);
            }
        }
    }
}

//! Logs of the views that xDS clients received, and a checker that holds them against what the control feed told:
//! the deadlines of drains and purges, and that no client ever goes back. Pure: logs in, breaches out.

use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// A line of a client's log.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Entry {
    /// The client's name; one that reconnects keeps it.
    pub client: String,
    /// When, Unix us.
    pub at: i64,
    /// What happened.
    pub what: What,
}

/// What happened to a client.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum What {
    /// Its stream came up.
    Connected,
    /// Its stream ended.
    Ended,
    /// It received a view of a kind.
    View(View),
}

/// A view as a client received it, and whether it took it.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct View {
    /// `clusters`, `endpoints` or `routes`.
    pub kind: String,
    /// The version that came with it.
    pub version: String,
    /// The servers that the client would send to by now, all resources of the kind together.
    pub servers: BTreeSet<String>,
    /// Purges that it was told: the object or group, and the Unix millisecond that copies must be newer than.
    pub newer: BTreeMap<String, i64>,
    /// Whether the client took it (ACK) or rejected it (NACK).
    pub taken: bool,
}

/// What the control feed told, and when.
#[derive(Clone, Debug, PartialEq)]
pub struct Told {
    /// When, Unix us.
    pub at: i64,
    /// What.
    pub news: News,
}

/// What was told.
#[derive(Clone, Debug, PartialEq)]
pub enum News {
    /// A server may no longer be used: it drains or is gone.
    Leaves(String),
    /// A server may be used again.
    Comes(String),
    /// A purge: the object or group as the routes name it, and its Unix millisecond.
    Purge(String, i64),
}

/// A rule that a client's log breaks.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Breach {
    /// It still had a server that had left, later than the bound allows.
    Kept {
        /// The client.
        client: String,
        /// The server.
        server: String,
        /// How long after the telling, us.
        after: i64,
    },
    /// It had not been told of a purge within the bound.
    NotPurged {
        /// The client.
        client: String,
        /// The object or group.
        what: String,
    },
    /// A version came after a newer one of the same run.
    Older {
        /// The client.
        client: String,
        /// The kind.
        kind: String,
        /// The newer one, then the older one.
        versions: [String; 2],
    },
    /// A version came again that the client had rejected.
    Resent {
        /// The client.
        client: String,
        /// The version.
        version: String,
    },
}

/// From the telling to the last view that had a server, for each client that was connected: the time until it had
/// a view without it, us; the measurement behind the bound.
pub fn delays(log: &[Entry], told: &[Told]) -> Vec<i64> {
    let clients = by_client(log);
    let mut delays = Vec::new();
    for Told { at, news } in told {
        let News::Leaves(server) = news else { continue };
        for entries in clients.values() {
            let mut had = false;
            for (when, view) in taken(entries, "endpoints") {
                let has = view.servers.contains(server);
                if when < *at {
                    had = has;
                } else if had && !has {
                    delays.push(when - at);
                    break;
                }
            }
        }
    }
    delays
}

/// Holds logs against what was told. `bound` is how long after the telling a client may still have the old view, us.
pub fn check(log: &[Entry], told: &[Told], bound: i64) -> Vec<Breach> {
    let mut breaches = BTreeSet::new();
    for (client, entries) in by_client(log) {
        order(client, &entries, &mut breaches);
        for Told { at, news } in told {
            let deadline = at + bound;
            match news {
                News::Leaves(server) => {
                    let back = told.iter().filter(|t| t.at > *at && t.news == News::Comes(server.clone()));
                    let back = back.map(|t| t.at).min().unwrap_or(i64::MAX);
                    if deadline < back {
                        if let Some(after) = kept(&entries, server, *at, deadline, back) {
                            let (client, server) = (client.to_owned(), server.clone());
                            breaches.insert(Breach::Kept { client, server, after });
                        }
                    }
                }
                News::Comes(_) => {}
                News::Purge(what, ms) => {
                    let last = taken(&entries, "routes").filter(|(when, _)| *when <= deadline).last();
                    let knows =
                        last.is_none_or(|(_, view)| view.newer.get(what).is_some_and(|told| told > ms));
                    if connected(&entries, *at, deadline) && !knows {
                        breaches.insert(Breach::NotPurged { client: client.to_owned(), what: what.clone() });
                    }
                }
            }
        }
    }
    breaches.into_iter().collect()
}

fn by_client(log: &[Entry]) -> BTreeMap<&str, Vec<&Entry>> {
    let mut clients: BTreeMap<&str, Vec<&Entry>> = BTreeMap::new();
    for entry in log {
        clients.entry(&entry.client).or_default().push(entry);
    }
    clients.values_mut().for_each(|entries| entries.sort_by_key(|entry| entry.at));
    clients
}

/// The views of a kind that a client took.
fn taken<'a>(entries: &'a [&Entry], kind: &'a str) -> impl Iterator<Item = (i64, &'a View)> {
    entries.iter().filter_map(move |entry| match &entry.what {
        What::View(view) if view.kind == kind && view.taken => Some((entry.at, view)),
        _ => None,
    })
}

/// Whether a client was connected from one moment to another without a break.
fn connected(entries: &[&Entry], from: i64, to: i64) -> bool {
    let mut up = false;
    for entry in entries {
        match entry.what {
            What::Connected if entry.at <= from => up = true,
            What::Ended if entry.at <= from => up = false,
            What::Ended if entry.at <= to => return false,
            _ => {}
        }
    }
    up
}

/// Whether a client had a server, or got it anew, between the deadline and the server's return; how late.
fn kept(entries: &[&Entry], server: &str, told: i64, deadline: i64, back: i64) -> Option<i64> {
    for kind in ["endpoints", "routes"] {
        let got = taken(entries, kind)
            .find(|(when, view)| (deadline..back).contains(when) && view.servers.contains(server));
        if let Some((when, _)) = got {
            return Some(when - told);
        }
        let in_force = taken(entries, kind).filter(|(when, _)| *when <= deadline).last();
        let has = in_force.is_some_and(|(_, view)| view.servers.contains(server));
        if has && connected(entries, told, deadline) {
            let until =
                taken(entries, kind).find(|(when, _)| *when > deadline).map_or(deadline, |(when, _)| when);
            return Some(until - told);
        }
    }
    None
}

/// The versions of one run never go back, and what was rejected does not come again.
fn order(client: &str, entries: &[&Entry], breaches: &mut BTreeSet<Breach>) {
    let mut newest: BTreeMap<(&str, &str), u64> = BTreeMap::new();
    let mut rejected: BTreeSet<(&str, &str)> = BTreeSet::new();
    for entry in entries {
        let What::View(view) = &entry.what else { continue };
        let Some((run, seq)) = view.version.split_once('.') else { continue };
        let Ok(seq) = seq.parse::<u64>() else { continue };
        let known = newest.entry((&view.kind, run)).or_insert(seq);
        if seq < *known {
            let versions = [format!("{run}.{known}"), view.version.clone()];
            breaches.insert(Breach::Older { client: client.to_owned(), kind: view.kind.clone(), versions });
        }
        *known = seq.max(*known);
        if rejected.contains(&(view.kind.as_str(), view.version.as_str())) {
            breaches.insert(Breach::Resent { client: client.to_owned(), version: view.version.clone() });
        }
        if !view.taken {
            rejected.insert((&view.kind, &view.version));
        }
    }
}

#[cfg(test)]
mod tests;

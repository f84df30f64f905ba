//! The admitted connections, counted by address and by prefix.

use super::client_address::ClientAddress;
use super::decision::ConnectionId;
use std::collections::HashMap;
use std::net::IpAddr;

/// Open connections of one address or prefix.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ConnectionCounts {
    /// All of them.
    pub all: usize,
    /// Those in good standing.
    pub good: usize,
}

impl ConnectionCounts {
    /// Whether no further connection fits under a cap, beyond those in good standing. A cap of 0 is none.
    fn is_at_cap(self, cap: usize) -> bool {
        cap > 0 && self.all >= cap + self.good
    }
}

/// Open connections of an address and of its prefix.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AddressCounts {
    /// Those of the address.
    pub address: ConnectionCounts,
    /// Those of the prefix.
    pub prefix: ConnectionCounts,
}

/// One admitted connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct OpenConnection {
    client: ClientAddress,
    is_good: bool,
}

/// What [`OpenConnections::set_good`] found.
pub(super) struct GoodStanding {
    pub address: IpAddr,
    /// It was not in good standing before.
    pub is_new: bool,
}

/// The admitted connections.
#[derive(Debug, Default)]
pub(super) struct OpenConnections {
    connections: HashMap<ConnectionId, OpenConnection>,
    by_address: HashMap<IpAddr, ConnectionCounts>,
    by_prefix: HashMap<IpAddr, ConnectionCounts>,
}

impl OpenConnections {
    /// How many connections are open.
    pub(super) fn len(&self) -> usize {
        self.connections.len()
    }

    /// The counts of an origin.
    pub(super) fn counts(&self, client: ClientAddress) -> AddressCounts {
        let of = |counts: Option<&ConnectionCounts>| counts.copied().unwrap_or_default();
        AddressCounts {
            address: of(self.by_address.get(&client.address)),
            prefix: of(self.by_prefix.get(&client.prefix)),
        }
    }

    /// Whether an origin's address is at its cap.
    pub(super) fn is_address_at_cap(&self, client: ClientAddress, cap: usize) -> bool {
        self.counts(client).address.is_at_cap(cap)
    }

    /// Whether an origin's prefix is at its cap.
    pub(super) fn is_prefix_at_cap(&self, client: ClientAddress, cap: usize) -> bool {
        self.counts(client).prefix.is_at_cap(cap)
    }

    /// Adds a connection.
    pub(super) fn insert(&mut self, id: ConnectionId, client: ClientAddress) {
        let connection = OpenConnection { client, is_good: false };
        if let Some(old) = self.connections.insert(id, connection) {
            self.uncount(old); // an id used again: the caller's slot was reused
        }
        self.by_address.entry(client.address).or_default().all += 1;
        self.by_prefix.entry(client.prefix).or_default().all += 1;
    }

    /// Puts a connection into good standing, if it is open.
    pub(super) fn set_good(&mut self, id: ConnectionId) -> Option<GoodStanding> {
        let connection = self.connections.get_mut(&id)?;
        let is_new = !std::mem::replace(&mut connection.is_good, true);
        let ClientAddress { address, prefix } = connection.client;
        if is_new {
            let counts = [self.by_address.get_mut(&address), self.by_prefix.get_mut(&prefix)];
            counts.into_iter().flatten().for_each(|counts| counts.good += 1);
        }
        Some(GoodStanding { address, is_new })
    }

    /// Removes a connection, if it is open.
    pub(super) fn remove(&mut self, id: ConnectionId) {
        if let Some(old) = self.connections.remove(&id) {
            self.uncount(old);
        }
    }

    fn uncount(&mut self, old: OpenConnection) {
        let ClientAddress { address, prefix } = old.client;
        for (table, key) in [(&mut self.by_address, address), (&mut self.by_prefix, prefix)] {
            if let Some(counts) = table.get_mut(&key) {
                counts.all -= 1;
                counts.good -= usize::from(old.is_good);
                if counts.all == 0 {
                    table.remove(&key);
                }
            }
        }
    }
}

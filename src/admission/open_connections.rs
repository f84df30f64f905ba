//! The admitted connections that are open, counted by address and by prefix.

use super::client_address::ClientAddress;
use super::decision::ConnectionId;
use std::collections::HashMap;
use std::net::IpAddr;

/// Counts of the open connections of one address or prefix.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ConnectionCounts {
    /// Number of open connections, including those in good standing.
    pub all: usize,
    /// Number of open connections in good standing.
    pub good: usize,
}

impl ConnectionCounts {
    /// Whether the connections that are not in good standing have reached `cap`. A cap of 0 means no cap.
    fn is_at_cap(self, cap: usize) -> bool {
        cap > 0 && self.all >= cap + self.good
    }
}

/// Counts of the open connections of an address and of its prefix.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AddressCounts {
    /// Counts of the address.
    pub address: ConnectionCounts,
    /// Counts of the prefix, including those of the address.
    pub prefix: ConnectionCounts,
}

/// An admitted connection that is open.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct OpenConnection {
    client: ClientAddress,
    is_good: bool,
}

/// The result of [`OpenConnections::set_good`].
pub(super) struct GoodStanding {
    pub address: IpAddr,
    /// Whether the connection was not in good standing before.
    pub is_new: bool,
}

/// The admitted connections that are open, with their counts by address and by prefix.
#[derive(Debug, Default)]
pub(super) struct OpenConnections {
    connections: HashMap<ConnectionId, OpenConnection>,
    by_address: HashMap<IpAddr, ConnectionCounts>,
    by_prefix: HashMap<IpAddr, ConnectionCounts>,
}

impl OpenConnections {
    /// Returns the number of open connections.
    pub(super) fn len(&self) -> usize {
        self.connections.len()
    }

    /// Returns the counts of a client's address and prefix.
    pub(super) fn counts(&self, client: ClientAddress) -> AddressCounts {
        let of = |counts: Option<&ConnectionCounts>| counts.copied().unwrap_or_default();
        AddressCounts {
            address: of(self.by_address.get(&client.address)),
            prefix: of(self.by_prefix.get(&client.prefix)),
        }
    }

    /// Whether the address of a client has reached a cap.
    pub(super) fn is_address_at_cap(&self, client: ClientAddress, cap: usize) -> bool {
        self.counts(client).address.is_at_cap(cap)
    }

    /// Whether the prefix of a client has reached a cap.
    pub(super) fn is_prefix_at_cap(&self, client: ClientAddress, cap: usize) -> bool {
        self.counts(client).prefix.is_at_cap(cap)
    }

    /// Adds a connection that is not in good standing.
    pub(super) fn insert(&mut self, id: ConnectionId, client: ClientAddress) {
        let connection = OpenConnection { client, is_good: false };
        if let Some(old) = self.connections.insert(id, connection) {
            self.uncount(old); // the caller has reused the id
        }
        self.by_address.entry(client.address).or_default().all += 1;
        self.by_prefix.entry(client.prefix).or_default().all += 1;
    }

    /// Puts a connection into good standing; `None` if it is not open.
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

    /// Removes a connection if it is open.
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

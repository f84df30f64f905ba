//! The connections of one front, and what every front does with its connections in the same way: eviction and closing.

use crate::deadlines::{DeadlineHandle, Schedule};
use crate::interface::Instant;
use crate::net::{ConnectionKey, Net, Reason};
use std::collections::BTreeMap;

/// What a front keeps of one connection, as far as eviction and closing need it.
pub(super) trait Session {
    /// The deadlines that end with the connection.
    fn deadlines(&self) -> impl Iterator<Item = DeadlineHandle>;
    /// Whether requests are open.
    fn has_open_requests(&self) -> bool;
    /// Whether only the client's close is awaited.
    fn is_lingering(&self) -> bool;
    /// Whether it has sent a complete request.
    fn has_sent_message(&self) -> bool;
    /// When it was last used.
    fn last_active(&self) -> Instant;
}

/// The connections of one front.
pub(super) struct Sessions<S> {
    by_connection: BTreeMap<ConnectionKey, S>,
}

impl<S> Default for Sessions<S> {
    fn default() -> Self {
        Sessions { by_connection: BTreeMap::new() }
    }
}

impl<S: Session> Sessions<S> {
    /// Adds a connection.
    pub fn insert(&mut self, conn: ConnectionKey, session: S) {
        self.by_connection.insert(conn, session);
    }

    /// How many connections there are.
    pub fn len(&self) -> usize {
        self.by_connection.len()
    }

    /// Whether a connection is one of this front's.
    pub fn contains(&self, conn: ConnectionKey) -> bool {
        self.by_connection.contains_key(&conn)
    }

    /// The session of a connection.
    pub fn get(&self, conn: ConnectionKey) -> Option<&S> {
        self.by_connection.get(&conn)
    }

    /// The session of a connection, to be changed.
    pub fn get_mut(&mut self, conn: ConnectionKey) -> Option<&mut S> {
        self.by_connection.get_mut(&conn)
    }

    /// All connections.
    pub fn connections(&self) -> Vec<ConnectionKey> {
        self.by_connection.keys().copied().collect()
    }

    /// All connections with their sessions.
    pub fn iter(&self) -> impl Iterator<Item = (ConnectionKey, &S)> {
        self.by_connection.iter().map(|(conn, session)| (*conn, session))
    }

    /// All connections with their sessions, to be changed.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (ConnectionKey, &mut S)> {
        self.by_connection.iter_mut().map(|(conn, session)| (*conn, session))
    }

    /// The connection to close in favour of a new one, of those that are idle.
    pub fn eviction_candidate(&self, net: &Net) -> Option<ConnectionKey> {
        let is_idle =
            |(conn, session): &(ConnectionKey, &S)| !session.has_open_requests() && net.unwritten(*conn) == 0;
        first_to_evict(self.iter().filter(is_idle))
    }

    /// The connection to close in favour of a new one, of all.
    pub fn forced_eviction_candidate(&self) -> Option<ConnectionKey> {
        first_to_evict(self.iter())
    }

    /// Removes a connection and its deadlines without closing it.
    pub fn remove<D>(&mut self, conn: ConnectionKey, deadlines: &mut dyn Schedule<D>) -> Option<S> {
        let session = self.by_connection.remove(&conn)?;
        session.deadlines().for_each(|handle| deadlines.remove(handle));
        Some(session)
    }

    /// Closes a connection. Returns its session.
    pub fn close<D>(
        &mut self,
        now: Instant,
        conn: ConnectionKey,
        reason: Reason,
        net: &mut Net,
        deadlines: &mut dyn Schedule<D>,
    ) -> Option<S> {
        let session = self.remove(conn, deadlines)?;
        net.close(now, conn, reason);
        Some(session)
    }

    /// Closes all connections as the process stops.
    pub fn close_all<D>(&mut self, now: Instant, net: &mut Net, deadlines: &mut dyn Schedule<D>) {
        for conn in self.connections() {
            self.close(now, conn, Reason::Stopping, net, deadlines);
        }
    }
}

/// The first to close: those that linger before those that never asked before the others, the longest unused first.
fn first_to_evict<'a, S: Session + 'a>(
    candidates: impl Iterator<Item = (ConnectionKey, &'a S)>,
) -> Option<ConnectionKey> {
    let rank = |(conn, session): &(ConnectionKey, &S)| {
        (!session.is_lingering(), session.has_sent_message(), session.last_active(), *conn)
    };
    candidates.min_by_key(rank).map(|(conn, _)| conn)
}

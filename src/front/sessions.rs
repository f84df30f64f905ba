//! The connections of one front, with the eviction and closing that all fronts share.

use super::delivery::Delivery;
use crate::deadlines::{DeadlineHandle, Schedule};
use crate::interface::Instant;
use crate::net::{ConnectionKey, Net, Reason};
use std::collections::BTreeMap;

/// State of one connection, as far as eviction and closing need it.
pub(super) trait Session {
    /// Returns the deadlines to remove when the connection closes.
    fn deadlines(&self) -> impl Iterator<Item = DeadlineHandle>;
    /// Whether the connection has a request that is not answered yet.
    fn has_open_requests(&self) -> bool;
    /// Whether the connection only waits for the client to close it.
    fn is_lingering(&self) -> bool;
    /// Whether the client has sent a complete message.
    fn has_sent_message(&self) -> bool;
    /// Returns when the connection was last used.
    fn last_active(&self) -> Instant;
    /// Returns the delivery of answers; `None` if it does not keep the connection from being closed.
    fn delivery_mut(&mut self) -> Option<&mut Delivery>;
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
    pub fn insert(&mut self, conn: ConnectionKey, session: S) {
        self.by_connection.insert(conn, session);
    }

    pub fn len(&self) -> usize {
        self.by_connection.len()
    }

    pub fn contains(&self, conn: ConnectionKey) -> bool {
        self.by_connection.contains_key(&conn)
    }

    pub fn get(&self, conn: ConnectionKey) -> Option<&S> {
        self.by_connection.get(&conn)
    }

    pub fn get_mut(&mut self, conn: ConnectionKey) -> Option<&mut S> {
        self.by_connection.get_mut(&conn)
    }

    pub fn connections(&self) -> Vec<ConnectionKey> {
        self.by_connection.keys().copied().collect()
    }

    pub fn iter(&self) -> impl Iterator<Item = (ConnectionKey, &S)> {
        self.by_connection.iter().map(|(conn, session)| (*conn, session))
    }

    pub fn iter_mut(&mut self) -> impl Iterator<Item = (ConnectionKey, &mut S)> {
        self.by_connection.iter_mut().map(|(conn, session)| (*conn, session))
    }

    /// Returns the connection to evict first among those that are idle; `None` if no connection is.
    pub fn eviction_candidate(&mut self, now: Instant, net: &Net) -> Option<ConnectionKey> {
        let idle = self.iter_mut().filter_map(|(conn, session)| {
            let is_idle = is_idle(now, conn, session, net);
            is_idle.then_some((conn, &*session))
        });
        first_to_evict(idle)
    }

    /// Returns the connection to evict first, whether idle or not.
    pub fn forced_eviction_candidate(&self) -> Option<ConnectionKey> {
        first_to_evict(self.iter())
    }

    /// Removes a connection and its deadlines without closing the socket.
    pub fn remove<D>(&mut self, conn: ConnectionKey, deadlines: &mut dyn Schedule<D>) -> Option<S> {
        let session = self.by_connection.remove(&conn)?;
        session.deadlines().for_each(|handle| deadlines.remove(handle));
        Some(session)
    }

    /// Closes a connection and removes its deadlines. Returns its session.
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

    /// Closes all connections because the process stops.
    pub fn close_all<D>(&mut self, now: Instant, net: &mut Net, deadlines: &mut dyn Schedule<D>) {
        for conn in self.connections() {
            self.close(now, conn, Reason::Stopping, net, deadlines);
        }
    }
}

/// Whether no request is open, all bytes are written, and the client is not still reading answers. A lingering connection
/// is idle even if its client is.
fn is_idle<S: Session>(now: Instant, conn: ConnectionKey, session: &mut S, net: &Net) -> bool {
    if session.has_open_requests() || net.unwritten_bytes(conn) > 0 {
        return false;
    }
    if session.is_lingering() {
        return true;
    }
    !session.delivery_mut().is_some_and(|delivery| delivery.is_pending(now, conn, net))
}

/// Returns the connection to evict first. Lingering connections come first, then those that never sent a
/// message, then the others; within each group, the one unused for longest comes first.
fn first_to_evict<'a, S: Session + 'a>(
    candidates: impl Iterator<Item = (ConnectionKey, &'a S)>,
) -> Option<ConnectionKey> {
    let rank = |(conn, session): &(ConnectionKey, &S)| {
        (!session.is_lingering(), session.has_sent_message(), session.last_active(), *conn)
    };
    candidates.min_by_key(rank).map(|(conn, _)| conn)
}

//! Eviction of idle connections, to make room for new ones.

use super::Server;
use crate::net::{ConnectionKey, Ready, Reason};

/// Connections of a front that are looked at for one that can be evicted.
const MAX_CANDIDATES: usize = 32;

impl Server {
    /// Whether one more client is within the budget, if need be after the eviction of another one.
    pub(super) fn make_room(&mut self) -> bool {
        self.clients() + self.handover.clients() <= self.budget.max_client_connections
            || self.evict_thrift_connection()
            || self.evict_signed_connection()
    }

    /// Evicts the connection that is least in use. What its client has sent by now is read first, and if that is a
    /// request it stays.
    fn evict_thrift_connection(&mut self) -> bool {
        for _ in 0..MAX_CANDIDATES {
            let Some(conn) = self.thrift.eviction_candidate(&self.net) else { break };
            self.on_ready(Ready::readable(conn));
            if self.thrift.eviction_candidate(&self.net) == Some(conn) {
                self.thrift.close(self.now, conn, Reason::Evicted, &mut self.net, &mut self.deadlines);
                return true;
            }
            let client_has_closed = !self.thrift.owns(conn);
            if client_has_closed {
                return true;
            }
        }
        false
    }

    /// The same on the signed front.
    fn evict_signed_connection(&mut self) -> bool {
        for _ in 0..MAX_CANDIDATES {
            let Some(conn) = self.signed_eviction_candidate() else { break };
            self.on_ready(Ready::readable(conn));
            let is_still_candidate = self.signed_eviction_candidate() == Some(conn);
            let Some(signed) = &mut self.signed else { break };
            if is_still_candidate {
                signed.front.close(self.now, conn, Reason::Evicted, &mut self.net, &mut self.deadlines);
            }
            if !signed.front.owns(conn) {
                return true;
            }
        }
        false
    }

    fn signed_eviction_candidate(&self) -> Option<ConnectionKey> {
        self.signed.as_ref()?.front.eviction_candidate(&self.net)
    }
}

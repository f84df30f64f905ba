//! Evicts idle connections to make room for new ones.

use super::Server;
use crate::net::{ConnectionKey, Ready, Reason};

/// Maximum number of connections of a front that are checked for one that can be evicted.
const MAX_CANDIDATES: usize = 32;

impl Server {
    /// Whether the clients' connections, a new one included, are within the budget, after the eviction of
    /// another one if necessary.
    pub(super) fn make_room(&mut self) -> bool {
        self.clients() + self.handover.clients() <= self.budget.max_client_connections
            || self.evict_thrift_connection()
            || self.evict_signed_connection()
    }

    /// Evicts the connection that is the front's next candidate. Bytes that its client has sent by now are
    /// read first; if they hold a request, the connection stays.
    fn evict_thrift_connection(&mut self) -> bool {
        for _ in 0..MAX_CANDIDATES {
            let Some(conn) = self.thrift.eviction_candidate(self.now, &self.net) else { break };
            self.on_ready(Ready::readable(conn));
            if self.thrift.eviction_candidate(self.now, &self.net) == Some(conn) {
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

    /// Does the same on the signed front.
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

    fn signed_eviction_candidate(&mut self) -> Option<ConnectionKey> {
        self.signed.as_mut()?.front.eviction_candidate(self.now, &self.net)
    }
}

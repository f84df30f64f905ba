//! Connections that were refused: their requests are rejected with a Retry-After time, and then they are
//! closed.

use super::Server;
use crate::front::thrift::codec::ThriftReply;
use crate::interface::{ClassId, Instant, Span};
use crate::net::{ConnectionKey, Ready, Reason, Role};

/// Minimum time between two log lines about refusals, so that a flood of connections does not flood the log.
const LOG_INTERVAL: Span = Span::from_secs(1);

/// A connection of the Thrift front that was refused. Pings on it are answered as on any other.
pub(super) struct RefusedConnection {
    /// Retry-After that is sent to the client.
    retry_after: Span,
    /// Whether a request on this connection was rejected.
    has_rejected: bool,
}

/// Limits the rate of log lines about refused connections.
#[derive(Default)]
pub(super) struct RefusalLog {
    last_line: Option<Instant>,
    suppressed: u64,
}

impl RefusalLog {
    /// Records a refusal. Returns the number of refusals since the last log line if this one is to be logged,
    /// and `None` if it is only counted.
    pub fn record_refusal(&mut self, now: Instant) -> Option<u64> {
        if self.last_line.is_some_and(|last| now - last < LOG_INTERVAL) {
            self.suppressed += 1;
            return None;
        }
        self.last_line = Some(now);
        Some(std::mem::take(&mut self.suppressed))
    }
}

impl Server {
    /// Refuses a new connection: rejects what its client has sent by now. If the connection `stays_open`,
    /// later requests on it are rejected too; otherwise it is closed.
    pub(super) fn refuse_connection(
        &mut self,
        role: Role,
        conn: ConnectionKey,
        retry_after: Span,
        stays_open: bool,
    ) {
        if role == Role::Thrift {
            self.thrift.open(self.now, conn, &mut self.deadlines);
            self.admission.refused.insert(conn, RefusedConnection { retry_after, has_rejected: false });
            self.on_ready(Ready::readable(conn));
            if !stays_open {
                self.thrift.close(self.now, conn, Reason::Rejected, &mut self.net, &mut self.deadlines);
            }
        } else if let Some(signed) = &mut self.signed {
            signed.front.open(self.now, conn, &mut self.deadlines);
            let seconds = retry_after.as_secs_rounded_up();
            signed.front.reject_connection(self.now, conn, seconds, &mut self.net, &mut self.deadlines);
            if !stays_open {
                signed.front.close(self.now, conn, Reason::Rejected, &mut self.net, &mut self.deadlines);
            }
        }
    }

    /// Returns the rejection of a request if its connection was refused.
    pub(super) fn reject_if_refused(
        &mut self,
        conn: ConnectionKey,
        class: Option<ClassId>,
    ) -> Option<ThriftReply> {
        let refused = self.admission.refused.get_mut(&conn)?;
        refused.has_rejected = true;
        let retry_after = refused.retry_after;
        Some(self.reject(class, retry_after))
    }

    /// Closes a refused connection once a request on it was rejected and all its calls are answered. A ping
    /// does not close it: the client usually sends a request next, which would race with the close.
    pub(super) fn close_if_refused(&mut self, conn: ConnectionKey) {
        if self.admission.refused.get(&conn).is_some_and(|refused| refused.has_rejected) {
            self.thrift.close_if_idle(self.now, conn, Reason::Rejected, &mut self.net, &mut self.deadlines);
        }
    }
}

#[cfg(test)]
mod tests;

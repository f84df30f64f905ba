//! Lingering: closes a connection without losing its last answer.
//!
//! Closing a socket that has unread input resets the connection, and a reset can discard answers that the
//! client has not read yet. So a front first shuts down the write side, and closes the socket once the client
//! has closed or a timeout has passed.

use super::delivery::Delivery;
use crate::interface::Instant;
use crate::net::{ConnectionKey, Net, Reason};

/// Shuts down the write side if all answers are written. Returns whether they are.
pub(super) fn shut_down_if_flushed(conn: ConnectionKey, net: &mut Net) -> bool {
    let is_flushed = net.unwritten_bytes(conn) == 0;
    if is_flushed {
        net.shutdown(conn);
    }
    is_flushed
}

/// Does the same, and updates the delivery of the answers just before: once the write side is shut down, the system does
/// not tell any more whether all of them are sent.
pub(super) fn shut_down_and_note_delivery(
    now: Instant,
    conn: ConnectionKey,
    delivery: &mut Delivery,
    net: &mut Net,
) -> bool {
    if net.unwritten_bytes(conn) == 0 {
        delivery.update(now, conn, net);
    }
    shut_down_if_flushed(conn, net)
}

/// Writes buffered output and discards what the client sends. Returns whether the client has closed.
///
/// # Errors
///
/// The connection is broken.
pub(super) fn flush_and_drop_input(conn: ConnectionKey, net: &mut Net) -> Result<bool, Reason> {
    net.flush(conn)?;
    net.has_peer_ended(conn)
}

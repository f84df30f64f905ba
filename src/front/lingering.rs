//! Lingering: closes a connection without losing its last answer.
//!
//! Closing a socket that has unread input resets the connection, and a reset can discard answers that the
//! client has not read yet. So a front first shuts down the write side, and closes the socket once the client
//! has closed or a timeout has passed.

use crate::net::{ConnectionKey, Net, Reason};

/// Shuts down the write side if all answers are written. Returns whether they are.
pub(super) fn shut_down_if_flushed(conn: ConnectionKey, net: &mut Net) -> bool {
    let is_flushed = net.unwritten_bytes(conn) == 0;
    if is_flushed {
        net.shutdown(conn);
    }
    is_flushed
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

//! Lingering: the end of a connection that keeps its last answer.
//!
//! Closing a socket while bytes of the client are unread resets the connection, and a reset can discard answers that
//! the client has not read yet. So a front shuts down its write side first and closes once the client has closed, or
//! after a time limit.

use crate::net::{ConnectionKey, Net, Reason};

/// Shuts down the write side if all answers are written. Returns whether it did.
pub(super) fn shut_down_if_flushed(conn: ConnectionKey, net: &mut Net) -> bool {
    let is_flushed = net.unwritten(conn) == 0;
    if is_flushed {
        net.shutdown(conn);
    }
    is_flushed
}

/// Writes what is left to be written and drops what the client sends. Returns whether the client has closed.
///
/// # Errors
///
/// The connection broke.
pub(super) fn flush_and_drop_input(conn: ConnectionKey, net: &mut Net) -> Result<bool, Reason> {
    net.flush(conn)?;
    net.ended(conn)
}

//! Limits of a client's connection: sizes, counts and time-outs.

use crate::interface::Span;

/// Requests that may be open on one connection.
pub const MAX_OPEN_REQUESTS: usize = 32;
/// The longest body, a write's, in bytes.
pub const MAX_BODY_BYTES: usize = 48_000;
/// The longest frame: the longest body and its fields.
pub(super) const MAX_FRAME_BYTES: usize = 64 * 1024;
/// Nothing is read from a client that has this many bytes of answers to take.
pub(super) const MAX_UNWRITTEN_BYTES: usize = 1 << 20;
/// Unread bytes that are searched for cancellations, and handed over with a connection.
pub(super) const MAX_SCANNED_BYTES: usize = 512 * 1024;
/// Messages taken from one connection before the others have their turn.
pub(super) const MESSAGES_PER_TURN: usize = 8;

/// How often a connection's time-outs are checked.
pub(super) const CHECK_INTERVAL: Span = Span::from_millis(400);
/// A client that takes no byte of its answers for this long is closed.
pub(super) const WRITE_STALL_TIMEOUT: Span = Span::from_secs(10);
/// A message must be complete this long after it began, and a first one after its client connected: clients are owed an
/// end within 3 s.
pub(super) const MESSAGE_TIMEOUT: Span = Span::from_secs(2);
/// A connection without open requests is closed after this time. Clients close theirs after 4 s.
pub(super) const IDLE_TIMEOUT: Span = Span::from_secs(6);
/// How long a client may take to close once the write side is shut down.
pub(super) const LINGER_TIMEOUT: Span = Span::from_secs(1);
/// A connection that never sent a request counts as idle after this time: a first request follows sooner.
pub(super) const FIRST_REQUEST_GRACE: Span = Span::from_millis(200);
/// How long reading may pause so that a connection's open requests end before its handover. Most answers come within
/// it.
pub const HANDOVER_PAUSE: Span = Span::from_millis(300);

//! Limits of a client's connection: sizes, counts and timeouts.

use crate::interface::Span;

/// Maximum number of open requests on one connection; further ones are rejected.
pub const MAX_OPEN_REQUESTS: usize = 32;
/// Maximum length of a request's body, in bytes. Only writes have one.
pub const MAX_BODY_BYTES: usize = 48_000;
/// Maximum length of a frame, in bytes: the longest body and the request's fields.
pub(super) const MAX_FRAME_BYTES: usize = 64 * 1024;
/// No requests are read from a connection that has this many unwritten bytes of answers.
pub(super) const MAX_UNWRITTEN_BYTES: usize = 1 << 20;
/// Maximum number of unread bytes that are searched for cancellations and handed over with a connection.
pub(super) const MAX_SCANNED_BYTES: usize = 512 * 1024;
/// The part of the free memory for input that one connection may use for its search.
pub(super) const SCANNED_MEMORY_DIVISOR: usize = 8;
/// Maximum number of messages taken from one connection before the others are read.
pub(super) const MESSAGES_PER_TURN: usize = 8;

/// Interval between checks of a connection's timeouts.
pub(super) const CHECK_INTERVAL: Span = Span::from_millis(400);
/// A connection is closed if its client takes no byte of its answers for this long.
pub(super) const WRITE_STALL_TIMEOUT: Span = Span::from_secs(10);
/// A message must be complete within this time after it began, and the first one after the client connected:
/// clients must see their connection end within 3 s.
pub(super) const MESSAGE_TIMEOUT: Span = Span::from_secs(2);
/// The same while other connections wait for memory, for a connection that holds more than
/// [`MIN_INPUT_BYTES`](crate::net::MIN_INPUT_BYTES). If its client is still owed answers, or there is no memory for the
/// rest, the message is skipped instead.
pub(super) const MESSAGE_TIMEOUT_WITHOUT_MEMORY: Span = Span::from_millis(250);
/// A message for which there is no memory is skipped after this time, and its request is rejected.
pub(super) const MEMORY_TIMEOUT: Span = Span::from_millis(500);
/// A connection without open requests is closed after this time, counted from when its client has been sent all
/// answers. Clients close idle connections after 4 s.
pub(super) const IDLE_TIMEOUT: Span = Span::from_secs(6);
/// A lingering connection is closed after this time, even if the client has not closed it, unless the client is still
/// reading answers.
pub(super) const LINGER_TIMEOUT: Span = Span::from_secs(1);
/// A connection that never sent a message counts as idle after this time: a first request arrives sooner.
pub(super) const FIRST_REQUEST_GRACE: Span = Span::from_millis(200);
/// Maximum time for which reading pauses so that a connection's open requests end before its handover. Most
/// answers take less.
pub const HANDOVER_PAUSE: Span = Span::from_millis(300);

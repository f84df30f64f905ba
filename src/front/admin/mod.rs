//! The admin endpoint for operators: HTTP/1.1 with one call per connection. A few descriptors are reserved
//! for its callers, and a new caller may evict an old one, so that neither clients nor callers that hold a
//! connection open can block further calls.
//!
//! - `call`: parses calls.

mod call;

pub use call::AdminCall;

use super::http;
use super::lingering;
use super::sessions::{self, Sessions};
use crate::deadlines::{DeadlineHandle, Schedule};
use crate::front::delivery::Delivery;
use crate::interface::{Instant, Span};
use crate::net::{ConnectionKey, Net, Reason};
use bytes::{Bytes, BytesMut};
use call::take_call;

/// The content type of answers in plain text.
pub const TEXT_CONTENT_TYPE: &str = "text/plain; charset=utf-8";
/// Maximum number of callers' connections. A further one evicts another, those with an answer first and among
/// these the one that was inactive longest.
pub const MAX_CALLERS: usize = 8;
/// A call must be complete within this time after its caller connected.
const CALL_TIMEOUT: Span = Span::from_secs(6);
/// A connection is closed this long after its answer, even if the caller has not closed it.
const LINGER_TIMEOUT: Span = Span::from_secs(1);

/// The deadline of a caller to complete its call, or to close after its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerDeadline(ConnectionKey);

/// An answer to a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdminAnswer<'a> {
    /// The HTTP status.
    pub status: u16,
    /// The content type.
    pub content_type: &'a str,
    /// The body, which may be empty.
    pub body: &'a str,
}

impl AdminAnswer<'_> {
    /// Returns an answer with this status and no body.
    fn status_only(status: u16) -> Self {
        AdminAnswer { status, content_type: TEXT_CONTENT_TYPE, body: "" }
    }

    /// Encodes the answer, after which the connection closes.
    fn encode(&self, net: &Net) -> Bytes {
        let mut text = http::status_and_date(self.status, net.unix_time());
        http::push_header(&mut text, "Content-Type", &self.content_type);
        http::push_header(&mut text, "Content-Length", &self.body.len());
        http::push_header(&mut text, "Cache-Control", &"no-store");
        if self.status == 405 {
            http::push_header(&mut text, "Allow", &"GET");
        }
        http::push_header(&mut text, "Connection", &"close");
        text.push_str("\r\n");
        text.push_str(self.body);
        text.into()
    }
}

struct Caller {
    timeout: DeadlineHandle,
    last_active: Instant,
    /// Whether the call is answered, so that the connection only waits for the caller to close it.
    is_answered: bool,
}

impl sessions::Session for Caller {
    fn delivery_mut(&mut self) -> Option<&mut Delivery> {
        None
    }

    fn deadlines(&self) -> impl Iterator<Item = DeadlineHandle> {
        std::iter::once(self.timeout)
    }

    fn has_open_requests(&self) -> bool {
        false // a call is answered as soon as it is read
    }

    fn is_lingering(&self) -> bool {
        self.is_answered
    }

    fn has_sent_message(&self) -> bool {
        self.is_answered
    }

    fn last_active(&self) -> Instant {
        self.last_active
    }
}

/// The admin endpoint with its callers' connections.
#[derive(Default)]
pub struct AdminFront {
    callers: Sessions<Caller>,
}

impl AdminFront {
    /// Adds a caller's connection, and evicts another one if there are [`MAX_CALLERS`] already.
    pub fn open(
        &mut self,
        now: Instant,
        conn: ConnectionKey,
        net: &mut Net,
        deadlines: &mut dyn Schedule<CallerDeadline>,
    ) {
        if self.callers.len() >= MAX_CALLERS {
            if let Some(evicted) = self.callers.forced_eviction_candidate() {
                self.close(now, evicted, Reason::Evicted, net, deadlines);
            }
        }
        let timeout = deadlines.add(now + CALL_TIMEOUT, CallerDeadline(conn));
        self.callers.insert(conn, Caller { timeout, last_active: now, is_answered: false });
    }

    /// Whether a connection belongs to the admin endpoint.
    pub fn owns(&self, conn: ConnectionKey) -> bool {
        self.callers.contains(conn)
    }

    /// Handles a connection that may be read from or written to. Returns the call if it is complete now, to
    /// be answered with [`AdminFront::answer`].
    pub fn on_ready(
        &mut self,
        now: Instant,
        conn: ConnectionKey,
        net: &mut Net,
        deadlines: &mut dyn Schedule<CallerDeadline>,
    ) -> Option<AdminCall> {
        let caller = self.callers.get_mut(conn)?;
        if caller.is_answered {
            if lingering::flush_and_drop_input(conn, net) != Ok(false) {
                self.close(now, conn, Reason::Done, net, deadlines);
            }
            return None;
        }
        let progress = match net.read(conn, http::MAX_HEAD_BYTES + 1) {
            Ok(progress) => progress,
            Err(reason) => {
                self.close(now, conn, reason, net, deadlines);
                return None;
            }
        };
        if progress.bytes > 0 {
            caller.last_active = now;
        }
        match net.input(conn, take_call).unwrap_or(Ok(None)) {
            Ok(Some(call)) => return Some(call),
            // The caller sends nothing more, so the incomplete head is never completed.
            Ok(None) if progress.has_peer_ended => self.close(now, conn, Reason::PeerClosed, net, deadlines),
            Ok(None) => {}
            Err(status) => self.answer(now, conn, AdminAnswer::status_only(status), net, deadlines),
        }
        None
    }

    /// Answers the call of a connection, which then lingers.
    pub fn answer(
        &mut self,
        now: Instant,
        conn: ConnectionKey,
        answer: AdminAnswer,
        net: &mut Net,
        deadlines: &mut dyn Schedule<CallerDeadline>,
    ) {
        let Some(caller) = self.callers.get_mut(conn) else { return };
        caller.is_answered = true;
        caller.last_active = now;
        deadlines.remove(caller.timeout);
        caller.timeout = deadlines.add(now + LINGER_TIMEOUT, CallerDeadline(conn));
        net.input(conn, BytesMut::clear);
        match net.write(conn, [answer.encode(net)]) {
            // With bytes still unwritten, the write side stays open: `Content-Length` gives the end of the
            // answer.
            Ok(()) => drop(lingering::shut_down_if_flushed(conn, net)),
            Err(reason) => self.close(now, conn, reason, net, deadlines),
        }
    }

    /// Handles a caller's timeout: an incomplete call is answered with 408. A connection that is already
    /// answered, or that has sent nothing, is closed.
    pub fn deadline_passed(
        &mut self,
        now: Instant,
        CallerDeadline(conn): CallerDeadline,
        net: &mut Net,
        deadlines: &mut dyn Schedule<CallerDeadline>,
    ) {
        let Some(caller) = self.callers.get(conn) else { return };
        let has_sent_nothing = net.input(conn, |input| input.is_empty()).unwrap_or(true);
        if caller.is_answered {
            self.close(now, conn, Reason::Done, net, deadlines);
        } else if has_sent_nothing {
            self.close(now, conn, Reason::HeadTimeout, net, deadlines);
        } else {
            self.answer(now, conn, AdminAnswer::status_only(408), net, deadlines);
        }
    }

    fn close(
        &mut self,
        now: Instant,
        conn: ConnectionKey,
        reason: Reason,
        net: &mut Net,
        deadlines: &mut dyn Schedule<CallerDeadline>,
    ) {
        self.callers.close(now, conn, reason, net, deadlines);
    }

    /// Closes all connections, when the process stops.
    pub fn close_all(&mut self, now: Instant, net: &mut Net, deadlines: &mut dyn Schedule<CallerDeadline>) {
        self.callers.close_all(now, net, deadlines);
    }
}

//! The signed front: HTTP/1.1 with signed URLs and tokens. It reads requests, verifies their credentials, and
//! writes one answer to each, in the order in which the requests of a connection arrived.
//!
//! - `session`: state of one connection.
//! - `reading`: reads request heads; `http` parses a head, `uri` its target, `credentials` verifies its
//!   credential, and `route` finds the object that its path names.
//! - `answering`: writes answers in the order of the requests.
//! - `closing`: timeouts, graceful and immediate closing.
//! - `handover`: closes connections when a newer process takes over, since this front does not hand them
//!   over.

mod answering;
mod closing;
pub mod credentials;
mod handover;
pub mod http;
mod reading;
pub mod route;
mod session;
pub mod uri;

pub use session::RequestIndex;

use super::sessions::Sessions;
use super::unread::UnreadConnections;
use super::RequestHandle;
use crate::config::signed::SignedConfig;
use crate::deadlines::Schedule;
use crate::interface::{Instant, Span};
use crate::net::{ConnectionKey, Net};
use credentials::Keyring;
use session::{RequestState, Session};

/// Maximum number of open requests on one connection; more are read once some of these are answered.
const MAX_OPEN_REQUESTS: usize = 16;
/// A connection is closed if its client takes no byte of its answers for this long.
const WRITE_STALL_TIMEOUT: Span = Span::from_secs(10);
/// A connection is closed this long after its write side was shut down, even if the client has not closed it, unless the
/// client is still reading answers.
const LINGER_TIMEOUT: Span = Span::from_secs(2);

/// A deadline of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SessionDeadline {
    /// The next check of whether the connection is stalled or idle.
    Check(ConnectionKey),
    /// The time by which the client must have completed a head, or, while the connection lingers, must have
    /// closed.
    ClientTimeout(ConnectionKey),
}

/// An event from a client.
#[derive(Debug, PartialEq, Eq)]
pub enum SignedEvent {
    /// A request whose credential is valid.
    Request {
        /// The client's connection.
        conn: ConnectionKey,
        /// The request's position among all requests of the connection.
        index: RequestIndex,
        /// The object that the path names, with its route.
        target: route::RequestTarget,
        /// The entity tags of the client's copies, from `If-None-Match`.
        etags: Vec<String>,
        /// When the request's credential expires, on the monotonic clock.
        expires: Instant,
    },
}

/// The signed front with its clients' connections.
pub struct SignedFront {
    config: SignedConfig,
    keyring: Keyring,
    sessions: Sessions<Session>,
    cancelled: Vec<RequestHandle>,
    /// Connections that may have more to read.
    unread: UnreadConnections,
    /// Whether each connection closes after its next answers, as the process shuts down.
    is_draining: bool,
}

impl SignedFront {
    /// Creates a front with the operator's configuration.
    pub fn new(config: SignedConfig) -> Self {
        SignedFront {
            keyring: Keyring::new(&config),
            config,
            sessions: Sessions::default(),
            cancelled: Vec::new(),
            unread: UnreadConnections::default(),
            is_draining: false,
        }
    }

    /// Replaces the configuration, except for the listener. Requests that are already open are not affected.
    pub fn reload(&mut self, config: SignedConfig) {
        self.keyring = Keyring::new(&config);
        self.config = config;
    }

    /// Returns and clears the handles, set by [`SignedFront::set_handle`], of the requests that were
    /// cancelled because their connection closed. They need no answer.
    pub fn take_cancelled(&mut self) -> Vec<RequestHandle> {
        std::mem::take(&mut self.cancelled)
    }

    /// Adds a client's connection, whose first head must be complete within the configured head timeout.
    pub fn open(&mut self, now: Instant, conn: ConnectionKey, deadlines: &mut dyn Schedule<SessionDeadline>) {
        let check = deadlines.add(now + self.check_interval(), SessionDeadline::Check(conn));
        let timeout = deadlines.add(now + self.config.head_timeout, SessionDeadline::ClientTimeout(conn));
        self.sessions.insert(conn, Session::new(now, check, timeout));
    }

    /// Returns the interval between checks of whether a connection is stalled or idle.
    fn check_interval(&self) -> Span {
        WRITE_STALL_TIMEOUT.min(self.config.idle_timeout)
    }

    /// Whether a connection belongs to this front.
    pub fn owns(&self, conn: ConnectionKey) -> bool {
        self.sessions.contains(conn)
    }

    /// Whether all requests are answered, and all answers written and sent.
    pub fn is_flushed(&mut self, now: Instant, net: &Net) -> bool {
        self.sessions.iter_mut().all(|(conn, session)| {
            session.requests.is_empty()
                && net.unwritten_bytes(conn) == 0
                && !session.delivery.is_pending(now, conn, net)
        })
    }

    /// Whether a request is still open. Its client may have closed the connection right after the request, in
    /// the same read.
    pub fn is_open(&self, conn: ConnectionKey, index: RequestIndex) -> bool {
        self.sessions.get(conn).is_some_and(|session| session.request(index).is_some())
    }

    /// Sets the handle of an open request, which [`SignedFront::take_cancelled`] and
    /// [`SignedFront::next_to_answer`] return.
    pub fn set_handle(&mut self, conn: ConnectionKey, index: RequestIndex, handle: RequestHandle) {
        let session = self.sessions.get_mut(conn);
        if let Some(request) = session.and_then(|session| session.request_mut(index)) {
            request.state = RequestState::Open(Some(handle));
        }
    }
}

//! The second front: HTTP/1.1 for signed URLs and tokens. It reads requests, checks their credentials, keeps the
//! requests of a connection in their order, and writes one answer to each.
//!
//! - `session`: what is kept of one connection.
//! - `reading`: request heads in; `http` reads a head, `uri` its target, `credentials` verifies its credential, and
//!   `route` finds the object that it names.
//! - `answering`: answers out, in the order of the requests.
//! - `closing`: time-outs, graceful and immediate closes.
//! - `handover`: connections end as a newer process takes the clients.

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
use super::RequestHandle;
use crate::config::signed::SignedConfig;
use crate::deadlines::Schedule;
use crate::interface::{Instant, Span};
use crate::net::{ConnectionKey, Net};
use credentials::Keyring;
use session::{RequestState, Session};

/// Requests that may be open on one connection; more are read once these are answered.
const MAX_OPEN_REQUESTS: usize = 16;
/// A client that takes no byte of its answers for this long is closed.
const WRITE_STALL_TIMEOUT: Span = Span::from_secs(10);
/// How long a client may take to close once the write side is shut down.
const LINGER_TIMEOUT: Span = Span::from_secs(2);

/// A deadline of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SessionDeadline {
    /// The next check of whether the connection stands still.
    Check(ConnectionKey),
    /// A head that has begun must be complete, or a client that has its last answer must have closed.
    ClientTimeout(ConnectionKey),
}

/// What clients want of the edge proxy.
#[derive(Debug, PartialEq, Eq)]
pub enum SignedEvent {
    /// A request whose credential is valid.
    Request {
        /// Its connection.
        conn: ConnectionKey,
        /// Its place among the connection's requests.
        index: RequestIndex,
        /// The object that it names.
        target: route::RequestTarget,
        /// The entity tags of the client's copies.
        etags: Vec<String>,
        /// When its credential expires, on the monotonic clock.
        expires: Instant,
    },
}

/// The clients' connections.
pub struct SignedFront {
    config: SignedConfig,
    keyring: Keyring,
    sessions: Sessions<Session>,
    cancelled: Vec<RequestHandle>,
    /// Every answer is the last of its connection.
    is_draining: bool,
}

impl SignedFront {
    /// A front with the operator's configuration.
    pub fn new(config: SignedConfig) -> Self {
        SignedFront {
            keyring: Keyring::new(&config),
            config,
            sessions: Sessions::default(),
            cancelled: Vec::new(),
            is_draining: false,
        }
    }

    /// Replaces the configuration, except for the listener. Open requests go on.
    pub fn reload(&mut self, config: SignedConfig) {
        self.keyring = Keyring::new(&config);
        self.config = config;
    }

    /// Takes the handles, given by [`SignedFront::set_handle`], of requests that were cancelled or whose connection ended. No
    /// answer is owed to them.
    pub fn take_cancelled(&mut self) -> Vec<RequestHandle> {
        std::mem::take(&mut self.cancelled)
    }

    /// Adds a client's connection.
    pub fn open(&mut self, now: Instant, conn: ConnectionKey, deadlines: &mut dyn Schedule<SessionDeadline>) {
        let check = deadlines.add(now + self.check_interval(), SessionDeadline::Check(conn));
        let timeout = deadlines.add(now + self.config.head_timeout, SessionDeadline::ClientTimeout(conn));
        self.sessions.insert(conn, Session::new(now, check, timeout));
    }

    /// How often a connection is checked for standing still.
    fn check_interval(&self) -> Span {
        WRITE_STALL_TIMEOUT.min(self.config.idle_timeout)
    }

    /// Whether a connection is a client's.
    pub fn owns(&self, conn: ConnectionKey) -> bool {
        self.sessions.contains(conn)
    }

    /// Whether all requests are answered and all answers written.
    pub fn is_flushed(&self, net: &Net) -> bool {
        self.sessions.iter().all(|(conn, session)| session.requests.is_empty() && net.unwritten(conn) == 0)
    }

    /// Whether a request is still open: its client may have closed within the read that brought it.
    pub fn is_open(&self, conn: ConnectionKey, index: RequestIndex) -> bool {
        self.sessions.get(conn).is_some_and(|session| session.request(index).is_some())
    }

    /// Gives an open request the handle by which [`SignedFront::take_cancelled`] and [`SignedFront::next_to_answer`]
    /// name it.
    pub fn set_handle(&mut self, conn: ConnectionKey, index: RequestIndex, handle: RequestHandle) {
        let session = self.sessions.get_mut(conn);
        if let Some(request) = session.and_then(|session| session.request_mut(index)) {
            request.state = RequestState::Open(Some(handle));
        }
    }
}

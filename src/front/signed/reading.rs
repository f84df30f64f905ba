//! Reading from clients: complete request heads, whose credentials are verified before they are processed
//! further.

use super::credentials::Denial;
use super::http::{self, HeadError, HttpAnswer, RequestError, RequestHead};
use super::route::{self, RequestTarget};
use super::session::{PipelinedRequest, RequestState};
use super::{RequestIndex, SessionDeadline, SignedEvent, SignedFront, MAX_OPEN_REQUESTS};
use crate::deadlines::Schedule;
use crate::interface::{Instant, UnixTime};
use crate::net::{ConnectionKey, Net, Reason, Role};
use tracing::info;

/// Maximum number of unread bytes of a connection: more than the longest head, to notice a longer one.
const MAX_INPUT_BYTES: usize = http::MAX_HEAD_BYTES + 1;

/// The current time on the monotonic clock and as Unix time.
#[derive(Clone, Copy)]
struct Now {
    monotonic: Instant,
    unix: UnixTime,
}

/// A request whose credential is valid.
struct AuthorizedRequest {
    target: RequestTarget,
    /// The entity tags of the client's copies, from `If-None-Match`.
    etags: Vec<String>,
    /// When the request's credential expires, on the monotonic clock.
    expires: Instant,
}

impl SignedFront {
    /// Handles a connection that may be read from or written to.
    pub fn on_ready(
        &mut self,
        now: Instant,
        conn: ConnectionKey,
        net: &mut Net,
        deadlines: &mut dyn Schedule<SessionDeadline>,
    ) -> Vec<SignedEvent> {
        let mut events = Vec::new();
        if let Err(reason) = net.flush(conn).and_then(|()| self.read(now, conn, net, deadlines, &mut events))
        {
            self.close(now, conn, reason, net, deadlines);
        }
        events
    }

    fn read(
        &mut self,
        now: Instant,
        conn: ConnectionKey,
        net: &mut Net,
        deadlines: &mut dyn Schedule<SessionDeadline>,
        events: &mut Vec<SignedEvent>,
    ) -> Result<(), Reason> {
        loop {
            let progress = net.read(conn, MAX_INPUT_BYTES)?;
            let Some(session) = self.sessions.get_mut(conn) else { return Ok(()) };
            let requests_before = session.received_requests;
            if progress.bytes > 0 {
                session.last_active = now;
            }
            if progress.has_peer_ended {
                return Err(if session.is_lingering { Reason::Done } else { Reason::PeerClosed });
            }
            self.take_heads(now, conn, net, deadlines, events);
            self.update_client_timeout(now, conn, net, deadlines);
            let Some(session) = self.sessions.get_mut(conn) else { return Ok(()) };
            if session.ends_after_answers {
                net.input(conn, |input| input.clear());
            }
            // The rest is read once fewer requests are open; no event announces it.
            session.has_unread = !session.ends_after_answers && session.requests.len() >= MAX_OPEN_REQUESTS;
            if session.ends_after_answers || session.has_unread {
                return Ok(());
            }
            if progress.is_memory_short {
                if session.received_requests > requests_before {
                    self.unread.push(conn);
                } else {
                    self.unread.push_waiting_for_memory(conn, session.received_requests > 0);
                }
            }
            if !progress.is_buffer_full {
                return Ok(());
            }
        }
    }

    /// Starts the timeout of a head that has begun, or clears it if there is none: between requests, only the
    /// idle timeout applies.
    fn update_client_timeout(
        &mut self,
        now: Instant,
        conn: ConnectionKey,
        net: &mut Net,
        deadlines: &mut dyn Schedule<SessionDeadline>,
    ) {
        let Some(session) = self.sessions.get_mut(conn) else { return };
        let has_begun_head =
            !session.ends_after_answers && net.input(conn, |input| !input.is_empty()).unwrap_or(false);
        if has_begun_head && session.client_timeout.is_none() && session.requests.len() < MAX_OPEN_REQUESTS {
            let at = now + self.config.head_timeout;
            session.client_timeout = Some(deadlines.add(at, SessionDeadline::ClientTimeout(conn)));
        } else if !has_begun_head && session.received_requests > 0 && !session.is_lingering {
            session.clear_client_timeout(deadlines);
        }
    }

    /// Takes the complete heads of the input, up to [`MAX_OPEN_REQUESTS`] open requests.
    fn take_heads(
        &mut self,
        now: Instant,
        conn: ConnectionKey,
        net: &mut Net,
        deadlines: &mut dyn Schedule<SessionDeadline>,
        events: &mut Vec<SignedEvent>,
    ) {
        while let Some(session) = self.sessions.get(conn) {
            if session.ends_after_answers || session.requests.len() >= MAX_OPEN_REQUESTS {
                return;
            }
            let index = session.next_index();
            let scheme = &self.config.scheme;
            let request = match net.input(conn, |input| http::take_head(input, scheme)).unwrap_or(Ok(None)) {
                Ok(None) => return,
                Ok(Some(head)) => {
                    let now = Now { monotonic: now, unix: net.unix_time() };
                    self.authorized_request(now, conn, index, head, events)
                }
                Err(error) => self.unreadable_request(conn, index, error),
            };
            let Some(session) = self.sessions.get_mut(conn) else { return };
            // The next head has its own timeout.
            session.clear_client_timeout(deadlines);
            session.push(request);
        }
    }

    /// Returns the request of a head. Adds its event if it is authorized; otherwise, the request is already
    /// answered.
    fn authorized_request(
        &self,
        now: Now,
        conn: ConnectionKey,
        index: RequestIndex,
        head: RequestHead,
        events: &mut Vec<SignedEvent>,
    ) -> PipelinedRequest {
        let head_only = head.head_only;
        let keep_alive = head.keep_alive && !self.is_draining;
        let state = match self.authorize(head, now) {
            Err(answer) => RequestState::Answered(answer),
            Ok(AuthorizedRequest { target, etags, expires }) => {
                events.push(SignedEvent::Request { conn, index, target, etags, expires });
                RequestState::Open(None)
            }
        };
        PipelinedRequest { index, state, head_only, keep_alive }
    }

    /// Returns the request of a head that cannot be served, with its answer.
    fn unreadable_request(
        &self,
        conn: ConnectionKey,
        index: RequestIndex,
        error: RequestError,
    ) -> PipelinedRequest {
        let (status, keep_alive) = match error {
            RequestError::Head(HeadError::Method { keep_alive }) => (405, keep_alive && !self.is_draining),
            RequestError::Head(HeadError::Oversize) => (431, false),
            malformed => {
                info!("conn={conn} malformed request: {malformed}");
                (400, false)
            }
        };
        let state = RequestState::Answered(HttpAnswer::status_only(status));
        PipelinedRequest { index, state, head_only: false, keep_alive }
    }

    /// Verifies a request's host and credential, and finds its object. A credential expires at a Unix time,
    /// which is converted to an instant once, here, so that a later step of the wall clock does not change
    /// the expiry.
    fn authorize(&self, head: RequestHead, now: Now) -> Result<AuthorizedRequest, HttpAnswer> {
        if !self.config.hosts.contains(&head.uri.host) {
            return Err(HttpAnswer::status_only(421));
        }
        let expires = self.keyring.verify(&head.uri, head.cookie.as_deref(), now.unix).map_err(|denial| {
            // Only the path is logged: the query may hold a credential.
            info!("denied: {denial} {}", head.uri.path);
            HttpAnswer::status_only(if denial == Denial::SeveralCredentials { 400 } else { 403 })
        })?;
        let target =
            route::find_target(&self.config.routes, &head.uri.path).ok_or(HttpAnswer::status_only(404))?;
        let expires = now.monotonic.saturating_add(expires - now.unix);
        Ok(AuthorizedRequest { target, etags: head.etags, expires })
    }

    /// Queues a connection to be read again if input was left unread and less than half of the maximum number
    /// of requests are open. It is not read at once: a client that sends faster than it is answered would
    /// keep the event loop to itself.
    pub fn queue_unread_requests(&mut self, conn: ConnectionKey) {
        let can_read = |open: usize| open < MAX_OPEN_REQUESTS / 2;
        let session = self.sessions.get(conn);
        if session.is_some_and(|session| session.has_unread && can_read(session.requests.len())) {
            self.unread.push(conn);
        }
    }

    /// Queues connections that waited for memory to be read again, as many as there is memory for the longest
    /// head.
    pub fn resume_waiting_for_memory(&mut self, net: &Net) {
        self.unread.resume(net.free_input_bytes(Role::Signed), MAX_INPUT_BYTES);
    }

    /// Queues a connection to be read later, although it is readable now.
    pub fn queue_read(&mut self, conn: ConnectionKey) {
        self.unread.push(conn);
    }

    /// Removes and returns the first of the connections that may have more to read.
    pub fn next_readable_connection(&mut self) -> Option<ConnectionKey> {
        self.unread.pop()
    }

    /// Returns the number of connections that wait to be read again.
    pub fn connections_with_more_to_read(&self) -> usize {
        self.unread.len()
    }
}

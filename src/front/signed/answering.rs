//! Writing answers to clients, in the order of a connection's requests.

use super::http::{self, HttpAnswer};
use super::session::RequestState;
use super::{RequestIndex, SessionDeadline, SignedFront};
use crate::deadlines::Schedule;
use crate::front::RequestHandle;
use crate::interface::Instant;
use crate::net::{ConnectionKey, Net};

/// Minimum Retry-After that is sent with a rejected connection, in seconds.
const MIN_RETRY_AFTER_SECS: i64 = 1;

impl SignedFront {
    /// Sets the answer of a request that is not passed on to the core. It is written after the answers to the
    /// requests before it.
    pub fn set_answer(&mut self, conn: ConnectionKey, index: RequestIndex, answer: HttpAnswer) {
        let session = self.sessions.get_mut(conn);
        if let Some(request) = session.and_then(|session| session.request_mut(index)) {
            request.state = RequestState::Answered(answer);
        }
    }

    /// Returns the handle of the next request to answer, if the caller has to answer it and all previous
    /// answers are written. Before that, writes the answers that are already set.
    pub fn next_to_answer(
        &mut self,
        now: Instant,
        conn: ConnectionKey,
        net: &mut Net,
        deadlines: &mut dyn Schedule<SessionDeadline>,
    ) -> Option<RequestHandle> {
        loop {
            let session = self.sessions.get_mut(conn)?;
            if net.unwritten_bytes(conn) > 0 {
                return None;
            }
            match &session.requests.front()?.state {
                RequestState::Open(handle) => return *handle,
                RequestState::Answered(answer) => {
                    let answer = answer.clone();
                    self.begin_answer(now, conn, answer, net, deadlines);
                }
            }
        }
    }

    /// Begins to answer the first open request of a connection. Returns whether the request has ended: some
    /// bytes of the answer were written, or the connection is broken. Otherwise nothing was written or
    /// buffered.
    pub fn begin_answer(
        &mut self,
        now: Instant,
        conn: ConnectionKey,
        answer: HttpAnswer,
        net: &mut Net,
        deadlines: &mut dyn Schedule<SessionDeadline>,
    ) -> bool {
        let Some(session) = self.sessions.get_mut(conn) else { return false };
        let Some(request) = session.requests.front() else { return false };
        let parts = http::encode_answer(&answer, request.head_only, request.keep_alive, net.unix_time());
        match net.try_write(conn, parts) {
            Ok(false) => return false,
            Ok(true) => {}
            Err(reason) => {
                // The request has ended too: it was answered, but its client is gone.
                session.requests.pop_front();
                self.close(now, conn, reason, net, deadlines);
                return true;
            }
        }
        session.requests.pop_front();
        session.last_active = now;
        true
    }

    /// Rejects a connection that admission refused, before anything is read from it: writes a 503 with
    /// `Retry-After`, then closes the connection gracefully.
    pub fn reject_connection(
        &mut self,
        now: Instant,
        conn: ConnectionKey,
        retry_after_secs: i64,
        net: &mut Net,
        deadlines: &mut dyn Schedule<SessionDeadline>,
    ) {
        let retry_after = Some(retry_after_secs.max(MIN_RETRY_AFTER_SECS));
        let rejection = HttpAnswer { retry_after, ..HttpAnswer::status_only(503) };
        let parts = http::encode_answer(&rejection, false, false, net.unix_time());
        if let Err(reason) = net.write(conn, parts) {
            return self.close(now, conn, reason, net, deadlines);
        }
        if let Some(session) = self.sessions.get_mut(conn) {
            session.ends_after_answers = true;
        }
        self.linger_if_answered(now, conn, net, deadlines);
    }
}

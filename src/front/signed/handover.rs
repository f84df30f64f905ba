//! Closing of connections when the process stops taking clients: this front's connections are not handed
//! over.

use super::{SessionDeadline, SignedFront};
use crate::deadlines::Schedule;
use crate::interface::Instant;
use crate::net::Net;

impl SignedFront {
    /// Starts draining: each connection closes after the answers to its open requests. One that has begun a
    /// head, or has sent no request yet, closes after its next answer; other idle ones close at once.
    pub fn start_draining(
        &mut self,
        now: Instant,
        net: &mut Net,
        deadlines: &mut dyn Schedule<SessionDeadline>,
    ) {
        self.is_draining = true;
        for conn in self.sessions.connections() {
            let has_unused_input = net.input(conn, |input| !input.is_empty()).unwrap_or(false);
            let Some(session) = self.sessions.get_mut(conn) else { continue };
            if let Some(last) = session.requests.back_mut() {
                last.keep_alive = false;
                session.ends_after_answers = true;
            } else if session.received_requests > 0 && !has_unused_input {
                session.ends_after_answers = true;
                self.linger_if_answered(now, conn, net, deadlines);
            }
        }
    }
}

//! The answers of a connection, in the order of its requests.

use super::http::{self, HttpAnswer};
use super::{SessionDeadline, SignedFront, State};
use crate::deadlines::Schedule;
use crate::interface::Instant;
use crate::net::{ConnectionKey, Net};

impl SignedFront {
    /// Answers a request without the core; its turn is kept.
    pub fn say(&mut self, conn: ConnectionKey, number: u64, answer: HttpAnswer) {
        let turns = self.sessions.get_mut(&conn).map(|session| &mut session.turns);
        if let Some(turn) = turns.and_then(|turns| turns.iter_mut().find(|turn| turn.number == number)) {
            turn.state = State::Said(answer);
        }
    }

    /// The request whose turn it is to be answered and which the core knows by this number; a connection
    /// whose last answer has not left entirely has none. Answers of the front itself are written here.
    pub fn next(
        &mut self,
        now: Instant,
        conn: ConnectionKey,
        net: &mut Net,
        due: &mut dyn Schedule<SessionDeadline>,
    ) -> Option<u64> {
        loop {
            let session = self.sessions.get_mut(&conn)?;
            if net.unwritten(conn) > 0 {
                return None;
            }
            match &session.turns.front()?.state {
                State::Open(bound) => return *bound,
                State::Said(answer) => {
                    let answer = answer.clone();
                    self.begin(now, conn, answer, net, due);
                }
            }
        }
    }

    /// Begins the answer whose turn it is; whether a byte of it has left, and with it the turn is over.
    pub fn begin(
        &mut self,
        now: Instant,
        conn: ConnectionKey,
        answer: HttpAnswer,
        net: &mut Net,
        due: &mut dyn Schedule<SessionDeadline>,
    ) -> bool {
        let Some(session) = self.sessions.get_mut(&conn) else { return false };
        let Some(turn) = session.turns.front() else { return false };
        let (only_head, keep) = (turn.only_head, turn.keep);
        match net.begin(conn, http::answer(&answer, only_head, keep, net.unix_time())) {
            Ok(false) => return false,
            Ok(true) => {}
            Err(reason) => {
                // The turn is over as well: the answer was given, and its client is not there to take it.
                session.turns.pop_front();
                self.close(now, conn, reason, net, due);
                return true;
            }
        }
        session.turns.pop_front();
        session.heard = now;
        true
    }

    /// Answers a connection that admission refused before anything is read there: one 503 with `Retry-After`, then
    /// its end, lingering for the client to close so that the answer is not taken away by a reset.
    pub fn refuse_all(
        &mut self,
        now: Instant,
        conn: ConnectionKey,
        seconds: i64,
        net: &mut Net,
        due: &mut dyn Schedule<SessionDeadline>,
    ) {
        let refused = HttpAnswer { retry_after: Some(seconds.max(1)), ..HttpAnswer::bare(503) };
        if let Err(reason) = net.write(conn, http::answer(&refused, false, false, net.unix_time())) {
            return self.close(now, conn, reason, net, due);
        }
        if let Some(session) = self.sessions.get_mut(&conn) {
            session.last = true;
        }
        self.finish(now, conn, net, due);
    }
}

//! Reading from clients: heads taken whole, and let in by their credentials.

use super::gate::Denial;
use super::http::{self, HeadError, HttpAnswer, RequestHead};
use super::route::{self, RequestTarget};
use super::{SessionDeadline, SignedEvent, SignedFront, State, Turn, MOST_OPEN};
use crate::deadlines::Schedule;
use crate::interface::{Instant, UnixTime};
use crate::net::{ConnectionKey, Net, Reason};
use tracing::info;

/// One moment on both clocks.
#[derive(Clone, Copy)]
struct Now {
    monotonic: Instant,
    unix: UnixTime,
}

/// A request whose right was checked.
struct Admitted {
    place: RequestTarget,
    /// The tags of the client's copies.
    tags: Vec<String>,
    /// The instant of the monotonic clock from when on its right is over.
    expires: Instant,
}

impl SignedFront {
    /// A connection may be read from, or written to.
    pub fn ready(
        &mut self,
        now: Instant,
        conn: ConnectionKey,
        net: &mut Net,
        due: &mut dyn Schedule<SessionDeadline>,
    ) -> Vec<SignedEvent> {
        let mut asks = Vec::new();
        if let Err(reason) = net.flush(conn).and_then(|()| self.read(now, conn, net, due, &mut asks)) {
            self.close(now, conn, reason, net, due);
        }
        asks
    }

    fn read(
        &mut self,
        now: Instant,
        conn: ConnectionKey,
        net: &mut Net,
        due: &mut dyn Schedule<SessionDeadline>,
        asks: &mut Vec<SignedEvent>,
    ) -> Result<(), Reason> {
        loop {
            let got = net.read(conn, http::MOST_HEAD + 1)?;
            let Some(session) = self.sessions.get_mut(&conn) else { return Ok(()) };
            if got.bytes > 0 {
                session.heard = now;
            }
            if got.end {
                return Err(if session.lingers { Reason::Done } else { Reason::PeerClosed });
            }
            self.take_heads(now, conn, net, due, asks);
            let Some(session) = self.sessions.get_mut(&conn) else { return Ok(()) };
            // A head that has begun has its time; between requests the idle time holds.
            let begun = !session.last && net.input(conn, |input| !input.is_empty()).unwrap_or(false);
            if begun && session.head.is_none() && session.turns.len() < MOST_OPEN {
                session.head = Some(due.add(now + self.config.head_timeout, SessionDeadline::Head(conn)));
            } else if !begun && session.count > 0 && !session.lingers {
                session.head.take().into_iter().for_each(|handle| due.remove(handle));
            }
            if session.last {
                net.input(conn, |input| input.clear());
            }
            // What is left unread for want of turns is read once there are some: no event will tell of it.
            session.more = !session.last && session.turns.len() >= MOST_OPEN;
            if session.last || session.more || !got.more {
                return Ok(());
            }
        }
    }

    /// Takes the whole heads of what has come.
    fn take_heads(
        &mut self,
        now: Instant,
        conn: ConnectionKey,
        net: &mut Net,
        due: &mut dyn Schedule<SessionDeadline>,
        asks: &mut Vec<SignedEvent>,
    ) {
        while let Some(session) = self.sessions.get(&conn) {
            if session.last || session.turns.len() >= MOST_OPEN {
                return;
            }
            let number = session.count;
            let scheme = &self.config.scheme;
            let turn = match net.input(conn, |input| http::head(input, scheme)).unwrap_or(Ok(None)) {
                Ok(None) => return,
                Ok(Some(head)) => {
                    self.turn(Now { monotonic: now, unix: net.unix_time() }, conn, number, head, asks)
                }
                Err(bad) => self.refused_turn(conn, number, bad),
            };
            let Some(session) = self.sessions.get_mut(&conn) else { return };
            // The next head has a time of its own.
            session.head.take().into_iter().for_each(|handle| due.remove(handle));
            (session.count, session.last) = (number + 1, !turn.keep);
            session.turns.push_back(turn);
        }
    }

    /// The turn of a request that was read.
    fn turn(
        &self,
        now: Now,
        conn: ConnectionKey,
        number: u64,
        head: RequestHead,
        asks: &mut Vec<SignedEvent>,
    ) -> Turn {
        let (only_head, keep) = (head.only_head, head.keep && !self.retired);
        let state = match self.admit(head, now) {
            Err(answer) => State::Said(answer),
            Ok(Admitted { place, tags, expires }) => {
                asks.push(SignedEvent::Request { conn, number, place, tags, expires });
                State::Open(None)
            }
        };
        Turn { number, state, only_head, keep }
    }

    /// The turn of what can't be served as it is.
    fn refused_turn(&self, conn: ConnectionKey, number: u64, bad: HeadError) -> Turn {
        let (status, keep) = match bad {
            HeadError::Method { keep } => (405, keep && !self.retired),
            HeadError::Oversize => (431, false),
            HeadError::Malformed(why) => {
                info!("conn={conn} malformed: {why}");
                (400, false)
            }
        };
        Turn { number, state: State::Said(HttpAnswer::bare(status)), only_head: false, keep }
    }

    /// Checks a request's right before anything else is told of it. Rights end at a Unix time: its instant is reckoned
    /// here, once, and holds however the wall clock is stepped afterwards.
    fn admit(&self, head: RequestHead, now: Now) -> Result<Admitted, HttpAnswer> {
        if !self.config.hosts.contains(&head.uri.host) {
            return Err(HttpAnswer::bare(421));
        }
        let expires = self.gate.check(&head.uri, head.cookie.as_deref(), now.unix).map_err(|denial| {
            // The path only: what follows it is a credential.
            info!("denied: {} {}", denial.code(), head.uri.path);
            HttpAnswer::bare(if matches!(denial, Denial::Malformed(_)) { 400 } else { 403 })
        })?;
        let place = route::place(&self.config.routes, &head.uri.path).ok_or(HttpAnswer::bare(404))?;
        let expires = now.monotonic.saturating_add(expires - now.unix);
        Ok(Admitted { place, tags: head.tags, expires })
    }

    /// Whether requests were left unread for want of turns, and there are some now.
    pub fn has_more(&self, conn: ConnectionKey) -> bool {
        self.sessions.get(&conn).is_some_and(|session| session.more && session.turns.len() < MOST_OPEN / 2)
    }
}

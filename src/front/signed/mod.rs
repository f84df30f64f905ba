//! The second front: HTTP/1.1 for signed URLs and tokens. It reads heads, checks credentials, keeps the
//! requests of a connection in their order, and writes each one answer.

mod answering;
mod ending;
pub mod gate;
pub mod http;
mod reading;
pub mod route;
pub mod uri;

use crate::config::signed::{Route, SignedConfig};
use crate::deadlines::{DeadlineHandle, Schedule};
use crate::interface::{Instant, Span};
use crate::net::{ConnectionKey, Net};
use gate::Gate;
use http::HttpAnswer;
use std::collections::{HashMap, VecDeque};

/// Requests that may be open on one connection; more are read once these are answered.
const MOST_OPEN: usize = 16;
/// A client that takes none of its answer's bytes for this long is closed.
const STALLED: Span = Span::from_secs(10);
/// How long a client may take to close after its last answer.
const LINGER: Span = Span::from_secs(2);

/// What falls due for a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SessionDeadline {
    /// A look whether it stands still.
    Look(ConnectionKey),
    /// A head that has begun must be whole, or a client that has its last answer must have closed.
    Head(ConnectionKey),
}

/// What a client asks of the edge proxy.
#[derive(Debug, PartialEq, Eq)]
pub enum SignedEvent {
    /// A request that was let in.
    Request {
        /// Its connection.
        conn: ConnectionKey,
        /// Its number there.
        number: u64,
        /// What it names.
        place: route::RequestTarget,
        /// The tags of the client's copies.
        tags: Vec<String>,
        /// The instant of the monotonic clock from when on its right is over.
        expires: Instant,
    },
}

enum State {
    /// Answered by the front itself.
    Said(HttpAnswer),
    /// Handed in, and bound to this number.
    Open(Option<u64>),
}

struct Turn {
    number: u64,
    state: State,
    only_head: bool,
    keep: bool,
}

struct Session {
    turns: VecDeque<Turn>,
    count: u64,
    head: Option<DeadlineHandle>,
    look: Option<DeadlineHandle>,
    /// Bytes written at the last look.
    seen: u64,
    heard: Instant,
    /// Nothing more is read, and the connection ends once all is answered.
    last: bool,
    /// All is said, and the client is to close: closing first, with its bytes unread, would reset the
    /// connection and could take the last answer away from it.
    lingers: bool,
    /// There may be more to read than there were turns for.
    more: bool,
}

/// The clients' connections.
pub struct SignedFront {
    config: SignedConfig,
    gate: Gate,
    sessions: HashMap<ConnectionKey, Session>,
    gone: Vec<u64>,
    /// Every answer is the last of its connection.
    retired: bool,
}

impl SignedFront {
    /// A front by the operator's file.
    pub fn new(config: SignedConfig) -> Self {
        SignedFront {
            gate: Gate::new(&config),
            config,
            sessions: HashMap::new(),
            gone: Vec::new(),
            retired: false,
        }
    }

    /// Takes over an operator's file that was read again, but for where it listens. What was let in stays.
    pub fn reload(&mut self, config: SignedConfig) {
        self.gate = Gate::new(&config);
        self.config = config;
    }

    /// Requests that are over for their clients since the last call, by the numbers that [`SignedFront::bind`]
    /// gave: nothing is owed to them.
    pub fn take_cancelled(&mut self) -> Vec<u64> {
        std::mem::take(&mut self.gone)
    }

    /// A route of the operator's file.
    pub fn route(&self, number: usize) -> Option<&Route> {
        self.config.routes.get(number)
    }

    /// Takes a client's connection in.
    pub fn open(&mut self, now: Instant, conn: ConnectionKey, due: &mut dyn Schedule<SessionDeadline>) {
        let look = Some(due.add(now + STALLED.min(self.config.idle_timeout), SessionDeadline::Look(conn)));
        let head = Some(due.add(now + self.config.head_timeout, SessionDeadline::Head(conn)));
        let (turns, heard) = (VecDeque::new(), now);
        self.sessions.insert(
            conn,
            Session { turns, count: 0, head, look, seen: 0, heard, last: false, lingers: false, more: false },
        );
    }

    /// From now on each connection ends with the answers that are open there: another process takes the clients.
    pub fn retire(&mut self, now: Instant, net: &mut Net, due: &mut dyn Schedule<SessionDeadline>) {
        self.retired = true;
        for conn in self.sessions.keys().copied().collect::<Vec<_>>() {
            let unread = net.input(conn, |input| !input.is_empty()).unwrap_or(false);
            let Some(session) = self.sessions.get_mut(&conn) else { continue };
            if let Some(last) = session.turns.back_mut() {
                (last.keep, session.last) = (false, true);
            } else if session.count > 0 && !unread {
                session.last = true;
                self.finish(now, conn, net, due);
            } // else its next answer is its last
        }
    }

    /// The connection that is missed least, if one is missed less than a new one: nothing is open there; first those
    /// that linger or never asked, the longest silent first.
    pub fn least_missed(&self, net: &Net) -> Option<ConnectionKey> {
        let idle = self.sessions.iter().filter(|(conn, s)| s.turns.is_empty() && net.unwritten(**conn) == 0);
        let least = idle.min_by_key(|(conn, s)| (!s.lingers, s.count > 0, s.heard, **conn));
        least.map(|(conn, _)| *conn)
    }

    /// Whether this connection is a client's.
    pub fn owns(&self, conn: ConnectionKey) -> bool {
        self.sessions.contains_key(&conn)
    }

    /// Whether all answers have been written out.
    pub fn is_flushed(&self, net: &Net) -> bool {
        self.sessions.iter().all(|(conn, session)| session.turns.is_empty() && net.unwritten(*conn) == 0)
    }

    /// Whether a request is still open: its client may have left within the read that brought it.
    pub fn is_open(&self, conn: ConnectionKey, number: u64) -> bool {
        self.sessions.get(&conn).is_some_and(|session| session.turns.iter().any(|t| t.number == number))
    }

    /// Gives an open request the number by which [`SignedFront::take_cancelled`] and [`SignedFront::next`] name it.
    pub fn bind(&mut self, conn: ConnectionKey, number: u64, bound: u64) {
        let turns = self.sessions.get_mut(&conn).map(|session| &mut session.turns);
        if let Some(turn) = turns.and_then(|turns| turns.iter_mut().find(|turn| turn.number == number)) {
            turn.state = State::Open(Some(bound));
        }
    }
}

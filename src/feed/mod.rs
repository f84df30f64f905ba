//! The control feed: long polls over HTTP/1.1, begun anew with a growing pause when something breaks.

mod http;

use crate::config::events::FeedBatch;
use crate::deadlines::{DeadlineHandle, Schedule};
use crate::interface::{Instant, Span};
use crate::net::{ConnectionKey, Net, Reason, Role};
use std::net::SocketAddr;
use tracing::warn;

/// How long the control feed may hold an answer back. Short: one that stops telling while its connection
/// stays open is found out only once the wait that was asked for is over.
const WAIT_MS: i64 = 1000;
/// How much later than that an answer may come.
const SLACK: Span = Span::from_millis(700);
/// How long a connection may take to come up: at first, and at most once some took longer.
const CONNECT: Span = Span::from_millis(400);
const CONNECT_MOST: Span = Span::from_millis(1_600);
/// The first and the longest pause before the next try.
const PAUSES: [Span; 2] = [Span::from_millis(30), Span::from_millis(500)];
/// What the feed would have told counts as told this long after a break, or after the end of the wait:
/// a poll that broke or stopped and the connection after it fit into that.
const TOLD_AFTER: Span = Span::from_secs(2);
const _: () = {
    let (slack, connect, told_after) = (SLACK.as_micros(), CONNECT.as_micros(), TOLD_AFTER.as_micros());
    let pauses = [PAUSES[0].as_micros(), PAUSES[1].as_micros()];
    assert!(slack + connect + pauses[0] < told_after && connect + 2 * pauses[1] < told_after);
};
/// Bytes of answers that are taken in at a time; a longer answer is no answer.
const INPUT: usize = 1 << 22;

/// What falls due for the feed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FeedDeadline {
    /// The pause before the next try is over.
    Retry,
    /// Nothing came in time.
    Overdue,
}

/// The connection to the control feed.
pub struct Feed {
    addr: SocketAddr,
    last: u64,
    conn: Option<ConnectionKey>,
    up: bool,
    deadline: Option<DeadlineHandle>,
    pause: Span,
    /// How long the next connection may take to come up.
    connect: Span,
    /// How long an answer may be held back.
    wait_ms: i64,
    /// Polls begun, and the newest one that was answered.
    polls: [u64; 2],
}

impl Feed {
    /// A feed that has had the events up to `last`.
    pub fn new(addr: SocketAddr, last: u64) -> Self {
        Feed {
            addr,
            last,
            conn: None,
            up: false,
            deadline: None,
            pause: PAUSES[0],
            connect: CONNECT,
            wait_ms: WAIT_MS,
            polls: [0; 2],
        }
    }

    /// The same, asked to hold its answers back for other than a second: who must know how recent its view is
    /// asks more often.
    pub fn with_wait(self, wait_ms: i64) -> Self {
        Feed { wait_ms, ..self }
    }

    /// How many polls were begun, and the number of the newest one that was answered. What the feed had to tell
    /// when poll N was begun is known once N was answered.
    pub fn polls(&self) -> [u64; 2] {
        self.polls
    }

    /// Whether this connection is the feed's.
    pub fn owns(&self, key: ConnectionKey) -> bool {
        self.conn == Some(key)
    }

    /// Connects.
    pub fn start(&mut self, now: Instant, net: &mut Net, due: &mut dyn Schedule<FeedDeadline>) {
        match net.connect(now, self.addr, Role::Feed) {
            Ok(key) => {
                (self.conn, self.up) = (Some(key), false);
                self.expect(now + self.connect, FeedDeadline::Overdue, due);
            }
            Err(_) => self.again(now, due),
        }
    }

    /// Goes on at another address with the events after the last one that was had: the old connection ends at
    /// once, whatever it would still have told, since the new address tells it under the same numbers.
    pub fn move_to(
        &mut self,
        now: Instant,
        addr: SocketAddr,
        net: &mut Net,
        due: &mut dyn Schedule<FeedDeadline>,
    ) {
        if addr == self.addr {
            return;
        }
        (self.addr, self.pause, self.connect) = (addr, PAUSES[0], CONNECT);
        if let Some(key) = self.conn.take() {
            net.close(now, key, Reason::Replaced);
        }
        self.start(now, net, due);
    }

    fn expect(&mut self, at: Instant, what: FeedDeadline, due: &mut dyn Schedule<FeedDeadline>) {
        self.deadline.take().into_iter().for_each(|handle| due.remove(handle));
        self.deadline = Some(due.add(at, what));
    }

    fn again(&mut self, now: Instant, due: &mut dyn Schedule<FeedDeadline>) {
        self.expect(now + self.pause, FeedDeadline::Retry, due);
        self.pause = (2 * self.pause).min(PAUSES[1]);
    }

    fn broke(&mut self, now: Instant, reason: Reason, net: &mut Net, due: &mut dyn Schedule<FeedDeadline>) {
        if let Some(key) = self.conn.take() {
            net.close(now, key, reason);
        }
        self.again(now, due);
    }

    fn ask(&mut self, now: Instant, net: &mut Net, due: &mut dyn Schedule<FeedDeadline>) {
        let Some(key) = self.conn else { return };
        let (last, addr, wait_ms) = (self.last, self.addr, self.wait_ms);
        let head = format!("GET /v1/events?SUB={last}&wait={wait_ms} HTTP/1.1\r\nHost: {addr}\r\n\r\n");
        match net.write(key, [head.into()]) {
            Ok(()) => {
                self.polls[0] += 1;
                self.expect(now + Span::from_millis(wait_ms) + SLACK, FeedDeadline::Overdue, due);
            }
            Err(reason) => self.broke(now, reason, net, due),
        }
    }

    /// The connection may be read from, or written to; gives the events that are new.
    pub fn on_ready(
        &mut self,
        now: Instant,
        net: &mut Net,
        due: &mut dyn Schedule<FeedDeadline>,
    ) -> Vec<FeedBatch> {
        let mut news = Vec::new();
        let Some(key) = self.conn else { return news };
        if !self.up {
            match net.connected(key) {
                Ok(false) => return news,
                Ok(true) => {
                    (self.up, self.connect) = (true, CONNECT);
                    self.ask(now, net, due);
                }
                Err(reason) => {
                    self.broke(now, reason, net, due);
                    return news;
                }
            }
        }
        if let Err(reason) = net.flush(key) {
            self.broke(now, reason, net, due);
            return news;
        }
        loop {
            let got = net.read(key, INPUT);
            let end = got.is_ok_and(|got| got.end);
            match net.input(key, |input| http::answer(input, end)) {
                Some(Ok(Some(answer))) => {
                    let read = serde_json::from_slice::<FeedBatch>(&answer.body);
                    match read {
                        Ok(batch) if answer.status == 200 => {
                            self.pause = PAUSES[0];
                            self.polls[1] = self.polls[0];
                            self.take(batch, &mut news);
                        }
                        other => {
                            warn!("feed: status {}, {:?}", answer.status, other.err());
                            self.broke(now, Reason::BadMessage, net, due);
                            return news;
                        }
                    }
                    if answer.close {
                        self.broke(now, Reason::Done, net, due);
                        return news;
                    }
                    self.ask(now, net, due);
                }
                // A full buffer that is no whole answer never becomes one.
                Some(Ok(None)) if got.is_ok_and(|got| got.more) => {
                    self.broke(now, Reason::Oversize, net, due);
                    return news;
                }
                Some(Ok(None)) | None => {}
                Some(Err(http::Bad)) => {
                    self.broke(now, Reason::BadMessage, net, due);
                    return news;
                }
            }
            match got {
                Err(reason) => self.broke(now, reason, net, due),
                Ok(got) if got.end => self.broke(now, Reason::PeerClosed, net, due),
                Ok(got) if got.more => continue,
                Ok(_) => {}
            }
            return news;
        }
    }

    /// Passes on what was not had yet.
    fn take(&mut self, mut batch: FeedBatch, news: &mut Vec<FeedBatch>) {
        batch.events.retain(|event| event.n > self.last);
        let newest = batch.events.iter().map(|event| event.n).max();
        self.last = self.last.max(newest.unwrap_or(0)).max(batch.n);
        if !batch.events.is_empty() {
            news.push(batch);
        }
    }

    /// A deadline of the feed has fallen.
    pub fn deadline_passed(
        &mut self,
        now: Instant,
        what: FeedDeadline,
        net: &mut Net,
        due: &mut dyn Schedule<FeedDeadline>,
    ) {
        self.deadline = None;
        match what {
            FeedDeadline::Retry => self.start(now, net, due),
            FeedDeadline::Overdue if self.up => self.broke(now, Reason::Silent, net, due),
            FeedDeadline::Overdue => {
                // A host that takes connections slowly would never be heard by a time that is always too short.
                self.connect = (2 * self.connect).min(CONNECT_MOST);
                self.broke(now, Reason::ConnectTimeout, net, due);
            }
        }
    }
}

#[cfg(test)]
mod tests;
